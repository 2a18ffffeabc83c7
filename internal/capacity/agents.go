package capacity

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"wasabihill.example/wasabihill/internal/agent"
	"wasabihill.example/wasabihill/internal/guard"
	"wasabihill.example/wasabihill/internal/process"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/environment"
	"wasabihill.example/wasabihill/pkg/units"
)

// agentsSettings are the settings of the role that runs all agents.
type agentsSettings struct {
	Count   int
	Workers string   // address that serves each worker under its name as path prefix
	Entries []string // addresses of entry processes to which agents connect first
}

// startAgents starts all agents for serveChild. Traffic is classified as "worker", "entries"
// or "leases", which is traffic between agents.
func startAgents(ctx context.Context, s agentsSettings) (any, func(Detail) Sample, func(), error) {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	var documents, parsed, last atomic.Int64
	for i := range s.Count {
		a := newAgent(i, s)
		a.ParseDocument = func(text []byte) (*environment.Document, error) {
			parsed.Add(1)
			return environment.Parse("configuration", text)
		}
		a.OnDocument = func(*environment.Document) {
			documents.Add(1)
			last.Store(time.Now().UnixNano())
		}
		running.Go(func() {
			if err := a.Run(ctx); err != nil {
				reportEnd("agent of "+string(a.WorkerID), err)
			}
		})
	}
	workers := int(netip.MustParseAddrPort(s.Workers).Port())
	var entries []int
	for _, address := range s.Entries {
		entries = append(entries, int(netip.MustParseAddrPort(address).Port()))
	}
	classify := func(_, remote int) string {
		switch {
		case remote == workers:
			return "worker"
		case slices.Contains(entries, remote):
			return "entries"
		}
		return "leases"
	}
	return struct{}{}, func(detail Detail) Sample {
		sample := TakeSample(classify, detail)
		sample.Counters = map[string]int64{"documents": documents.Load(), "parsed": parsed.Load()}
		sample.LastDocument = time.Unix(0, last.Load())
		return sample
	}, func() { cancel(); running.Wait() }, nil
}

// newAgent returns agent i, configured as in the agent's program, with an endpoint
// of eight slots.
func newAgent(i int, s agentsSettings) *agent.Agent {
	name := workerName(i)
	return &agent.Agent{
		WorkerID: name, Domain: domains[i%len(domains)], Rack: rackName(i), Region: region(i),
		LinkAddress: "127.0.0.1:0", EntryAddresses: s.Entries, Guard: &guard.Controller{}, OmitUnchanged: true,
		Worker: process.NewWorkerClient("http://" + s.Workers + "/" + string(name)),
		EndpointReports: func() []*wire.EndpointReport {
			return []*wire.EndpointReport{{Service: "mouldDesk", State: wire.EndpointState_ENDPOINT_STATE_READY, Slots: 8, Connections: 64, Busy: 3, LatencyMicroseconds: 18000}}
		},
	}
}

// workersPerRack is the number of workers of each rack.
const workersPerRack = 3

func rackName(i int) units.RackName {
	return units.RackName(fmt.Sprintf("rack-%03d", i/workersPerRack))
}

func workerName(i int) units.WorkerID { return units.WorkerID(fmt.Sprintf("worker-%04d", i+1)) }
