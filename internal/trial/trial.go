// Package trial measures the dispatch policies against a naive version. It
// drives the real ledger and dispatcher under a fake clock with fakes at their
// interfaces: workers that run tasks, a log that can be down, an agent's guard
// and an endpoint whose latency follows the stated interference model. It is a
// fixture for policies, not a model of a cluster: connections, processes and
// leases are reduced to fixed delays.
package trial

import (
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"
	"wasabihill.example/wasabihill/pkg/units"
)

// Firm is the shape of a firm's environment.
type Cluster struct {
	Name      string
	Workers   int
	Capacity  units.Resources // of each worker
	Endpoint  units.Resources // reserved by the endpoint beside each worker
	Watchers  int
	TaskCores float64 // cores of a typical task
}

// Firms are the two firms at their present size, with one endpoint beside each
// of 11 workers in 3 failure domains, in racks of three.
var Clusters = []Cluster{
	{"Barafu", 11, units.Resources{Processors: 32_000, Memory: 125e9}, units.Resources{Processors: 8000, Memory: 16e9}, 9, 2},
	{"Saumwerk", 11, units.Resources{Processors: 16_000, Memory: 60e9}, units.Resources{Processors: 4000, Memory: 8e9}, 6, 1},
}

// Case is one scenario. Times are from the start.
type Scenario struct {
	Name          string
	Load          float64 // offered batch work over what the workers hold beside the endpoints
	LoadShift     bool    // requests rise to twice and move from domain to domain
	NoisyWaves    bool    // bursts of noisy tasks every three minutes
	WrongSizes    bool    // declared sizes off by up to ten times either way
	FailingWorker bool    // one worker fails everything from one minute to the end
	LogOutage     bool    // from five to fifteen minutes
	DomainOut     bool    // from seven to thirteen minutes
}

// Cases are the scenarios of the trial. Offered work exceeds what fits, so that
// the batch finished shows the throughput and not the offer.
var Scenarios = []Scenario{
	{Name: "steady", Load: 1.1},
	{Name: "load shift", Load: 1.1, LoadShift: true},
	{Name: "noisy waves", Load: 1.1, NoisyWaves: true},
	{Name: "sizes wrong 10x", Load: 1.1, WrongSizes: true},
	{Name: "failing worker", Load: 1.1, FailingWorker: true},
	{Name: "log outage", Load: 1.1, LogOutage: true},
	{Name: "domain out", Load: 1.1, DomainOut: true},
	{Name: "overload 2x", Load: 2},
}

// Times of the scenarios.
const (
	step          = 50 * time.Millisecond
	horizon       = 25 * time.Minute
	crashAt       = 4 * time.Minute // one instance dies in every case but the log outage
	crashDuration = 3 * time.Minute
	failingFrom   = time.Minute
	outageFrom    = 5 * time.Minute
	outageTo      = 15 * time.Minute
	absentFrom    = 7 * time.Minute
	absentTo      = 13 * time.Minute
	wavePeriod    = 3 * time.Minute
	// A lease of 8 s; the lessor records its end 1 s after it could be over,
	// counted from a grant up to L/4 earlier.
	lease       = 8 * time.Second
	leaseMargin = time.Second
)

// Version is a scheduler under trial.
type Version int

// The versions. Ideal is the product's dispatcher that is told true sizes, in a
// world without interference or a guard, and that knows which worker fails.
const (
	Product Version = iota
	Naive
	Ideal
)

func (v Version) String() string { return [...]string{"product", "naive", "ideal"}[v] }

// Result is what one run measured.
type Result struct {
	Finished         float64       // core seconds of the tasks that ended
	Evictions        int           // by guards and for urgent work; planned moves not counted
	Failures         int           // attempts that failed
	RejectedLaunches int           // launches that an agent rejected
	Unwatched        time.Duration // longest gap of any watcher
	P99              float64       // of requests, in base latencies
	QuietP99         float64       // the same requests without batch
	AbsenceShare     float64       // work done in the absence over the remaining capacity's share of the work before
	BackToFull       time.Duration // from the domain's return, -1 when not reached
	UrgentStart      time.Duration // longest from submission to running
	EndedTasks       int
	RejectedEntries  uint64 // entries that lost in the fold
}

// Run drives one version through a case.
func Run(f Cluster, c Scenario, v Version, seed uint64, length time.Duration) Result {
	x := newSimulation(f, c, v, seed)
	for x.elapsed < length {
		x.step()
	}
	return x.result()
}

// RunAll runs every case of a firm with each version, at most parallel at a
// time.
func RunAll(f Cluster, seed uint64, parallel int) []Comparison {
	out := make([]Comparison, len(Scenarios))
	var g errgroup.Group
	g.SetLimit(parallel)
	for i, c := range Scenarios {
		out[i].Scenario = c
		for v := range out[i].Results {
			g.Go(func() error {
				out[i].Results[v] = Run(f, c, Version(v), seed, horizon)
				return nil
			})
		}
	}
	_ = g.Wait() // no run returns an error
	return out
}

// Comparison holds the results of one case by version.
type Comparison struct {
	Scenario Scenario
	Results  [Ideal + 1]Result
}

func workerID(i int) units.WorkerID { return units.WorkerID(fmt.Sprint("worker-", i)) }
