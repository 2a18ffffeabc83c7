// The encoded form has every field, so that the comparison of two documents needs no
// rules about defaults.

package environment

import (
	"bytes"
	"encoding/json"

	"wasabihill.example/wasabihill/pkg/units"
)

type encodedSize struct {
	Processors   string `json:"processors"`
	Memory       string `json:"memory"`
	Accelerators int32  `json:"accelerators"`
}

func encodeSize(r units.Resources) encodedSize {
	return encodedSize{r.Processors.String(), r.Memory.String(), r.Accelerators}
}

type encodedDomain struct {
	Name   units.DomainName `json:"name"`
	Region units.RegionName `json:"region"`
	State  DomainState      `json:"state"`
}

type encodedTeam struct {
	Name      units.TeamName `json:"name"`
	Quota     encodedSize    `json:"quota"`
	MayBorrow bool           `json:"mayBorrow"`
}

type encodedService struct {
	Name          units.ServiceName `json:"name"`
	Team          units.TeamName    `json:"team"`
	Priority      string            `json:"priority"`
	LatencyTarget string            `json:"latencyTarget"`
	PerEndpoint   encodedSize       `json:"perEndpoint"`
	Slots         int               `json:"slots"`
	Connections   int               `json:"connections"`
}

type encodedWatcher struct {
	Name     string         `json:"name"`
	Team     units.TeamName `json:"team"`
	Priority string         `json:"priority"`
	Size     encodedSize    `json:"size"`
}

type encodedGuards struct {
	Enabled      bool    `json:"enabled"`
	LatencyRatio float64 `json:"latencyRatio"`
}

type encodedDocument struct {
	Environment    units.EnvironmentName `json:"environment"`
	FailureDomains []encodedDomain       `json:"failureDomains"`
	Teams          []encodedTeam         `json:"teams"`
	Services       []encodedService      `json:"services"`
	Watchers       []encodedWatcher      `json:"watchers"`
	Guards         *encodedGuards        `json:"guards,omitempty"`
	DrainedWorkers []units.WorkerID      `json:"drainedWorkers"`
	LargestWorker  encodedSize           `json:"largestWorker"`
}

// Encode returns the document as indented JSON that Parse accepts, with every field
// in the order of Reference. Guards are left out if they have their zero value.
func Encode(d *Document) []byte {
	e := encodedDocument{
		Environment:    d.Environment,
		FailureDomains: make([]encodedDomain, 0, len(d.FailureDomains)),
		Teams:          make([]encodedTeam, 0, len(d.Teams)),
		Services:       make([]encodedService, 0, len(d.Services)),
		Watchers:       make([]encodedWatcher, 0, len(d.Watchers)),
		DrainedWorkers: append([]units.WorkerID{}, d.DrainedWorkers...),
		LargestWorker:  encodeSize(d.LargestWorker),
	}
	if d.Guards != (Guards{}) {
		e.Guards = &encodedGuards{d.Guards.Enabled, d.Guards.LatencyRatio}
	}
	for _, f := range d.FailureDomains {
		e.FailureDomains = append(e.FailureDomains, encodedDomain(f))
	}
	for _, t := range d.Teams {
		e.Teams = append(e.Teams, encodedTeam{t.Name, encodeSize(t.Quota), t.MayBorrow})
	}
	for _, s := range d.Services {
		e.Services = append(e.Services, encodedService{s.Name, s.Team, s.Priority.String(), s.LatencyTarget.String(),
			encodeSize(s.PerEndpoint), s.Slots, s.Connections})
	}
	for _, w := range d.Watchers {
		e.Watchers = append(e.Watchers, encodedWatcher{w.Name, w.Team, w.Priority.String(), encodeSize(w.Size)})
	}
	var b bytes.Buffer
	encoder := json.NewEncoder(&b)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(e); err != nil {
		panic("environment: encode: " + err.Error()) // only NaN or an infinite latency ratio fails, and Parse rejects both
	}
	return b.Bytes()
}
