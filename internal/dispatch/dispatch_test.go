package dispatch

import (
	"fmt"
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/ledger"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/environment"
	"wasabihill.example/wasabihill/pkg/units"
)

// TestNeverOvercommits guards against overcommitted workers. They come about when
// the dispatcher does not subtract its own proposals that heartbeats do not show
// yet.
func TestNeverOvercommits(t *testing.T) {
	f := newFixture(t, 9)
	f.submit("j", "a", normal, 500, cores(5))
	all := f.run(20 * time.Second)
	if got := len(all); got != 9*6 {
		t.Errorf("got %d assignments, want 54: six of 5 cores on each worker", got)
	}
	for _, w := range f.input.Workers {
		if !w.Committed.Fits(w.Capacity) {
			t.Errorf("worker %s has %v committed of %v", w.ID, w.Committed, w.Capacity)
		}
	}
}

// TestQuota guards against teams that exceed their quota: tasks within quota are
// placed before borrowed ones, a team that may not borrow stops at its quota, and
// borrowed attempts are marked.
func TestQuota(t *testing.T) {
	f := newFixture(t, 2)
	f.document.Teams[0].Quota, f.document.Teams[1].Quota = cores(8), cores(16)
	f.submit("a1", "a", urgent, 100, cores(4))
	f.submit("b1", "b", low, 100, cores(4))
	all := f.run(10 * time.Second)
	a := count(all, func(p Proposal) bool { return p.Task.Job == "a1" })
	borrowed := count(all, func(p Proposal) bool { return p.Borrowed })
	if b := len(all) - a; a != 12 || b != 4 || borrowed != 10 {
		t.Errorf("got %d for a of which %d borrowed, %d for b; want 12, 10, 4", a, borrowed, b)
	}
}

// TestReclaim guards against tasks within quota that wait forever while borrowed
// tasks occupy the capacity.
func TestReclaim(t *testing.T) {
	f := newFixture(t, 1)
	f.document.Teams[0].Quota = cores(4)
	f.submit("a1", "a", high, 8, cores(4))
	f.run(5 * time.Second)
	f.input.Workers[0].Evictable = cores(28)
	f.submit("b1", "b", low, 1, cores(4))
	all := f.run(5 * time.Second)
	if len(all) == 0 || all[0].Task.Job != "b1" || len(all[0].Victims) != 1 || !all[0].MayEvict {
		t.Errorf("got proposals %v, want b1 assigned with one borrowed task as the victim", all)
	}
}

// TestReclaimNeedsKnownWait guards against borrowed attempts that are evicted for a
// task at once because the table of waiting tasks was full when it came.
func TestReclaimNeedsKnownWait(t *testing.T) {
	f := newFixture(t, 1)
	f.document.Teams[0].Quota = cores(4)
	f.submit("a1", "a", high, 8, cores(4))
	f.run(5 * time.Second)
	f.input.Workers[0].Evictable = cores(28)
	for i := range maxUnplacedTasks {
		f.dispatcher.unplacedSince[units.Task{Job: "other", Index: uint32(i)}] = f.now
	}
	f.submit("b1", "b", low, 1, cores(4))
	if got := f.tick(); len(got) != 0 {
		t.Errorf("proposals for a task that has just come: got %v, want none", got)
	}
}

// TestPriorityOrder guards against tasks placed in the wrong order: priority comes
// first, then the team's share, then age. Low priorities must not starve.
func TestPriorityOrder(t *testing.T) {
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
		f.end(got, func(p Proposal) []byte { return ledger.EncodeEvicted(p.Task, p.Attempt, "", "") })
	}
	if first[0].Task != (units.Task{Job: "j2", Index: 0}) || first[1].Task.Index != 1 {
		t.Errorf("got first proposals %v, want the oldest high-priority tasks", first[:2])
	}
	if lows < 200 || lows > 800 {
		t.Errorf("got %d starts of low-priority tasks in 8,000 ticks, want about one in 20 ticks", lows)
	}
}

// TestLearnedSize guards against committing the declared size of a job kind whose
// tasks use far less, which wastes capacity.
func TestLearnedSize(t *testing.T) {
	f := newFixture(t, 4)
	f.submit("j1", "a", normal, 40, cores(4))
	used := units.Resources{Processors: 400, Memory: units.GiB}
	for range 20 {
		f.end(f.run(time.Second), encodeCompletion(used))
	}
	f.submit("j2", "a", normal, 1, cores(4))
	got := f.run(time.Second)[0].Committed
	if got.Processors < 400 || got.Processors > 500 || got.Memory < units.GiB || got.Memory > 3*units.GiB/2 {
		t.Errorf("got committed %v, want a little above %v", got, used)
	}
}

// TestFailingWorker guards against a worker on which every task fails: it is always
// the emptiest and would attract all tasks. Its backoff must grow with each failure,
// and it must return with a single probe.
func TestFailingWorker(t *testing.T) {
	f := newFixture(t, 8)
	f.submit("long", "a", low, 7, cores(20))
	assigned, longestPause, last := 0, time.Duration(0), f.now
	broken := true
	for i := range 20 * 240 {
		f.submit(fmt.Sprint("j", i), "a", low, 1, cores(1))
		for _, p := range f.tick() {
			switch {
			case p.Action != Assign || p.Task.Job == "long":
			case p.WorkerEpoch.Worker == "w0" && broken:
				f.end([]Proposal{p}, encodeFailure)
				assigned, longestPause, last = assigned+1, max(longestPause, f.now.Sub(last)), f.now
			default:
				f.end([]Proposal{p}, encodeCompletion(cores(1)))
			}
		}
	}
	if assigned > 25 || longestPause < 40*time.Second {
		t.Errorf("got %d tasks on the failing worker with a longest pause of %v, want at most 25 and at least 40s", assigned, longestPause)
	}
	broken = false
	f.now = f.now.Add(10 * time.Minute)
	f.submit("x", "a", low, 400, cores(1))
	if got := count(f.run(10*time.Second), func(p Proposal) bool { return p.WorkerEpoch.Worker == "w0" }); got != 1 {
		t.Errorf("got %d tasks on the suspect worker while its probe runs, want 1", got)
	}
}

// TestPermanentFailure guards against tasks that are retried forever because they
// always fail, fit no worker or exceed a quota, and against failing a task
// permanently because of one worker.
func TestPermanentFailure(t *testing.T) {
	f := newFixture(t, 4)
	f.submit("bad", "a", normal, 1, cores(1))
	f.submit("huge", "a", normal, 1, cores(64))
	f.submit("over", "b", normal, 1, cores(20))
	f.document.Teams[1].Quota = cores(10)
	attempts := map[units.JobID]int{}
	for range 1200 {
		got := f.tick()
		for _, p := range got {
			if p.Action == Assign {
				attempts[p.Task.Job]++
			}
		}
		f.end(got, encodeFailure)
	}
	for _, id := range []units.JobID{"bad", "huge", "over"} {
		if j := f.ledger.Job(id); !j.Failed || j.Reason == "" {
			t.Errorf("job %s has not failed or has no reason", id)
		}
	}
	if attempts["bad"] != 4 || attempts["huge"] != 0 || attempts["over"] != 0 {
		t.Errorf("got attempts %v, want 4 of job bad and no others", attempts)
	}
}

// TestRamps guards against too many starts at once after a log outage, and on the
// workers of a failure domain that returns to service.
func TestRamps(t *testing.T) {
	f := newFixture(t, 40)
	f.submit("j", "a", normal, 10_000, units.Resources{Processors: 100, Memory: units.MiB})
	f.tick()
	f.input.LogReachable = false
	if got := f.run(time.Minute); len(got) != 0 {
		t.Errorf("got %d proposals while the log is unreachable, want none", len(got))
	}
	f.input.LogReachable = true
	if got := len(f.run(time.Second)); got > 20*DefaultStartsPerTick/4 {
		t.Errorf("got %d starts in the first second after the outage, want at most 300", got)
	}
	f.run(15 * time.Second)
	f.document = &environment.Document{FailureDomains: []environment.FailureDomain{{Name: "d0", State: environment.DomainOut}, {Name: "d1", State: environment.DomainIn}},
		Teams: f.document.Teams, LargestWorker: cores(32)}
	f.input.Document = f.document
	in := func(p Proposal) bool { return f.worker(p.WorkerEpoch.Worker).Domain == "d0" }
	f.submit("k", "a", normal, 10_000, cores(1))
	if got := count(f.run(10*time.Second), in); got != 0 {
		t.Errorf("got %d starts in a failure domain that is out of service, want none", got)
	}
	back := *f.document
	back.FailureDomains = []environment.FailureDomain{{Name: "d0", State: environment.DomainIn}}
	f.input.Document = &back
	if got := f.tick(); count(got, in) == 0 || count(got, in) > 10*2 {
		t.Errorf("got %d starts in the first tick of the returning domain, want 1 to 20", count(got, in))
	}
	f.run(20 * time.Second)
	if free := f.input.Workers[0].Capacity.Sub(f.input.Workers[0].Committed); free.Processors > 2000 {
		t.Errorf("got %v free on a worker 20 s after its failure domain returned, want at most 2 cores", free)
	}
}

// TestUrgent guards against urgent tasks that wait in a full cluster: they must be
// proposed in the tick after they arrive, with victims.
func TestUrgent(t *testing.T) {
	f := newFixture(t, 4)
	f.submit("j", "a", normal, 1000, cores(4))
	f.run(10 * time.Second)
	for i := range f.input.Workers {
		f.input.Workers[i].Evictable = cores(32)
	}
	f.submit("u", "b", urgent, 3, cores(8))
	got := f.tick()
	if len(got) != 3 || got[0].Task.Job != "u" || len(got[0].Victims) != 2 || !got[0].MayEvict {
		t.Errorf("got proposals %+v, want three urgent assignments with two victims each", got)
	}
	for i := range f.input.Workers { // restarted agents adopt the tasks of their earlier epoch
		f.input.Workers[i].Epoch = 2
	}
	f.submit("v", "b", urgent, 1, cores(8))
	if got := f.tick(); len(got) != 1 || got[0].Task.Job != "v" || !got[0].MayEvict {
		t.Errorf("got proposals %+v, want an urgent assignment to a worker with adopted tasks", got)
	}
}

// TestInterference guards against several tasks of job kinds that slow an endpoint
// on the same worker as that endpoint.
func TestInterference(t *testing.T) {
	f := newFixture(t, 4)
	for i := range 2 {
		f.input.Workers[i].Services = []units.ServiceName{"desk"}
	}
	f.input.Interference = Interference{"kind-a": {"desk": 1.15}, "kind-b": {"desk": 1.6}}
	f.submit("mild", "a", normal, 4, cores(1))
	f.submit("noisy", "b", normal, 12, cores(10))
	all := f.run(5 * time.Second)
	perEndpointWorker := map[string]int{}
	for _, p := range all {
		if len(f.worker(p.WorkerEpoch.Worker).Services) > 0 {
			perEndpointWorker[string(p.Task.Job)+"@"+string(p.WorkerEpoch.Worker)]++
		}
	}
	for key, n := range perEndpointWorker {
		if n > 1 {
			t.Errorf("got %d tasks %s on a worker with an endpoint, want at most 1", n, key)
		}
	}
	if len(all) < 4+6 {
		t.Errorf("got %d starts, want at least 10: workers without endpoints are free", len(all))
	}
}

// TestSpread guards against watchers concentrated on a rack or failure domain,
// whose loss would then stop many of them.
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

// TestReservation guards against the starvation of a large task by a stream of
// small ones.
func TestReservation(t *testing.T) {
	f := newFixture(t, 2)
	f.submit("small", "a", normal, 5000, cores(4))
	running := f.run(time.Second)
	f.submit("large", "b", normal, 1, cores(30))
	for range 120 * 20 {
		if len(running) > 0 {
			f.end(running[:1], encodeCompletion(cores(4)))
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

// TestReleaseAndCancel guards against tasks that stay assigned to an ended worker
// epoch, and against starts delayed by a burst of cancelled jobs.
func TestReleaseAndCancel(t *testing.T) {
	f := newFixture(t, 3)
	f.submit("j", "a", normal, 6, cores(1))
	f.run(time.Second)
	f.input.EpochEnded = func(h ledger.WorkerEpoch) bool { return h.Worker == "w0" }
	open := len(f.ledger.TasksOn(ledger.WorkerEpoch{Worker: "w0", Epoch: 1}))
	all := f.run(2 * time.Second)
	if got := count(all, func(p Proposal) bool { return p.Action == Release }); got != open || open == 0 {
		t.Errorf("got %d releases, want %d", got, open)
	}
	for i := range 2000 {
		f.submit(fmt.Sprint("c", i), "a", high, 1, cores(1))
		f.apply(ledger.EncodeCancelled(units.JobID(fmt.Sprint("c", i)), ""))
	}
	f.submit("after", "a", low, 20, cores(1))
	if got := f.tick(); len(got) < 3 || got[0].Task.Job != "after" {
		t.Errorf("got proposals %v, want the low-priority job assigned in the first tick", got)
	}
}
