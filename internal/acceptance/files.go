package acceptance

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"wasabihill.example/wasabihill/pkg/units"
)

// WriteFiles writes the settings and documents of all firms to subdirectories of
// dir, and the list of processes to dir/processes. Each line of the list has the
// name of a process, a tab and its command. For each firm the log service and
// workers come first, then entry processes, agents and endpoints.
func WriteFiles(dir string, binaries string) error {
	var lines []string
	for _, f := range Firms() {
		firmDir := filepath.Join(dir, f.Name)
		if err := os.MkdirAll(firmDir, 0o755); err != nil {
			return err
		}
		for name, content := range f.files() {
			if err := os.WriteFile(filepath.Join(firmDir, name), content, 0o644); err != nil {
				return err
			}
		}
		lines = append(lines, f.processes(binaries, firmDir)...)
	}
	return os.WriteFile(filepath.Join(dir, "processes"), []byte(strings.Join(lines, "\n")+"\n"), 0o644)
}

// files returns the contents of the firm's settings and document by file name.
func (f Firm) files() map[string][]byte {
	files := map[string][]byte{"trial.json": f.Document(trialName)}
	for _, e := range f.Entries() {
		files[string(e.ID)+".json"] = encodeIndented(struct {
			ID            units.EntryID             `json:"id"`
			Environment   string                    `json:"environment"`
			FailureDomain units.DomainName          `json:"failureDomain"`
			Region        units.RegionName          `json:"region"`
			CallerAddress string                    `json:"callerAddress"`
			AdminAddress  string                    `json:"adminAddress"`
			LinkAddress   string                    `json:"linkAddress"`
			LogAddress    string                    `json:"logAddress"`
			OperatorToken string                    `json:"operatorToken"`
			TeamTokens    map[units.TeamName]string `json:"teamTokens"`
		}{e.ID, productionName, e.Domain, f.Region, e.Caller, e.Admin, e.Link, f.LogAddress(), operatorToken,
			map[units.TeamName]string{f.BatchTeam: teamToken}})
	}
	var entries []string
	for _, e := range f.Entries() {
		entries = append(entries, e.Link)
	}
	for _, w := range f.Workers() {
		files[string(w.ID)+".json"] = encodeIndented(struct {
			Worker          units.WorkerID   `json:"worker"`
			Environment     string           `json:"environment"`
			FailureDomain   units.DomainName `json:"failureDomain"`
			Rack            units.RackName   `json:"rack"`
			Region          units.RegionName `json:"region"`
			LinkAddress     string           `json:"linkAddress"`
			AnnounceAddress string           `json:"announceAddress"`
			WorkerAddress   string           `json:"workerAddress"`
			Entries         []string         `json:"entries"`
		}{w.ID, productionName, w.Domain, w.Rack, f.Region, w.Agent, w.Announce, w.Worker, entries})
	}
	return files
}

type (
	resources struct {
		Processors   string `json:"processors"`
		Memory       string `json:"memory"`
		Accelerators *int   `json:"accelerators,omitempty"`
	}
	domain struct {
		Name   units.DomainName `json:"name"`
		Region units.RegionName `json:"region"`
		State  string           `json:"state"`
	}
	team struct {
		Name      units.TeamName `json:"name"`
		Quota     resources      `json:"quota"`
		MayBorrow bool           `json:"mayBorrow"`
	}
	service struct {
		Name          units.ServiceName `json:"name"`
		Team          units.TeamName    `json:"team"`
		Priority      string            `json:"priority"`
		LatencyTarget string            `json:"latencyTarget"`
		PerEndpoint   resources         `json:"perEndpoint"`
		Slots         int               `json:"slots"`
		Connections   int               `json:"connections"`
	}
	watcher struct {
		Name     string         `json:"name"`
		Team     units.TeamName `json:"team"`
		Priority string         `json:"priority"`
		Size     resources      `json:"size"`
	}
	guards struct {
		Enabled      bool    `json:"enabled"`
		LatencyRatio float64 `json:"latencyRatio"`
	}
)

// Document returns the firm's document for an environment.
func (f Firm) Document(environment string) []byte {
	zero := 0
	quota := resources{(f.Capacity.Processors * workersPerFirm / 2).String(), "600GB", &zero}
	d := struct {
		Environment    string    `json:"environment"`
		FailureDomains []domain  `json:"failureDomains"`
		Teams          []team    `json:"teams"`
		Services       []service `json:"services"`
		Watchers       []watcher `json:"watchers"`
		Guards         guards    `json:"guards"`
		DrainedWorkers []string  `json:"drainedWorkers"`
		LargestWorker  resources `json:"largestWorker"`
	}{
		Environment: environment,
		Teams:       []team{{f.BatchTeam, quota, true}, {f.ServiceTeam, quota, false}},
		Services: []service{{f.Service, f.ServiceTeam, "urgent", f.LatencyTarget.String(),
			resources{Processors: f.PerEndpoint, Memory: "8GB"}, endpointSlots, endpointConnections}},
		Guards:         guards{true, 1.2},
		DrainedWorkers: []string{},
		LargestWorker:  resources{f.Processors, f.Memory, &zero},
	}
	for _, name := range f.Domains {
		d.FailureDomains = append(d.FailureDomains, domain{name, f.Region, "in"})
	}
	for _, name := range f.Watchers {
		d.Watchers = append(d.Watchers, watcher{name, f.ServiceTeam, "high", resources{Processors: "250m", Memory: "256MiB"}})
	}
	return append([]byte("// The one document of "+f.Name+", promoted from trial to production.\n"), encodeIndented(d)...)
}

func encodeIndented(v any) []byte {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		panic(err) // not reached: the values are structs of strings, numbers and booleans
	}
	return append(data, '\n')
}

// processes returns the firm's lines of the process list.
func (f Firm) processes(binaries, dir string) []string {
	standin, product := filepath.Join(binaries, "wasabihill-standin"), filepath.Join(binaries, "wasabihill")
	line := func(name, format string, args ...any) string { return name + "\t" + fmt.Sprintf(format, args...) }
	lines := []string{line(f.Name+"-log", "%s log --listen %s --rate 400", standin, f.LogAddress())}
	for _, w := range f.Workers() {
		lines = append(lines, line(string(w.ID), "%s worker --name %s --address %s --processors %s --memory %s --usage-lag 2s",
			standin, w.ID, w.Worker, f.Processors, f.Memory))
	}
	for _, e := range f.Entries() {
		lines = append(lines, line(string(e.ID), "%s entry %s", product, filepath.Join(dir, string(e.ID)+".json")))
	}
	for _, w := range f.Workers() {
		lines = append(lines, line(agentName(w), "%s agent %s", product, filepath.Join(dir, string(w.ID)+".json")))
	}
	for _, w := range f.Workers() {
		lines = append(lines, line(endpointName(w), "%s endpoint --service %s --address %s --agent http://%s --slots %d --connections %d",
			standin, f.Service, w.Endpoint, w.Announce, endpointSlots, endpointConnections))
	}
	return lines
}

func agentName(w Worker) string    { return strings.Replace(string(w.ID), "worker", "agent", 1) }
func endpointName(w Worker) string { return strings.Replace(string(w.ID), "worker", "endpoint", 1) }
