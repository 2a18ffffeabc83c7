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

// testLog applies entries at increasing offsets.
type testLog struct {
	t          *testing.T
	ledger     *Ledger
	nextOffset units.Offset
}

func newLog(t *testing.T) *testLog { return &testLog{t: t, ledger: New(), nextOffset: 1} }

func (g *testLog) apply(entries ...[]byte) {
	g.t.Helper()
	for _, e := range entries {
		if err := g.ledger.Apply(g.nextOffset, e); err != nil {
			g.t.Fatalf("Apply at %d: %v", g.nextOffset, err)
		}
		g.nextOffset++
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
	task0       = units.Task{Job: "a", Index: 0}
	workerEpoch = WorkerEpoch{"worker-1", 3}
)

func encodeAssigned(t units.Task, a units.Attempt) []byte {
	return EncodeAssigned(t, a, workerEpoch, units.Resources{}, false)
}

// TestTransitionRules guards against a wrong cell in transitionRules: an entry that
// is accepted in a wrong state makes a task run twice or never.
func TestTransitionRules(t *testing.T) {
	done := EncodeEnded(task0, 1, wire.Outcome_OUTCOME_COMPLETED, time.Second, units.Resources{})
	evicted := EncodeEvicted(task0, 1, "c1", "noisy")
	cancelled := EncodeCancelled("a", "team")
	setup := map[State][][]byte{
		Pending:        {},
		Assigned:       {encodeAssigned(task0, 1)},
		Running:        {encodeAssigned(task0, 1), EncodeStarted(task0, 1)},
		EvictedPending: {encodeAssigned(task0, 1), evicted},
		Stopping:       {encodeAssigned(task0, 1), cancelled},
		Ended:          {encodeAssigned(task0, 1), done},
		Failed:         {EncodeFailed(task0, "never fits")},
		Cancelled:      {cancelled},
	}
	entries := map[taskEntryKind][]byte{
		kindAssigned: nil, kindStarted: EncodeStarted(task0, 1), kindReleased: EncodeReleased(task0, 1, Release{Reason: "refused"}),
		kindEnded: done, kindEvicted: evicted, kindFailed: EncodeFailed(task0, "gave up"),
	}
	want := map[taskEntryKind]map[State]State{ // absent: no effect
		kindAssigned: {Pending: Assigned, EvictedPending: Assigned},
		kindStarted:  {Assigned: Running},
		kindReleased: {Assigned: Pending, Running: Pending, Stopping: Cancelled},
		kindEnded:    {Assigned: Ended, Running: Ended, Stopping: Cancelled},
		kindEvicted:  {Assigned: EvictedPending, Running: EvictedPending, Stopping: Cancelled},
		kindFailed:   {Pending: Failed, EvictedPending: Failed},
	}
	for from, history := range setup {
		for kind, entry := range entries {
			g := newLog(t)
			// The open second task keeps the job's tasks when the first one ends.
			g.apply(EncodeSubmitted(submission("a", 2)), encodeAssigned(units.Task{Job: "a", Index: 1}, 1))
			g.apply(history...)
			row := g.ledger.Task(task0)
			if row == nil || row.State != from {
				t.Fatalf("setup of state %v: got task %+v", from, row)
			}
			if kind == kindAssigned {
				entry = encodeAssigned(task0, row.Attempt+1)
			}
			before := g.ledger.Rejections()
			g.apply(entry)
			got, expect := g.ledger.Task(task0).State, from
			to, allowed := want[kind][from]
			if allowed {
				expect = to
			}
			rejected := len(g.ledger.Rejections()) > len(before)
			if got != expect || rejected == allowed {
				t.Errorf("%s entry in state %v: got state %v, rejected %v; want %v, %v", kindNames[kind], from, got, rejected, expect, !allowed)
			}
		}
	}
}

// TestOldAttempt guards against a late report about an earlier attempt that ends or
// releases the current one.
func TestOldAttempt(t *testing.T) {
	g := newLog(t)
	g.apply(EncodeSubmitted(submission("a", 1)), encodeAssigned(task0, 1), EncodeReleased(task0, 1, Release{}), encodeAssigned(task0, 2))
	g.apply(EncodeEnded(task0, 1, wire.Outcome_OUTCOME_COMPLETED, 0, units.Resources{}), EncodeReleased(task0, 1, Release{}),
		EncodeEvicted(task0, 1, "", ""), EncodeStarted(task0, 1))
	if got := g.ledger.Task(task0); got.State != Assigned || got.Attempt != 2 {
		t.Errorf("got %v attempt %d, want assigned attempt 2", got.State, got.Attempt)
	}
	if got := g.ledger.Rejections()[ReasonWrongAttempt]; got != 4 {
		t.Errorf("got %d rejected attempts, want 4", got)
	}
}

// TestMalformed guards against malformed entries, or entries above a limit, that
// change the state.
func TestMalformed(t *testing.T) {
	g := newLog(t)
	g.apply(EncodeSubmitted(submission("a", 1)))
	before, _ := g.ledger.Snapshot()
	tooManyTasks := submission("b", MaxTasksPerJob+1)
	negativeMemory := submission("b", 1)
	negativeMemory.Spec.Size.MemoryBytes = -1
	batchWithWatcherID := submission(WatcherPrefix+"b", 1)
	cases := [][]byte{
		nil,    // no kind
		{0xff}, // not protobuf
		EncodeSubmitted(tooManyTasks), EncodeSubmitted(negativeMemory), EncodeSubmitted(batchWithWatcherID),
		EncodeAssigned(task0, 0, workerEpoch, units.Resources{}, false),           // attempt 0
		EncodeAssigned(task0, 1, WorkerEpoch{}, units.Resources{}, false),         // no worker
		EncodeAssigned(task0, 1, workerEpoch, units.Resources{Memory: -5}, false), // negative memory
		EncodeCancelled("", ""), // no job
	}
	for i, c := range cases {
		if err := g.ledger.Apply(9, c); !fault.Is(err, Malformed) {
			t.Errorf("case %d: got error %v, want kind %q", i, err, Malformed)
		}
	}
	delete(g.ledger.rejections, ReasonMalformed)
	if after, _ := g.ledger.Snapshot(); !bytes.Equal(before, after) {
		t.Error("malformed entries changed the state")
	}
}

// TestIndexes guards against tasks that are missing from a waiting queue, or that
// are still counted on a worker or team after their attempt has ended.
func TestIndexes(t *testing.T) {
	g := newLog(t)
	g.apply(EncodeSubmitted(submission("b", 3)), EncodeSubmitted(submission("a", 1)), EncodeSubmitted(submission("b", 1)))
	repeat := submission("c", 1)
	repeat.Key = "key-a"
	g.apply(EncodeSubmitted(repeat))
	b1 := units.Task{Job: "b", Index: 1}
	g.apply(encodeAssigned(b1, 1))
	queue := g.ledger.WaitingJobs("moulds", units.PriorityNormal)
	if len(queue) != 2 || queue[0].ID != "b" || fmt.Sprint(queue[0].Waiting()) != "[0 2]" {
		t.Errorf("got waiting jobs %v, want b with tasks 0 and 2, then a", queue)
	}
	if got := g.ledger.TeamUsage("moulds")[units.PriorityNormal].Processors; got != 2000 {
		t.Errorf("got %d millicores used, want 2000", got)
	}
	if got := g.ledger.TasksOn(workerEpoch); len(got) != 1 || got[0] != b1 {
		t.Errorf("got tasks %v on the worker epoch, want %v", got, b1)
	}
	g.apply(EncodeEvicted(b1, 1, "c1", "noisy"))
	if got := queue[0].Waiting(); fmt.Sprint(got) != "[0 1 2]" {
		t.Errorf("got waiting tasks %v after the eviction, want all three in order", got)
	}
	if _, waiting, open := g.ledger.Counts(); waiting != 4 || open != 0 || !g.ledger.TeamUsage("moulds")[units.PriorityNormal].IsZero() || g.ledger.JobByKey("moulds", "key-a").ID != "a" {
		t.Errorf("got %d waiting, %d open, %v used; want 4, 0 and zero", waiting, open, g.ledger.TeamUsage("moulds"))
	}
}

// TestWatcher guards against a watcher that is not restarted after it exits, and
// against attempt numbers that are reused when it is added again.
func TestWatcher(t *testing.T) {
	g := newLog(t)
	w := units.Task{Job: "watcher/freeze", Index: 0}
	g.apply(EncodeSubmitted(watcher("freeze")), encodeAssigned(w, 1), EncodeEnded(w, 1, wire.Outcome_OUTCOME_COMPLETED, 0, units.Resources{}))
	if got := g.ledger.Task(w).State; got != Pending {
		t.Errorf("got %v after the watcher exited, want pending", got)
	}
	g.apply(encodeAssigned(w, 2), EncodeCancelled(w.Job, "removed"), EncodeEnded(w, 2, wire.Outcome_OUTCOME_STOPPED, 0, units.Resources{}))
	g.apply(EncodeSubmitted(watcher("freeze")), encodeAssigned(w, 2), encodeAssigned(w, 3))
	if got := g.ledger.Task(w); got.State != Assigned || got.Attempt != 3 || len(g.ledger.Watchers()) != 1 {
		t.Errorf("got %+v, want attempt 3 assigned", got)
	}
}

// TestRetention guards against unbounded growth of the ended jobs.
func TestRetention(t *testing.T) {
	g := newLog(t)
	for i := range MaxEndedJobs + 50 {
		m := submission(fmt.Sprint("job-", i), 1)
		g.apply(EncodeSubmitted(m), EncodeCancelled(units.JobID(m.Job), ""))
	}
	jobs, waiting, open := g.ledger.Counts()
	if jobs != MaxEndedJobs || waiting != 0 || open != 0 || len(g.ledger.jobsByKey) != MaxEndedJobs || len(g.ledger.TeamJobs("moulds")) != MaxEndedJobs {
		t.Errorf("got %d jobs and %d keys, want %d of each", jobs, len(g.ledger.jobsByKey), MaxEndedJobs)
	}
	if g.ledger.Job("job-49") != nil || g.ledger.Job("job-50") == nil {
		t.Error("the removed jobs are not the oldest ended ones")
	}
}

// TestUsageQuantiles guards against quantiles that are below the samples or do not
// follow a change of the samples.
func TestUsageQuantiles(t *testing.T) {
	var h Histogram
	for v := range uint64(1 << 12) {
		if up := bucketUpperBound(bucketOf(v)); up < v || up > v+v/bucketsPerOctave {
			t.Fatalf("value %d: upper bound of its bucket is %d", v, up)
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

// TestSameOldestIsRemoved guards against processes whose states differ because they
// remove different entries of a full table, whose order differs between processes.
func TestSameOldestIsRemoved(t *testing.T) {
	for range 100 { // the order of a map changes with each loop
		entries := map[string]units.Offset{"c": 5, "b": 3, "a": 4, "d": 3, "e": 3}
		for _, want := range []string{"b", "d", "e", "a", "c"} {
			removeOldest(entries, func(o units.Offset) units.Offset { return o })
			if _, kept := entries[want]; kept {
				t.Fatalf("entries: got %v, want %q removed", entries, want)
			}
		}
	}
}
