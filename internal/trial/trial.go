// Package trial compares the dispatch policies with a naive scheduler. It runs
// the real ledger and dispatcher under a simulated clock, with fakes at their
// interfaces: workers that run tasks, a log that can be unreachable, the agent's
// guard, and an endpoint whose latency follows a simple interference model. It
// tests policies and does not model a whole cluster: connections, processes and
// leases are reduced to fixed delays.
package trial

import (
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"
	"wasabihill.example/wasabihill/pkg/units"
)

// Cluster describes the workers and endpoints of an environment.
type Cluster struct {
	Name      string
	Workers   int
	Capacity  units.Resources // of each worker
	Endpoint  units.Resources // reserved by the endpoint on each worker
	Watchers  int
	TaskCores float64 // cores of a typical task
}

// Clusters are the two clusters of the trial at their present size: 11 workers
// with one endpoint each, in 3 failure domains, with racks of three workers within
// a domain.
var Clusters = []Cluster{
	{"Barafu", 11, units.Resources{Processors: 32_000, Memory: 125e9}, units.Resources{Processors: 8000, Memory: 16e9}, 9, 2},
	{"Saumwerk", 11, units.Resources{Processors: 16_000, Memory: 60e9}, units.Resources{Processors: 4000, Memory: 8e9}, 6, 1},
}

// Scenario describes the load and faults of a run. Times count from its start.
type Scenario struct {
	Name          string
	Load          float64 // offered batch work divided by the capacity that endpoints leave free
	LoadShift     bool    // requests peak at 1.4 times the reservation, in one domain at a time
	NoisyWaves    bool    // a burst of interfering tasks every three minutes
	WrongSizes    bool    // declared sizes wrong by a factor of 0.1 to 10
	FailingWorker bool    // one worker fails every batch task from the first minute on
	LogOutage     bool    // the log is unreachable from minute 5 to 15
	DomainOut     bool    // one domain is out of service from minute 7 to 13
}

// Scenarios are the scenarios of the trial. Offered work exceeds the capacity, so
// that the finished batch work measures throughput, not demand.
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
	crashAt       = 4 * time.Minute // one instance crashes in every scenario except the log outage
	crashDuration = 3 * time.Minute
	failingFrom   = time.Minute
	outageFrom    = 5 * time.Minute
	outageTo      = 15 * time.Minute
	absentFrom    = 7 * time.Minute
	absentTo      = 13 * time.Minute
	wavePeriod    = 3 * time.Minute
	// A lease lasts 8 s. The lessor records the expiry leaseMargin after the end
	// of the lease; the last grant is up to a quarter of the lease before a crash.
	lease       = 8 * time.Second
	leaseMargin = time.Second
)

// Version selects the scheduler of a run.
type Version int

// The versions. Ideal is the product's dispatcher in a simulation without
// interference and guard, in which declared sizes are exact and the failing
// worker is drained.
const (
	Product Version = iota
	Naive
	Ideal
)

func (v Version) String() string { return [...]string{"product", "naive", "ideal"}[v] }

// Result holds the measurements of one run.
type Result struct {
	Finished         float64       // core seconds of the tasks that completed
	Evictions        int           // by guards and for urgent tasks; evictions from a domain taken out of service are not counted
	Failures         int           // failed attempts
	RejectedLaunches int           // launches rejected by agents
	Unwatched        time.Duration // longest time for which a watcher did not run
	P99              float64       // of requests, relative to the median base latency
	QuietP99         float64       // of the same requests without batch
	AbsenceShare     float64       // work done during the domain's absence, divided by the remaining workers' share of the work before
	BackToFull       time.Duration // time from the domain's return; -1 if not reached
	UrgentStart      time.Duration // longest time from submission to start
	EndedTasks       int
	RejectedEntries  uint64 // entries that the ledger rejected
}

// Run simulates one version in a scenario for the given length of time.
func Run(f Cluster, c Scenario, v Version, seed uint64, length time.Duration) Result {
	x := newSimulation(f, c, v, seed)
	for x.elapsed < length {
		x.step()
	}
	return x.result()
}

// RunAll runs every scenario of a cluster with each version, at most parallel runs
// at a time.
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

// Comparison holds the results of one scenario, indexed by version.
type Comparison struct {
	Scenario Scenario
	Results  [Ideal + 1]Result
}

func workerID(i int) units.WorkerID { return units.WorkerID(fmt.Sprint("worker-", i)) }
