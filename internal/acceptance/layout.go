// Package acceptance runs a shortened day of both firms against real processes and
// checks the ten guarantees from observations of callers, workers and endpoints.
// It starts no process itself: scripts/run.sh starts those in the list that
// WriteFiles writes.
package acceptance

import (
	"fmt"
	"time"

	"wasabihill.example/wasabihill/pkg/units"
)

// Firm is a user of wasabihill with its workload at today's size.
type Firm struct {
	Name          string
	Region        units.RegionName
	Domains       []units.DomainName
	Service       units.ServiceName
	LatencyTarget time.Duration // latency target of the service
	Processors    string        // of one worker
	Memory        string        // of one worker
	Capacity      units.Resources
	PerEndpoint   string // processors reserved for one endpoint
	QuickPath     string // path of the latency-critical request
	OrderPath     string // path of the non-idempotent request
	Watchers      []string
	BatchTeam     units.TeamName
	ServiceTeam   units.TeamName
	BasePort      int
}

// Sizes and names that are the same for both firms.
const (
	workersPerFirm      = 11
	entriesPerFirm      = 3
	workersPerRack      = 3
	endpointSlots       = 8
	endpointConnections = 64
	operatorToken       = "operator-token-for-the-acceptance-run"
	teamToken           = "team-token-for-the-acceptance-run"
	trialName           = "trial"
	productionName      = "production"
	portsPerProcess     = 4
)

// Firms returns the two firms whose workloads the run covers.
func Firms() []Firm {
	return []Firm{
		{
			Name: "barafu", Region: "pwani",
			Domains: []units.DomainName{"pwani-a", "pwani-b", "pwani-c"},
			Service: "mouldDesk", LatencyTarget: 50 * time.Millisecond,
			Processors: "32", Memory: "125GB",
			Capacity:    units.Resources{Processors: 32000, Memory: 125e9},
			PerEndpoint: "8", QuickPath: "/fit-check", OrderPath: "/order",
			Watchers:  []string{"freezeMonitor1", "freezeMonitor2", "freezeMonitor3"},
			BatchTeam: "moulds", ServiceTeam: "desk", BasePort: 21000,
		},
		{
			Name: "saumwerk", Region: "bayern",
			Domains: []units.DomainName{"bayern-a", "bayern-b", "bayern-c"},
			Service: "orderDesk", LatencyTarget: 50 * time.Millisecond,
			Processors: "16", Memory: "60GB",
			Capacity:    units.Resources{Processors: 16000, Memory: 60e9},
			PerEndpoint: "4", QuickPath: "/quote", OrderPath: "/order",
			Watchers:  []string{"stockWatcher1", "stockWatcher2", "stockWatcher3"},
			BatchTeam: "plans", ServiceTeam: "desk", BasePort: 22000,
		},
	}
}

// Worker is the location and the addresses of a worker, its agent and its endpoint.
type Worker struct {
	ID       units.WorkerID
	Domain   units.DomainName
	Rack     units.RackName
	Worker   string // address of the worker stand-in
	Agent    string // link address of the agent
	Announce string // address at which the agent receives announcements
	Endpoint string // address of the endpoint stand-in
}

// Entry is the location and the addresses of an entry process.
type Entry struct {
	ID     units.EntryID
	Domain units.DomainName
	Caller string
	Admin  string
	Link   string
}

// callerURL returns the base URL that callers use.
func (e Entry) callerURL() string { return "http://" + e.Caller }

// LogAddress returns the address of the firm's log service.
func (f Firm) LogAddress() string { return address(f.BasePort) }

// Workers returns the firm's workers. There are three workers per rack, and racks
// are assigned to the failure domains round robin.
func (f Firm) Workers() []Worker {
	workers := make([]Worker, 0, workersPerFirm)
	for i := range workersPerFirm {
		rack := i / workersPerRack
		port := f.BasePort + 100 + i*portsPerProcess
		workers = append(workers, Worker{
			ID:       units.WorkerID(fmt.Sprintf("%s-worker-%02d", f.Name, i+1)),
			Domain:   f.Domains[rack%len(f.Domains)],
			Rack:     units.RackName(fmt.Sprintf("rack-%d", rack+1)),
			Worker:   address(port),
			Agent:    address(port + 1),
			Announce: address(port + 2),
			Endpoint: address(port + 3),
		})
	}
	return workers
}

// Entries returns the firm's entry processes, one in each failure domain.
func (f Firm) Entries() []Entry {
	entries := make([]Entry, 0, entriesPerFirm)
	for i := range entriesPerFirm {
		port := f.BasePort + 20 + i*portsPerProcess
		entries = append(entries, Entry{
			ID:     units.EntryID(fmt.Sprintf("%s-entry-%d", f.Name, i+1)),
			Domain: f.Domains[i%len(f.Domains)],
			Caller: address(port),
			Admin:  address(port + 1),
			Link:   address(port + 2),
		})
	}
	return entries
}

func address(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
