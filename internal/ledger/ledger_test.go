package ledger

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

// log applies entries at rising offsets.
type log struct {
	t    *testing.T
	l    *Ledger
	next units.Offset
}

func newLog(t *testing.T) *log { return &log{t: t, l: New(), next: 1} }

func (g *log) apply(entries ...[]byte) {
	g.t.Helper()
	for _, e := range entries {
		if err := g.l.Apply(g.next, e); err != nil {
			g.t.Fatalf("Apply at %d: %v", g.next, err)
		}
		g.next++
	}
}

func submission(id string, tasks uint32) *wire.JobSubmitted {
	return &wire.JobSubmitted{Job: id, Team: "moulds", Key: "key-" + id, Tasks: tasks, Spec: &wire.TaskSpec{
		Kind: wire.TaskKind_TASK_KIND_BATCH, Priority: wire.Priority_PRIORITY_NORMAL, JobKind: "mouldRun",
		Size: wire.FromResources(units.Resources{Processors: 2000, Memory: units.GiB}), RunMilliseconds: 60_000}}
}

func watcher(name string) *wire.JobSubmitted {
	m := submission(WatcherPrefix+name, 1)
	m.Key, m.Spec.Kind = "", wire.TaskKind_TASK_KIND_WATCHER
	return m
}

var (
	one    = units.Task{Job: "a", Index: 0}
	holder = WorkerEpoch{"worker-1", 3}
)

func assigned(t units.Task, a units.Attempt) []byte {
	return EncodeAssigned(t, a, holder, units.Resources{}, false)
}

// TestRules guards every cell of the rule table: an entry that is allowed in a
// state where it must not be would run a task twice or lose it.
func TestRules(t *testing.T) {
	done := EncodeEnded(one, 1, wire.Outcome_OUTCOME_COMPLETED, time.Second, units.Resources{})
	evicted := EncodeEvicted(one, 1, "c1", "noisy")
	cancelled := EncodeCancelled("a", "team")
	reach := map[State][][]byte{
		Pending:        {},
		Assigned:       {assigned(one, 1)},
		Running:        {assigned(one, 1), EncodeStarted(one, 1)},
		EvictedPending: {assigned(one, 1), evicted},
		Stopping:       {assigned(one, 1), cancelled},
		Ended:          {assigned(one, 1), done},
		Failed:         {EncodeFailed(one, "never fits")},
		Cancelled:      {cancelled},
	}
	entries := map[entryKind][]byte{
		kindAssigned: nil, kindStarted: EncodeStarted(one, 1), kindReleased: EncodeReleased(one, 1, Release{Reason: "refused"}),
		kindEnded: done, kindEvicted: evicted, kindFailed: EncodeFailed(one, "gave up"),
	}
	want := map[entryKind]map[State]State{ // absent: no effect
		kindAssigned: {Pending: Assigned, EvictedPending: Assigned},
		kindStarted:  {Assigned: Running},
		kindReleased: {Assigned: Pending, Running: Pending, Stopping: Cancelled},
		kindEnded:    {Assigned: Ended, Running: Ended, Stopping: Cancelled},
		kindEvicted:  {Assigned: EvictedPending, Running: EvictedPending, Stopping: Cancelled},
		kindFailed:   {Pending: Failed, EvictedPending: Failed},
	}
	for from, history := range reach {
		for kind, entry := range entries {
			g := newLog(t)
			// The open second task keeps the job's rows when the first one ends.
			g.apply(EncodeSubmitted(submission("a", 2)), assigned(units.Task{Job: "a", Index: 1}, 1))
			g.apply(history...)
			row := g.l.Task(one)
			if row == nil || row.State != from {
				t.Fatalf("setup of %v: row %+v", from, row)
			}
			if kind == kindAssigned {
				entry = assigned(one, row.Attempt+1)
			}
			before := g.l.Rejections()
			g.apply(entry)
			got, expect := g.l.Task(one).State, from
			to, allowed := want[kind][from]
			if allowed {
				expect = to
			}
			rejected := len(g.l.Rejections()) > len(before)
			if got != expect || rejected == allowed {
				t.Errorf("%s in %v: got state %v, rejected %v; want %v, %v", kindNames[kind], from, got, rejected, expect, !allowed)
			}
		}
	}
}

// TestOldAttempt guards against a late report of an earlier attempt that ends
// or releases the current one.
func TestOldAttempt(t *testing.T) {
	g := newLog(t)
	g.apply(EncodeSubmitted(submission("a", 1)), assigned(one, 1), EncodeReleased(one, 1, Release{}), assigned(one, 2))
	g.apply(EncodeEnded(one, 1, wire.Outcome_OUTCOME_COMPLETED, 0, units.Resources{}), EncodeReleased(one, 1, Release{}),
		EncodeEvicted(one, 1, "", ""), EncodeStarted(one, 1))
	if got := g.l.Task(one); got.State != Assigned || got.Attempt != 2 {
		t.Errorf("got %v attempt %d, want assigned attempt 2", got.State, got.Attempt)
	}
	if got := g.l.Rejections()[ReasonAttempt]; got != 4 {
		t.Errorf("got %d rejected attempts, want 4", got)
	}
}

// TestMalformed guards against an entry that breaks a limit and still changes
// the state.
func TestMalformed(t *testing.T) {
	g := newLog(t)
	g.apply(EncodeSubmitted(submission("a", 1)))
	before, _ := g.l.Snapshot()
	huge := submission("b", MaxTasks+1)
	negative := submission("b", 1)
	negative.Spec.Size.MemoryBytes = -1
	impostor := submission(WatcherPrefix+"b", 1)
	cases := [][]byte{nil, {0xff}, EncodeSubmitted(huge), EncodeSubmitted(negative), EncodeSubmitted(impostor),
		EncodeAssigned(one, 0, holder, units.Resources{}, false), EncodeAssigned(one, 1, WorkerEpoch{}, units.Resources{}, false),
		EncodeAssigned(one, 1, holder, units.Resources{Memory: -5}, false), EncodeCancelled("", "")}
	for i, c := range cases {
		if err := g.l.Apply(9, c); !fault.Is(err, Malformed) {
			t.Errorf("case %d: got error %v, want kind %q", i, err, Malformed)
		}
	}
	delete(g.l.rejections, ReasonMalformed)
	if after, _ := g.l.Snapshot(); !bytes.Equal(before, after) {
		t.Error("malformed entries changed the state")
	}
}

// TestIndexes guards dispatch against tasks that are missing from a queue, or
// counted on a worker or team that no longer holds them.
func TestIndexes(t *testing.T) {
	g := newLog(t)
	g.apply(EncodeSubmitted(submission("b", 3)), EncodeSubmitted(submission("a", 1)), EncodeSubmitted(submission("b", 1)))
	repeat := submission("c", 1)
	repeat.Key = "key-a"
	g.apply(EncodeSubmitted(repeat))
	b1 := units.Task{Job: "b", Index: 1}
	g.apply(assigned(b1, 1))
	queue := g.l.WaitingJobs("moulds", units.PriorityNormal)
	if len(queue) != 2 || queue[0].ID != "b" || fmt.Sprint(queue[0].Waiting()) != "[0 2]" {
		t.Errorf("got queue %v", queue)
	}
	if got := g.l.TeamUsage("moulds")[units.PriorityNormal].Processors; got != 2000 {
		t.Errorf("got %d millicores used, want 2000", got)
	}
	if got := g.l.TasksOn(holder); len(got) != 1 || got[0] != b1 {
		t.Errorf("got tasks %v on the holder, want %v", got, b1)
	}
	g.apply(EncodeEvicted(b1, 1, "c1", "noisy"))
	if got := queue[0].Waiting(); fmt.Sprint(got) != "[0 1 2]" {
		t.Errorf("got waiting %v after eviction, want all three in order", got)
	}
	if _, waiting, open := g.l.Counts(); waiting != 4 || open != 0 || !g.l.TeamUsage("moulds")[units.PriorityNormal].IsZero() || g.l.JobByKey("moulds", "key-a").ID != "a" {
		t.Errorf("got %d waiting, %d open, %v used", waiting, open, g.l.TeamUsage("moulds"))
	}
}

// TestWatcher guards against a watcher that stops for good when it exits, and
// against attempt numbers that repeat when it is added again.
func TestWatcher(t *testing.T) {
	g := newLog(t)
	w := units.Task{Job: "watcher/freeze", Index: 0}
	g.apply(EncodeSubmitted(watcher("freeze")), assigned(w, 1), EncodeEnded(w, 1, wire.Outcome_OUTCOME_COMPLETED, 0, units.Resources{}))
	if got := g.l.Task(w).State; got != Pending {
		t.Errorf("got %v after the watcher exited, want pending", got)
	}
	g.apply(assigned(w, 2), EncodeCancelled(w.Job, "removed"), EncodeEnded(w, 2, wire.Outcome_OUTCOME_STOPPED, 0, units.Resources{}))
	g.apply(EncodeSubmitted(watcher("freeze")), assigned(w, 2), assigned(w, 3))
	if got := g.l.Task(w); got.State != Assigned || got.Attempt != 3 || len(g.l.Watchers()) != 1 {
		t.Errorf("got %+v, want attempt 3 assigned", got)
	}
}

// TestRetention guards against a table of ended jobs that grows without bound.
func TestRetention(t *testing.T) {
	g := newLog(t)
	for i := range RetainedJobs + 50 {
		m := submission(fmt.Sprint("job-", i), 1)
		g.apply(EncodeSubmitted(m), EncodeCancelled(units.JobID(m.Job), ""))
	}
	jobs, waiting, open := g.l.Counts()
	if jobs != RetainedJobs || waiting != 0 || open != 0 || len(g.l.keys) != RetainedJobs || len(g.l.TeamJobs("moulds")) != RetainedJobs {
		t.Errorf("got %d jobs, %d keys, want %d", jobs, len(g.l.keys), RetainedJobs)
	}
	if g.l.Job("job-49") != nil || g.l.Job("job-50") == nil {
		t.Error("the oldest ended jobs are not the ones forgotten")
	}
}

// TestLearned guards against quantiles that understate sizes, do not follow a
// change or depend on more than the log.
func TestLearned(t *testing.T) {
	var h Histogram
	for v := range uint64(1 << 12) {
		if up := upperBound(bucketOf(v)); up < v || up > v+v/bucketsPerOctave {
			t.Fatalf("value %d: bucket ends at %d", v, up)
		}
	}
	for range 300 {
		h.Add(1000)
	}
	for range 200 {
		h.Add(4000)
	}
	if got := h.Quantile(900); got < 4000 || got > 4500 {
		t.Errorf("got quantile %d after the size changed, want about 4000", got)
	}
	if got := len(h.buckets); got > 2 {
		t.Errorf("got %d buckets, want at most 2", got)
	}
}
