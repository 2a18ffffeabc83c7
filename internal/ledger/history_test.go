package ledger

import (
	"bytes"
	"fmt"
	"os"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"
	"wasabihill.example/wasabihill/internal/generated"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

// TestMain fixes the seed of generated histories.
func TestMain(m *testing.M) {
	generated.Configure(300)
	os.Exit(m.Run())
}

// exactlyOnceChecker reads the accepted entries only, independently of the ledger,
// and reports sequences in which a task would run or publish its output twice.
type exactlyOnceChecker struct {
	tasks         map[units.Task]*taskHistory
	violations    []violation
	acceptedKinds map[string]int // number of accepted entries by kind
}

// violation is a violated guarantee and its details.
type violation struct{ guarantee, text string }

type taskHistory struct {
	attempt         units.Attempt
	open, cancelled bool
	ends            int
	assignments     map[units.Attempt]int // number of assignments by attempt
}

func newChecker() *exactlyOnceChecker {
	return &exactlyOnceChecker{tasks: map[units.Task]*taskHistory{}, acceptedKinds: map[string]int{}}
}

func (c *exactlyOnceChecker) report(guarantee, format string, args ...any) {
	c.violations = append(c.violations, violation{guarantee, fmt.Sprintf(format, args...)})
}

// recordAccepted checks an accepted entry; tasks is the number of tasks of its job.
func (c *exactlyOnceChecker) recordAccepted(kind string, task units.Task, a units.Attempt, tasks uint32) {
	c.acceptedKinds[kind]++
	if kind == "cancelled" {
		for i := range tasks {
			c.task(units.Task{Job: task.Job, Index: i}).cancelled = true
		}
		return
	}
	t := c.task(task)
	switch kind {
	case "assigned":
		if t.open {
			c.report("one open attempt", "%v: attempt %d assigned while %d is open", task, a, t.attempt)
		}
		if t.cancelled {
			c.report("no start after cancellation", "%v: attempt %d assigned after the cancellation", task, a)
		}
		if t.ends > 0 {
			c.report("ends once", "%v: attempt %d assigned after the end", task, a)
		}
		if t.assignments[a]++; t.assignments[a] > 1 || a != t.attempt+1 {
			c.report("resumes once", "%v: attempt %d assigned %d times, after %d", task, a, t.assignments[a], t.attempt)
		}
		t.attempt, t.open = a, true
	case "ended", "evicted", "released":
		if !t.open || a != t.attempt {
			c.report("only the current attempt counts", "%v: attempt %d %s, but %d is current", task, a, kind, t.attempt)
		}
		if kind == "ended" && !t.cancelled {
			if t.ends++; t.ends > 1 {
				c.report("ends once", "%v: ended %d times", task, t.ends)
			}
		}
		t.open = false
	case "failed":
		if t.open {
			c.report("one open attempt", "%v: failed while attempt %d is open", task, t.attempt)
		}
	}
}

func (c *exactlyOnceChecker) task(t units.Task) *taskHistory {
	if c.tasks[t] == nil {
		c.tasks[t] = &taskHistory{assignments: map[units.Attempt]int{}}
	}
	return c.tasks[t]
}

const (
	historyJobs  = 3
	historyTasks = 2
)

// drawEntries generates entries as two dispatchers and several agents with stale
// state would append them: all kinds of entries in any order, for attempts close to
// the current one, with repetitions of any earlier entry.
func drawEntries(t *rapid.T) [][]byte {
	var entries [][]byte
	upToDate := New() // provides the current attempt of a task
	add := func(e []byte) {
		entries = append(entries, e)
		_ = upToDate.Apply(units.Offset(len(entries)), e)
	}
	for i := range historyJobs {
		add(EncodeSubmitted(submission(fmt.Sprint("j", i), historyTasks)))
	}
	// Indexes into choices below. Cancellations and failures are rare, because they
	// end the jobs early.
	kinds := rapid.SampledFrom([]int{0, 0, 0, 0, 1, 1, 1, 1, 2, 2, 3, 3, 3, 4, 4, 4, 5, 5, 8, 8, 8, 6, 7})
	for range rapid.IntRange(20, 150).Draw(t, "length") {
		task := units.Task{Job: units.JobID(fmt.Sprint("j", rapid.IntRange(0, historyJobs-1).Draw(t, "job"))),
			Index: uint32(rapid.IntRange(0, historyTasks-1).Draw(t, "index"))}
		current := 0
		if row := upToDate.Task(task); row != nil {
			current = int(row.Attempt)
		}
		a := units.Attempt(max(1, current+rapid.SampledFrom([]int{0, 0, 0, 0, -1, -2, 1}).Draw(t, "late")))
		next := units.Attempt(max(1, current+rapid.SampledFrom([]int{1, 1, 1, 1, 0, 2}).Draw(t, "early")))
		h := WorkerEpoch{units.WorkerID(fmt.Sprint("w", rapid.IntRange(0, 2).Draw(t, "worker"))), units.Epoch(rapid.IntRange(1, 3).Draw(t, "epoch"))}
		outcome := rapid.SampledFrom([]wire.Outcome{wire.Outcome_OUTCOME_COMPLETED, wire.Outcome_OUTCOME_STOPPED}).Draw(t, "outcome")
		choices := []func() []byte{
			func() []byte { return EncodeAssigned(task, next, h, units.Resources{}, next%2 == 0) },
			func() []byte { return EncodeStarted(task, a) },
			func() []byte { return EncodeReleased(task, a, Release{Reason: "lost", CountsAsFailure: a%3 == 0}) },
			func() []byte { return EncodeEvicted(task, a, fmt.Sprint("c", a), "noisy") },
			func() []byte { return EncodeAssigned(task, next, WorkerEpoch{"w9", 1}, units.Resources{}, false) }, // the other dispatcher
			func() []byte {
				return EncodeEnded(task, a, outcome, time.Second, units.Resources{Processors: 500, Memory: units.GiB})
			},
			func() []byte { return EncodeCancelled(task.Job, "team") },
			func() []byte { return EncodeFailed(task, "gave up") },
			func() []byte { return entries[rapid.IntRange(0, len(entries)-1).Draw(t, "repeated")] },
		}
		add(choices[kinds.Draw(t, "kind")]())
	}
	return entries
}

// TestHistories guards against jobs that take effect twice or not at all when
// entries are stale, repeated or reordered: a task has one open attempt, ends once,
// resumes once after an eviction and never starts after a cancellation. It also
// guards against indexes that differ from the tasks, and against states that differ
// between two replays or after a restored snapshot.
func TestHistories(t *testing.T) {
	total := map[string]int{}
	defer func() {
		for _, kind := range []string{"assigned", "started", "released", "evicted", "ended", "cancelled", "failed"} {
			if total[kind] < 100 {
				t.Errorf("only %d entries %q were accepted in all histories", total[kind], kind)
			}
		}
	}()
	rapid.Check(t, func(t *rapid.T) {
		entries := drawEntries(t)
		full, second, restored := New(), New(), New()
		c := newChecker()
		full.Observe = func(ch Change) {
			if ch.Reason == "" {
				c.recordAccepted(ch.Kind, ch.Task, ch.Attempt, historyTasks)
			}
		}
		cut := rapid.IntRange(0, len(entries)).Draw(t, "snapshot")
		for i, e := range entries {
			if i == cut {
				snapshot, _ := full.Snapshot()
				if err := restored.Restore(snapshot); err != nil {
					t.Fatalf("Restore: %v", err)
				}
			}
			if err := full.Apply(units.Offset(i+1), e); err != nil {
				t.Fatalf("entry %d: %v", i, err)
			}
			_ = second.Apply(units.Offset(i+1), e)
			if i >= cut {
				_ = restored.Apply(units.Offset(i+1), e)
			}
		}
		for _, v := range c.violations {
			t.Errorf("%s: %s", v.guarantee, v.text)
		}
		for k, n := range c.acceptedKinds {
			total[k] += n
		}
		checkIndexes(t, full)
		want, _ := full.Snapshot()
		for name, l := range map[string]*Ledger{"second replay": second, "restored snapshot": restored} {
			if got, _ := l.Snapshot(); cut < len(entries) && !bytes.Equal(got, want) {
				t.Errorf("state of the %s differs from the full replay", name)
			}
		}
	})
}

// checkIndexes compares the indexes with the tasks.
func checkIndexes(t *rapid.T, l *Ledger) {
	waiting, open, indexed, launching := 0, 0, 0, 0
	var used units.Resources
	for _, j := range l.jobs {
		for i := range j.Tasks {
			switch s := j.Tasks[i].State; {
			case s.Waiting():
				waiting++
			case s.Open():
				open++
				used = used.Add(j.Tasks[i].Committed)
			}
			if j.Tasks[i].State == Assigned {
				launching++
			}
		}
	}
	for h, tasks := range l.openTasksByEpoch {
		indexed += len(tasks)
		for _, task := range tasks {
			if row := l.Task(task); row == nil || row.Worker != h.Worker || row.Epoch != h.Epoch {
				t.Errorf("index lists %v on %v, where it has no open attempt", task, h)
			}
		}
	}
	for _, n := range l.launchingByEpoch {
		launching -= n.Count
	}
	queued := 0
	for _, j := range l.WaitingJobs("moulds", units.PriorityNormal) {
		queued += len(j.Waiting())
	}
	_, gotWaiting, gotOpen := l.Counts()
	if gotWaiting != waiting || queued != waiting || gotOpen != open || indexed != open || launching != 0 || l.TeamUsage("moulds")[units.PriorityNormal] != used {
		t.Errorf("jobs have %d waiting and %d open tasks; indexes have %d and %d waiting, %d and %d open, and lack %d launching",
			waiting, open, gotWaiting, queued, gotOpen, indexed, launching)
	}
}

// lastEntryWins is a naive state machine that accepts every entry.
type lastEntryWins struct {
	recordAccepted func(kind string, task units.Task, a units.Attempt, tasks uint32)
}

func (n lastEntryWins) apply(entry []byte) {
	var m wire.JobsEntry
	if proto.Unmarshal(entry, &m) != nil {
		return
	}
	if c := m.GetCancelled(); c != nil {
		n.recordAccepted("cancelled", units.Task{Job: units.JobID(c.GetJob())}, 0, historyTasks)
	} else if e, err := decodeTaskEntry(0, &m); err == nil {
		n.recordAccepted(kindNames[e.kind], e.task, e.attempt, historyTasks)
	}
}

// TestCheckerFindsViolations guards against a checker that finds nothing: it must
// find the violations of a state machine in which the last entry wins.
func TestCheckerFindsViolations(t *testing.T) {
	caught, histories := map[string]int{}, 0
	rapid.Check(t, func(rt *rapid.T) {
		c := newChecker()
		n := lastEntryWins{c.recordAccepted}
		for _, e := range drawEntries(rt) {
			n.apply(e)
		}
		histories++
		violated := map[string]bool{}
		for _, v := range c.violations {
			violated[v.guarantee] = true
		}
		for guarantee := range violated {
			caught[guarantee]++
		}
	})
	for _, guarantee := range []string{"one open attempt", "ends once", "resumes once", "no start after cancellation", "only the current attempt counts"} {
		t.Logf("%q is violated in %d of %d histories if the last entry wins", guarantee, caught[guarantee], histories)
		if caught[guarantee] < histories/10 {
			t.Errorf("%q is found violated in only %d of %d histories, want at least a tenth", guarantee, caught[guarantee], histories)
		}
	}
}

// FuzzApply guards against entries that cause a panic, change the state although
// they are malformed, or lead to a state that cannot be restored.
func FuzzApply(f *testing.F) {
	for _, e := range [][]byte{nil, {0x0a, 0xff}, EncodeSubmitted(submission("j0", 2)), EncodeSubmitted(watcher("w")), encodeAssigned(task0, 1),
		EncodeStarted(task0, 1), EncodeReleased(task0, 1, Release{Reason: "x", CountsAsFailure: true}), EncodeEvicted(task0, 1, "c", "r"),
		EncodeEnded(task0, 1, wire.Outcome_OUTCOME_COMPLETED, time.Second, units.Resources{Processors: 1, Memory: 1}),
		EncodeCancelled("a", ""), EncodeFailed(task0, "x")} {
		f.Add(e)
	}
	f.Fuzz(func(t *testing.T, entry []byte) {
		l := New()
		for i, e := range [][]byte{EncodeSubmitted(submission("a", 2)), encodeAssigned(task0, 1)} {
			_ = l.Apply(units.Offset(i), e)
		}
		before, _ := l.Snapshot()
		err := l.Apply(9, entry)
		if err != nil {
			delete(l.rejections, ReasonMalformed)
		}
		after, serr := l.Snapshot()
		if serr != nil || (err != nil && !bytes.Equal(before, after)) {
			t.Fatalf("Apply: %v, Snapshot: %v", err, serr)
		}
		restored := New()
		if err := restored.Restore(after); err != nil {
			t.Fatalf("Restore: %v", err)
		}
		if again, _ := restored.Snapshot(); !bytes.Equal(after, again) {
			t.Fatal("the restored state encodes to other bytes than the original")
		}
	})
}
