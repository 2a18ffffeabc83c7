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

// fixture is a ledger, a table of workers and a clock. Accepted assignments
// start at once.
type fixture struct {
	t      testing.TB
	d      *Dispatcher
	l      *ledger.Ledger
	doc    *environment.Document
	in     Input
	offset units.Offset
	now    time.Time
}

func cores(n int64) units.Resources {
	return units.Resources{Processors: units.Millicores(n * 1000), Memory: units.Bytes(n) * 2 * units.GiB}
}

func newFixture(t testing.TB, workers int) *fixture {
	f := &fixture{t: t, d: New(rand.New(rand.NewPCG(1, 2))), l: ledger.New(), now: time.Unix(1000, 0), doc: &environment.Document{
		Teams:    []environment.Team{{Name: "a", Quota: cores(1e5), MayBorrow: true}, {Name: "b", Quota: cores(1e5)}},
		Services: []environment.Service{{Name: "desk", PerEndpoint: cores(8)}},
		Guards:   environment.Guards{LatencyRatio: 1.2}, LargestWorker: cores(32)}}
	for i := range 4 {
		f.doc.FailureDomains = append(f.doc.FailureDomains, environment.FailureDomain{Name: units.DomainName(fmt.Sprint("d", i)), State: environment.DomainIn})
	}
	f.in = Input{Ledger: f.l, Document: f.doc, LogReachable: true}
	for i := range workers {
		f.in.Workers = append(f.in.Workers, Worker{ID: units.WorkerID(fmt.Sprint("w", i)), Epoch: 1, Domain: units.DomainName(fmt.Sprint("d", i%4)),
			Rack: units.RackName(fmt.Sprint("r", i/4%3)), Capacity: cores(32), HasSession: true})
	}
	return f
}

func (f *fixture) apply(entry []byte) {
	f.t.Helper()
	f.offset++
	if err := f.l.Apply(f.offset, entry); err != nil {
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

// tick advances the clock by 50 ms and applies the proposals: assigned tasks
// start and are committed at once.
func (f *fixture) tick() []Proposal {
	f.t.Helper()
	f.now = f.now.Add(50 * time.Millisecond)
	f.in.Now = f.now
	proposals := f.d.Tick(f.in)
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
	for i := range f.in.Workers {
		if f.in.Workers[i].ID == id {
			return &f.in.Workers[i]
		}
	}
	f.t.Fatalf("no worker %q", id)
	return nil
}

// run ticks until the duration is over and returns all proposals.
func (f *fixture) run(d time.Duration) []Proposal {
	var all []Proposal
	for range d / (50 * time.Millisecond) {
		all = append(all, f.tick()...)
	}
	return all
}

// finish ends the attempt of every assignment.
func (f *fixture) finish(proposals []Proposal, entry func(Proposal) []byte) {
	for _, p := range proposals {
		if p.Action == Assign {
			f.apply(entry(p))
			w := f.worker(p.WorkerEpoch.Worker)
			w.Committed = w.Committed.Sub(p.Committed)
		}
	}
}

func fails(p Proposal) []byte {
	return ledger.EncodeReleased(p.Task, p.Attempt, ledger.Release{Reason: "exit 1", CountsAsFailure: true})
}

func completes(used units.Resources) func(Proposal) []byte {
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

// TestNeverOvercommits guards against a view that forgets its own proposals:
// no worker may be given more than it has, with or without heartbeats between.
func TestNeverOvercommits(t *testing.T) {
	f := newFixture(t, 9)
	f.submit("j", "a", normal, 500, cores(5))
	all := f.run(20 * time.Second)
	if got := len(all); got != 9*6 {
		t.Errorf("got %d assignments, want 54: six of 5 cores on each worker", got)
	}
	for _, w := range f.in.Workers {
		if !w.Committed.Fits(w.Capacity) {
			t.Errorf("worker %s has %v committed of %v", w.ID, w.Committed, w.Capacity)
		}
	}
}

// TestQuota guards the shares of teams: borrowers come last, a team that may
// not borrow stops at its quota, and borrowed attempts are marked.
func TestQuota(t *testing.T) {
	f := newFixture(t, 2)
	f.doc.Teams[0].Quota, f.doc.Teams[1].Quota = cores(8), cores(16)
	f.submit("a1", "a", urgent, 100, cores(4))
	f.submit("b1", "b", low, 100, cores(4))
	all := f.run(10 * time.Second)
	a := count(all, func(p Proposal) bool { return p.Task.Job == "a1" })
	borrowed := count(all, func(p Proposal) bool { return p.Borrowed })
	if b := len(all) - a; a != 12 || b != 4 || borrowed != 10 {
		t.Errorf("got %d for a of which %d borrowed, %d for b; want 12, 10, 4", a, borrowed, b)
	}
}

// TestReclaim guards work within its quota against borrowers that never leave.
func TestReclaim(t *testing.T) {
	f := newFixture(t, 1)
	f.doc.Teams[0].Quota = cores(4)
	f.submit("a1", "a", high, 8, cores(4))
	f.run(5 * time.Second)
	f.in.Workers[0].Evictable = cores(28)
	f.submit("b1", "b", low, 1, cores(4))
	all := f.run(5 * time.Second)
	if len(all) == 0 || all[0].Task.Job != "b1" || len(all[0].Victims) != 1 || !all[0].MayEvict {
		t.Errorf("got %v, want b1 in place of one borrowed task", all)
	}
}

// TestOrder guards priority before share before age, and low priorities
// against starvation.
func TestOrder(t *testing.T) {
	f := newFixture(t, 1)
	for i, p := range []wire.Priority{low, normal, high} {
		f.submit(fmt.Sprint("j", i), "a", p, 50, cores(16))
	}
	var first []Proposal
	lows := 0
	for range 8_000 {
		got := f.tick()
		if len(first) < 2 {
			first = append(first, got...)
		}
		lows += count(got, func(p Proposal) bool { return p.Task.Job == "j0" })
		f.finish(got, func(p Proposal) []byte { return ledger.EncodeEvicted(p.Task, p.Attempt, "", "") })
	}
	if first[0].Task != (units.Task{Job: "j2", Index: 0}) || first[1].Task.Index != 1 {
		t.Errorf("got first %v, want the oldest of high", first[:2])
	}
	if lows < 200 || lows > 800 {
		t.Errorf("got %d of low in 8,000 ticks, want about one tick in 20", lows)
	}
}

// TestLearnedSize guards both directions: declared sizes that waste room, and
// ones that are too small.
func TestLearnedSize(t *testing.T) {
	f := newFixture(t, 4)
	f.submit("j1", "a", normal, 40, cores(4))
	used := units.Resources{Processors: 400, Memory: units.GiB}
	for range 20 {
		f.finish(f.run(time.Second), completes(used))
	}
	f.submit("j2", "a", normal, 1, cores(4))
	got := f.run(time.Second)[0].Committed
	if got.Processors < 400 || got.Processors > 500 || got.Memory < units.GiB || got.Memory > 3*units.GiB/2 {
		t.Errorf("got committed %v, want a little above %v", got, used)
	}
}

// TestBadWorker guards against a worker that fails everything and so is always
// the emptiest: it must back off for longer each time and return by one probe.
func TestBadWorker(t *testing.T) {
	f := newFixture(t, 8)
	f.submit("long", "a", low, 7, cores(20))
	sent, longest, last := 0, time.Duration(0), f.now
	broken := true
	for i := range 20 * 240 {
		f.submit(fmt.Sprint("j", i), "a", low, 1, cores(1))
		for _, p := range f.tick() {
			switch {
			case p.Action != Assign || p.Task.Job == "long":
			case p.WorkerEpoch.Worker == "w0" && broken:
				f.finish([]Proposal{p}, fails)
				sent, longest, last = sent+1, max(longest, f.now.Sub(last)), f.now
			default:
				f.finish([]Proposal{p}, completes(cores(1)))
			}
		}
	}
	if sent > 25 || longest < 40*time.Second {
		t.Errorf("got %d tasks sent to the failing worker, longest pause %v", sent, longest)
	}
	broken = false
	f.now = f.now.Add(10 * time.Minute)
	f.submit("x", "a", low, 400, cores(1))
	if got := count(f.run(10*time.Second), func(p Proposal) bool { return p.WorkerEpoch.Worker == "w0" }); got != 1 {
		t.Errorf("got %d tasks on the suspect while its probe runs, want 1", got)
	}
}

// TestGiveUp guards against tasks that are retried for ever, and against
// blaming a task for one worker.
func TestGiveUp(t *testing.T) {
	f := newFixture(t, 4)
	f.submit("bad", "a", normal, 1, cores(1))
	f.submit("huge", "a", normal, 1, cores(64))
	f.submit("over", "b", normal, 1, cores(20))
	f.doc.Teams[1].Quota = cores(10)
	attempts := map[units.JobID]int{}
	for range 1200 {
		got := f.tick()
		for _, p := range got {
			if p.Action == Assign {
				attempts[p.Task.Job]++
			}
		}
		f.finish(got, fails)
	}
	for _, id := range []units.JobID{"bad", "huge", "over"} {
		if j := f.l.Job(id); !j.Failed || j.Reason == "" {
			t.Errorf("job %s has not failed", id)
		}
	}
	if attempts["bad"] != 4 || attempts["huge"] != 0 || attempts["over"] != 0 {
		t.Errorf("got attempts %v, want 4 of bad only", attempts)
	}
}

// TestRamps guards against a stampede after a log outage and to a domain that
// returns.
func TestRamps(t *testing.T) {
	f := newFixture(t, 40)
	f.submit("j", "a", normal, 10_000, units.Resources{Processors: 100, Memory: units.MiB})
	f.tick()
	f.in.LogReachable = false
	if got := f.run(time.Minute); len(got) != 0 {
		t.Errorf("got %d proposals without a log, want none", len(got))
	}
	f.in.LogReachable = true
	if got := len(f.run(time.Second)); got > 20*DefaultStartsPerTick/4 {
		t.Errorf("got %d starts in the first second after the outage", got)
	}
	f.run(15 * time.Second)
	f.doc = &environment.Document{FailureDomains: []environment.FailureDomain{{Name: "d0", State: environment.DomainOut}, {Name: "d1", State: environment.DomainIn}},
		Teams: f.doc.Teams, LargestWorker: cores(32)}
	f.in.Document = f.doc
	in := func(p Proposal) bool { return f.worker(p.WorkerEpoch.Worker).Domain == "d0" }
	f.submit("k", "a", normal, 10_000, cores(1))
	if got := count(f.run(10*time.Second), in); got != 0 {
		t.Errorf("got %d starts in a domain that is out", got)
	}
	back := *f.doc
	back.FailureDomains = []environment.FailureDomain{{Name: "d0", State: environment.DomainIn}}
	f.in.Document = &back
	if got := f.tick(); count(got, in) == 0 || count(got, in) > 10*2 {
		t.Errorf("got %d starts in the first tick of the returning domain", count(got, in))
	}
	f.run(20 * time.Second)
	if free := f.in.Workers[0].Capacity.Sub(f.in.Workers[0].Committed); free.Processors > 2000 {
		t.Errorf("got %v free 20 s after the return", free)
	}
}

// TestUrgent guards urgent work behind a full cluster and a burst of starts:
// it must be proposed in the tick after it arrives, with victims named.
func TestUrgent(t *testing.T) {
	f := newFixture(t, 4)
	f.submit("j", "a", normal, 1000, cores(4))
	f.run(10 * time.Second)
	for i := range f.in.Workers {
		f.in.Workers[i].Evictable = cores(32)
	}
	f.submit("u", "b", urgent, 3, cores(8))
	got := f.tick()
	if len(got) != 3 || got[0].Task.Job != "u" || len(got[0].Victims) != 2 || !got[0].MayEvict {
		t.Errorf("got %+v, want three urgent starts with two victims each", got)
	}
	for i := range f.in.Workers { // restarted agents adopt what runs under the earlier epoch
		f.in.Workers[i].Epoch = 2
	}
	f.submit("v", "b", urgent, 1, cores(8))
	if got := f.tick(); len(got) != 1 || got[0].Task.Job != "v" || !got[0].MayEvict {
		t.Errorf("got %+v, want an urgent start on a worker whose tasks were adopted", got)
	}
}

// TestInterference guards an endpoint against kinds that slow it.
func TestInterference(t *testing.T) {
	f := newFixture(t, 4)
	for i := range 2 {
		f.in.Workers[i].Services = []units.ServiceName{"desk"}
	}
	f.in.Interference = Interference{"kind-a": {"desk": 1.15}, "kind-b": {"desk": 1.6}}
	f.submit("mild", "a", normal, 4, cores(1))
	f.submit("noisy", "b", normal, 12, cores(10))
	all := f.run(5 * time.Second)
	beside := map[string]int{}
	for _, p := range all {
		if len(f.worker(p.WorkerEpoch.Worker).Services) > 0 {
			beside[string(p.Task.Job)+"@"+string(p.WorkerEpoch.Worker)]++
		}
	}
	for key, n := range beside {
		if n > 1 {
			t.Errorf("got %d of %s beside an endpoint, want at most 1", n, key)
		}
	}
	if len(all) < 4+6 {
		t.Errorf("got %d starts, want the free workers used", len(all))
	}
}

// TestSpread guards watchers and the tasks of a job against the loss of one
// rack or domain.
func TestSpread(t *testing.T) {
	f := newFixture(t, 12)
	for i := range 12 {
		f.submit(fmt.Sprint("watcher/m", i), "a", high, 1, cores(1))
	}
	domains, racks := map[units.DomainName]int{}, map[rackKey]int{}
	for _, p := range f.run(time.Second) {
		w := f.worker(p.WorkerEpoch.Worker)
		domains[w.Domain]++
		racks[rackKey{w.Domain, w.Rack}]++
	}
	for k, n := range domains {
		if n != 3 {
			t.Errorf("got %d watchers in domain %s, want 3", n, k)
		}
	}
	if len(racks) != 12 {
		t.Errorf("got watchers on %d racks, want 12", len(racks))
	}
}

// TestReservation guards a large task against a stream of small ones.
func TestReservation(t *testing.T) {
	f := newFixture(t, 2)
	f.submit("small", "a", normal, 5000, cores(4))
	running := f.run(time.Second)
	f.submit("large", "b", normal, 1, cores(30))
	for range 120 * 20 {
		if len(running) > 0 {
			f.finish(running[:1], completes(cores(4)))
			running = running[1:]
		}
		got := f.tick()
		for _, p := range got {
			if p.Task.Job == "large" {
				return
			}
		}
		running = append(running, got...)
	}
	t.Error("the large task has not started within two minutes")
}

// TestReleaseAndCancel guards tasks on an ended epoch, and starts against a
// burst of cancellations.
func TestReleaseAndCancel(t *testing.T) {
	f := newFixture(t, 3)
	f.submit("j", "a", normal, 6, cores(1))
	f.run(time.Second)
	f.in.EpochEnded = func(h ledger.WorkerEpoch) bool { return h.Worker == "w0" }
	held := len(f.l.TasksOn(ledger.WorkerEpoch{Worker: "w0", Epoch: 1}))
	all := f.run(2 * time.Second)
	if got := count(all, func(p Proposal) bool { return p.Action == Release }); got != held || held == 0 {
		t.Errorf("got %d releases, want %d", got, held)
	}
	for i := range 2000 {
		f.submit(fmt.Sprint("c", i), "a", high, 1, cores(1))
		f.apply(ledger.EncodeCancelled(units.JobID(fmt.Sprint("c", i)), ""))
	}
	f.submit("after", "a", low, 20, cores(1))
	if got := f.tick(); len(got) < 3 || got[0].Task.Job != "after" {
		t.Errorf("got %v, want the low job served at once", got)
	}
}
