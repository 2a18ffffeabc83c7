// Package soak runs the real programs as separate processes against stand-ins of
// the platform, injects faults from outside them, and checks the promises of the
// product from what callers and runners see.
//
// Reading order: soak.go (a run), fleet.go (what runs), schedule.go and
// faults.go (what is done to it), callers.go (load), checks.go (promises),
// report.go.
package soak

import (
	"context"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/pause"
	"wasabihill.example/wasabihill/internal/standin/taskrunner"
)

// Kind tells errors of this package apart.
type Kind string

// The kinds of Error.
const (
	NotStarted Kind = "notStarted" // the deployment did not come up
	Invalid    Kind = "invalid"    // settings that can't be run
)

const (
	// readyWithin bounds the first start of everything.
	readyTimeout = 15 * time.Second
	// calmBefore is the time without faults before the first one.
	initialFaultFreeTime = 1500 * time.Millisecond
	// settleWithin is how long accepted jobs may take after the last fault: a
	// takeover, the leases of what was lost, and the work itself.
	jobsTimeout = 25 * time.Second
	// pollEvery spaces repeated questions.
	pollInterval = 100 * time.Millisecond
)

// Run is one soak of one seed. Set the exported fields before Run.
type Run struct {
	Seed    uint64
	Faults  time.Duration // for which faults are injected
	Entries int
	Agents  int
	Binary  string // wasabihill-node
	Dir     string // of settings and logs
	Only    string // inject this kind of fault alone; empty for all

	began     time.Time // of the calm before the faults
	fleet     *fleet
	generator *loadGenerator

	mu         sync.Mutex // of what follows
	injected   []injectedFault
	domainsOut []noStartPeriod // domains
	// evacuations counts those of each domain that have begun and not ended.
	evacuations map[string]int
	draining    []noStartPeriod // runners
	failures    []Broken
}

// Result is what a run has shown.
type Result struct {
	Seed      uint64
	Took      time.Duration
	Broken    []Broken // promises, the first first
	Accepted  int
	Rejected  int
	Responses int
	Starts    int
	Faults    []injectedFault
	Runs      []taskrunner.Run
	Began     time.Time
	Processes []string // names, in the order of their logs
	Dir       string
}

// Broken is a promise that was not kept.
type Broken struct {
	Promise string
	At      time.Time
	Job     string // empty when it concerns no single job
	Text    string
}

// Run plays the seed's schedule and judges it.
func (r *Run) Run(ctx context.Context) (*Result, error) {
	if r.Entries < 2 || r.Agents < 2 {
		return nil, fault.New("soak", Invalid, "%d entry processes and %d agents; want two of each at least", r.Entries, r.Agents)
	}
	if r.Only != "" && !slices.ContainsFunc(faultKinds, func(k faultKind) bool { return k.name == r.Only }) {
		return nil, fault.New("soak", Invalid, "no kind of fault is called %q", r.Only)
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
	if err := f.awaitReady(ctx, readyTimeout); err != nil {
		return nil, err
	}
	r.generator = newLoadGenerator(f, r.Seed)
	defer r.generator.close()
	r.execute(ctx)
	result := r.evaluate()
	result.Took = time.Since(begin)
	return result, ctx.Err()
}

// play offers load, injects the faults, heals everything and waits until all
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
