package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/ledger"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/environment"
	"wasabihill.example/wasabihill/pkg/units"
)

// fixture is a dispatcher with a ledger, workers and a clock. Assigned tasks
// start at once.
type fixture struct {
	t          testing.TB
	dispatcher *Dispatcher
	ledger     *ledger.Ledger
	document   *environment.Document
	input      Input
	offset     units.Offset
	now        time.Time
}

// cores returns n cores with 2 GiB of memory each.
func cores(n int64) units.Resources {
	return units.Resources{Processors: units.Millicores(n * 1000), Memory: units.Bytes(n) * 2 * units.GiB}
}

func newFixture(t testing.TB, workers int) *fixture {
	f := &fixture{t: t, dispatcher: New(rand.New(rand.NewPCG(1, 2))), ledger: ledger.New(), now: time.Unix(1000, 0), document: &environment.Document{
		Teams:    []environment.Team{{Name: "a", Quota: cores(1e5), MayBorrow: true}, {Name: "b", Quota: cores(1e5)}},
		Services: []environment.Service{{Name: "desk", PerEndpoint: cores(8)}},
		Guards:   environment.Guards{LatencyRatio: 1.2}, LargestWorker: cores(32)}}
	for i := range 4 {
		f.document.FailureDomains = append(f.document.FailureDomains, environment.FailureDomain{Name: units.DomainName(fmt.Sprint("d", i)), State: environment.DomainIn})
	}
	f.input = Input{Ledger: f.ledger, Document: f.document, LogReachable: true}
	for i := range workers {
		f.input.Workers = append(f.input.Workers, Worker{ID: units.WorkerID(fmt.Sprint("w", i)), Epoch: 1, Domain: units.DomainName(fmt.Sprint("d", i%4)),
			Rack: units.RackName(fmt.Sprint("r", i/4%3)), Capacity: cores(32), HasSession: true})
	}
	return f
}

func (f *fixture) apply(entry []byte) {
	f.t.Helper()
	f.offset++
	if err := f.ledger.Apply(f.offset, entry); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fixture) submit(id string, team string, p wire.Priority, tasks uint32, size units.Resources) {
	f.t.Helper()
	kind := wire.TaskKind_TASK_KIND_BATCH
	if len(id) > 8 && id[:8] == ledger.WatcherPrefix {
		kind = wire.TaskKind_TASK_KIND_WATCHER
	}
	f.apply(ledger.EncodeSubmitted(&wire.JobSubmitted{Job: id, Team: team, Tasks: tasks,
		Spec: &wire.TaskSpec{Kind: kind, Priority: p, JobKind: "kind-" + team, Size: wire.FromResources(size)}}))
}

// tick advances the clock by 50 ms, runs the dispatcher and applies its
// proposals. Assigned tasks start at once and are committed on their worker.
func (f *fixture) tick() []Proposal {
	f.t.Helper()
	f.now = f.now.Add(50 * time.Millisecond)
	f.input.Now = f.now
	proposals := f.dispatcher.Tick(f.input)
	for _, p := range proposals {
		f.apply(p.Encode())
		if p.Action == Assign {
			f.apply(ledger.EncodeStarted(p.Task, p.Attempt))
			w := f.worker(p.WorkerEpoch.Worker)
			w.Committed = w.Committed.Add(p.Committed)
		}
	}
	return proposals
}

func (f *fixture) worker(id units.WorkerID) *Worker {
	for i := range f.input.Workers {
		if f.input.Workers[i].ID == id {
			return &f.input.Workers[i]
		}
	}
	f.t.Fatalf("no worker %q", id)
	return nil
}

// run ticks for the duration and returns all proposals.
func (f *fixture) run(d time.Duration) []Proposal {
	var all []Proposal
	for range d / (50 * time.Millisecond) {
		all = append(all, f.tick()...)
	}
	return all
}

// end ends the attempt of every assignment with the entry and frees its resources.
func (f *fixture) end(proposals []Proposal, entry func(Proposal) []byte) {
	for _, p := range proposals {
		if p.Action == Assign {
			f.apply(entry(p))
			w := f.worker(p.WorkerEpoch.Worker)
			w.Committed = w.Committed.Sub(p.Committed)
		}
	}
}

func encodeFailure(p Proposal) []byte {
	return ledger.EncodeReleased(p.Task, p.Attempt, ledger.Release{Reason: "exit 1", CountsAsFailure: true})
}

func encodeCompletion(used units.Resources) func(Proposal) []byte {
	return func(p Proposal) []byte {
		return ledger.EncodeEnded(p.Task, p.Attempt, wire.Outcome_OUTCOME_COMPLETED, time.Second, used)
	}
}

const (
	low    = wire.Priority_PRIORITY_LOW
	normal = wire.Priority_PRIORITY_NORMAL
	high   = wire.Priority_PRIORITY_HIGH
	urgent = wire.Priority_PRIORITY_URGENT
)

func count(proposals []Proposal, keep func(Proposal) bool) int {
	n := 0
	for _, p := range proposals {
		if keep(p) {
			n++
		}
	}
	return n
}
