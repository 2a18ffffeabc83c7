// Package soak runs the real programs as separate processes against stand-ins of
// the platform, injects faults from outside the processes, and checks the promises
// of the product from the observations of callers and runners.
//
// Reading order: soak.go (a run), fleet.go (processes and stand-ins),
// schedule.go and faults.go (faults), callers.go (load), checks.go (promises),
// report.go.
package soak

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/pause"
	"wasabihill.example/wasabihill/internal/standin/taskrunner"
)

// Kind is the kind of an error of this package.
type Kind string

// The kinds of errors.
const (
	NotStarted Kind = "notStarted" // the deployment did not start
	Invalid    Kind = "invalid"    // the settings of the run are invalid
	Late       Kind = "late"       // a process has not stopped in time
)

const (
	// readyTimeout bounds the first start of the processes.
	readyTimeout = 15 * time.Second
	// initialFaultFreeTime is the time under load before the first fault.
	initialFaultFreeTime = 1500 * time.Millisecond
	// jobsTimeout is how long accepted jobs may take to end after the last fault:
	// it covers a failover, the expiry of leases of lost tasks, and the tasks'
	// run time.
	jobsTimeout = 25 * time.Second
	// pollInterval is the time between two queries while waiting.
	pollInterval = 100 * time.Millisecond
)

// Run is the soak run of one seed. Set the exported fields before calling Run.
type Run struct {
	Seed    uint64
	Faults  time.Duration // how long faults are injected
	Entries int
	Agents  int
	Binary  string  // path of wasabihill-node
	Dir     string  // directory of settings and logs
	Catalog Catalog // kinds of faults to choose from; the standard ones when empty
	Only    string  // the only kinds of faults to inject, separated by commas; empty for all kinds of the catalog
	Rate    float64 // faults per second; faultsPerSecond when 0
	Shares  float64 // multiple of the deployments' shares of a core that each process has; 0 means whole cores

	began     time.Time // start of the fault-free time before the first fault
	fleet     *fleet
	generator *loadGenerator

	mu         sync.Mutex // guards the fields below
	injected   []injectedFault
	domainsOut []noStartPeriod // periods in which failure domains were out of service
	// evacuations counts the current evacuations of each failure domain.
	evacuations map[string]int
	draining    []noStartPeriod // periods in which runners were draining
	failures    []Broken
}

// Result is the result of a run.
type Result struct {
	Seed      uint64
	Took      time.Duration
	Broken    []Broken // violations, ordered by time
	Accepted  int
	Rejected  int
	Responses int
	Starts    int
	Faults    []injectedFault
	Runs      []taskrunner.Run
	Began     time.Time
	Processes []string // names, entry processes first
	Dir       string
}

// Broken is a violation of a promise. It is encoded as JSON under its field names.
type Broken struct {
	Promise string
	At      time.Time
	Job     string // empty if the violation concerns no single job
	Text    string
}

// Run executes the schedule of the seed and evaluates the result.
func (r *Run) Run(ctx context.Context) (*Result, error) {
	if r.Entries < 2 || r.Agents < 2 {
		return nil, fault.New("soak", Invalid, "%d entry processes and %d agents; want at least two of each", r.Entries, r.Agents)
	}
	if !slices.Contains(catalogs, r.Catalog) {
		return nil, fault.New("soak", Invalid, "unknown catalog of faults %q", r.Catalog)
	}
	if !slices.ContainsFunc(r.Catalog.kinds(), func(k faultKind) bool { return r.chooses(k.name) }) {
		return nil, fault.New("soak", Invalid, "unknown kind of fault %q", r.Only)
	}
	if err := os.MkdirAll(r.Dir, 0o755); err != nil {
		return nil, fault.Wrap("soak", NotStarted, err)
	}
	begin := time.Now()
	r.evacuations = make(map[string]int)
	f, err := newFleet(r)
	if err != nil {
		return nil, err
	}
	r.fleet = f
	defer f.close()
	if err := f.start(); err != nil {
		return nil, err
	}
	if r.Shares > 0 {
		defer f.limitShares(r.Shares)()
	}
	if err := f.awaitReady(ctx, readyTimeout); err != nil {
		return nil, err
	}
	r.generator = newLoadGenerator(f, r.Seed, r.Catalog.templates())
	defer r.generator.close()
	r.execute(ctx)
	result := r.evaluate()
	result.Took = time.Since(begin)
	return result, ctx.Err()
}

// chooses reports whether faults of the kind are injected.
func (r *Run) chooses(kind string) bool {
	return r.Only == "" || slices.Contains(strings.Split(r.Only, ","), kind)
}

// execute generates load, injects the faults, clears them and waits until all
// accepted jobs have ended.
func (r *Run) execute(ctx context.Context) {
	r.began = time.Now()
	load, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var group errgroup.Group
	group.Go(func() error { r.generator.run(load); return nil })
	for _, f := range schedule(r) {
		if !pause.For(ctx, time.Until(r.began.Add(initialFaultFreeTime+f.at))) {
			break
		}
		group.Go(func() error { r.inject(ctx, f); return nil })
	}
	pause.For(ctx, time.Until(r.began.Add(initialFaultFreeTime+r.Faults)))
	stopLoad()
	_ = group.Wait() // neither returns an error
	r.fleet.clearFaults(r)
	r.generator.waitForJobs(ctx, jobsTimeout)
}

func (r *Run) String() string {
	return fmt.Sprintf("seed %d, %d entry processes, %d agents, faults for %v", r.Seed, r.Entries, r.Agents, r.Faults)
}
