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

// TestUrgentAtScale guards against urgent tasks delayed by 10,000 waiting tasks or
// the limit of starts. With 49 starts in every tick, 980 a second, they must be
// proposed within five ticks, a sixth of the 1.4 s allowed for an urgent start.
func TestUrgentAtScale(t *testing.T) {
	f := newFixture(t, 1000)
	for i := range 18_000 {
		f.submit(fmt.Sprint("j", i), "a", normal, 1, cores(4))
	}
	var running []Proposal
	for range 200 {
		running = append(running, f.tick()...)
	}
	for i := range f.input.Workers {
		f.input.Workers[i].Evictable = f.input.Workers[i].Committed
	}
	started, worst := 0, 0
	submitted := map[units.JobID]int{}
	for n := range 100 {
		f.end(running[:49], func(p Proposal) []byte { return ledger.EncodeReleased(p.Task, p.Attempt, ledger.Release{}) })
		running = running[49:]
		if n%5 == 0 && n < 90 {
			id := fmt.Sprint("u", n)
			f.submit(id, "b", urgent, 2, cores(8))
			submitted[units.JobID(id)] = n
		}
		for _, p := range f.tick() {
			if at, ok := submitted[p.Task.Job]; ok {
				started++
				worst = max(worst, n-at)
			} else {
				running = append(running, p)
			}
		}
	}
	if started != 2*len(submitted) || worst > 5 {
		t.Errorf("got %d of %d urgent starts, the slowest after %d ticks; want all within 5", started, 2*len(submitted), worst)
	}
}

// TestTwoDispatchers guards against tasks that run twice when two processes both
// dispatch every job: the ledger must reject the later of two conflicting
// proposals.
func TestTwoDispatchers(t *testing.T) {
	f := newFixture(t, 12)
	other := New(rand.New(rand.NewPCG(7, 7)))
	open := map[units.Task]units.Attempt{}
	f.ledger.Observe = func(c ledger.Change) {
		switch {
		case c.Reason != "":
		case c.Kind == "assigned":
			if open[c.Task] != 0 {
				t.Errorf("%v: attempt %d assigned while %d is open", c.Task, c.Attempt, open[c.Task])
			}
			open[c.Task] = c.Attempt
		case c.Kind == "ended":
			delete(open, c.Task)
		}
	}
	f.submit("j", "a", normal, 300, cores(4))
	f.submit("k", "b", high, 100, cores(2))
	for range 400 {
		f.now = f.now.Add(50 * time.Millisecond)
		f.input.Now = f.now
		proposals := append(append([]Proposal(nil), f.dispatcher.Tick(f.input)...), other.Tick(f.input)...)
		for _, p := range proposals {
			f.apply(p.Encode())
			if row := f.ledger.Task(p.Task); row != nil && row.State == ledger.Assigned && row.Worker == p.WorkerEpoch.Worker && row.Attempt == p.Attempt {
				f.apply(ledger.EncodeEnded(p.Task, p.Attempt, wire.Outcome_OUTCOME_COMPLETED, time.Second, cores(4)))
			}
		}
	}
	if f.ledger.Job("j").EndSequence == 0 || f.ledger.Job("k").EndSequence == 0 {
		t.Error("job j or k has not ended")
	}
	if f.ledger.Rejections()[ledger.ReasonWrongAttempt]+f.ledger.Rejections()[ledger.ReasonNotWaiting]+f.ledger.Rejections()[ledger.ReasonNotOpen]+f.ledger.Rejections()[ledger.ReasonJobEnded] == 0 {
		t.Error("the ledger rejected no proposal, so the test did not exercise conflicts")
	}
}

// TestAccelerators guards against tasks that request no accelerators on the workers
// that have them.
func TestAccelerators(t *testing.T) {
	f := newFixture(t, 40)
	for i := range 4 {
		f.input.Workers[i].Capacity.Accelerators = 8
	}
	f.document.Teams[0].Quota.Accelerators, f.document.LargestWorker.Accelerators = 32, 8
	f.submit("plain", "a", normal, 200, cores(4))
	want := cores(1)
	want.Accelerators = 2
	f.submit("accelerated", "a", normal, 16, want)
	plain, accelerated := 0, 0
	for _, p := range f.run(5 * time.Second) {
		w := f.worker(p.WorkerEpoch.Worker)
		switch {
		case p.Task.Job == "accelerated":
			accelerated++
		case w.Capacity.Accelerators > 0:
			plain++
		}
	}
	if accelerated != 16 || plain != 0 {
		t.Errorf("got %d of 16 accelerator tasks started and %d plain tasks on accelerator workers, want 16 and 0", accelerated, plain)
	}
}

// TestHeadroom guards against batch tasks that take the last processors of a worker
// whose endpoint slots fill up. Urgent tasks may use the headroom.
func TestHeadroom(t *testing.T) {
	f := newFixture(t, 1)
	w := &f.input.Workers[0]
	w.Services, w.Committed, w.EndpointLoad = []units.ServiceName{"desk"}, cores(8), 1.25
	f.submit("batch", "a", normal, 40, cores(1))
	if got := len(f.run(5 * time.Second)); got != 24-5 {
		t.Errorf("got %d tasks on the worker of a busy endpoint, want 19: half of its 8 reserved cores and one more stay free", got)
	}
	f.submit("urgent", "a", urgent, 2, cores(1))
	if got := len(f.run(time.Second)); got != 2 {
		t.Errorf("got %d urgent tasks, want 2", got)
	}
}

// TestTeamsBehindUnplacedTasks guards against a team with a large share that is not
// reached in every tick because many other teams have tasks that cannot be placed.
func TestTeamsBehindUnplacedTasks(t *testing.T) {
	f := newFixture(t, 40)
	f.input.Workers[0].Capacity.Accelerators, f.input.Workers[0].Committed = 1, units.Resources{Accelerators: 1}
	for i := range 149 {
		name := fmt.Sprint("t", i)
		quota := cores(1e5)
		quota.Accelerators = 8
		f.document.Teams = append(f.document.Teams, environment.Team{Name: units.TeamName(name), Quota: quota})
		for n := range 20 {
			size := cores(1 + int64(n))
			size.Accelerators = 1
			f.submit(fmt.Sprint("big-", i, "-", n), name, normal, 1, size)
		}
	}
	f.submit("first", "a", normal, 1, cores(30))
	f.tick()
	f.submit("small", "a", normal, 1, cores(1))
	got := 0
	for range 8 {
		got += count(f.tick(), func(p Proposal) bool { return p.Task.Job == "small" })
	}
	if got != 1 || f.ledger.Job("first").Tasks[0].State != ledger.Running {
		t.Errorf("got %d starts of the small task in eight ticks, want 1", got)
	}
}
