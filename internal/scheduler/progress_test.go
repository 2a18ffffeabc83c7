package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/durable"
	"wasabihill.example/wasabihill/internal/workflow"
)

// wantRecordsFit checks that the store accepts every record.
func (f *fixture) wantRecordsFit() {
	f.Helper()
	for key, value := range f.records {
		if got, want := 1+len(key)+len(value), 256<<10; got > want {
			f.Fatalf("record %s: got %d bytes, want at most %d", key, got, want)
		}
	}
}

// Guards against a schedule whose many due occurrences make a record that the store rejects, so
// that the terms of all leaders end in turn and no other job runs (review/7).
func TestScheduleDueSinceLongFitsTheStore(t *testing.T) {
	f := newFixture(t)
	a := f.addWorker("a", 8)
	id := f.submitSchedule("runs", 60_000, f.now.Wall.Add(-50_000*time.Second), time.Second, 1)
	for range 3 {
		f.tick()
		for _, task := range slices.Sorted(maps.Keys(a.running)) {
			a.end(task, workflow.Done)
		}
		f.report("a")
	}
	f.tick()
	f.wantRecordsFit()
	f.attachToNewLeader("a")
	f.wantState(id, workflow.Running)
}

// jobProgress is what a leader knows of a job's tasks.
type jobProgress struct {
	ended map[int]bool // occurrences
	tasks map[workflow.TaskID]taskProgress
}

type taskProgress struct {
	done       bool
	failures   int
	checkpoint string
}

func (f *fixture) progressOf(id workflow.JobID) jobProgress {
	j := f.scheduler.jobs[id]
	p := jobProgress{make(map[int]bool), make(map[workflow.TaskID]taskProgress)}
	for n := range j.opened {
		p.ended[n] = true
	}
	for _, o := range j.occurrences {
		delete(p.ended, o.number)
		for _, st := range o.steps {
			for _, task := range st.tasks {
				if known := (taskProgress{task.done, len(task.failedAttempts), task.checkpoint}); known != (taskProgress{}) {
					p.tasks[task.id] = known
				}
			}
		}
	}
	return p
}

// wantAtLeast checks that nothing of earlier progress is missing.
func (p jobProgress) wantAtLeast(t *testing.T, when string, earlier jobProgress) {
	t.Helper()
	for n := range earlier.ended {
		if !p.ended[n] {
			t.Fatalf("%s: occurrence %d is not known as ended", when, n)
		}
	}
	for id, want := range earlier.tasks {
		got := p.tasks[id]
		if p.ended[id.Occurrence] {
			continue
		}
		if want.done && !got.done || got.failures < want.failures || got.checkpoint == "" && want.checkpoint != "" {
			t.Fatalf("%s: task %v: got done %t, %d failures, checkpoint of %d bytes; want at least %t, %d, %d",
				when, id, got.done, got.failures, len(got.checkpoint), want.done, want.failures, len(want.checkpoint))
		}
	}
}

func failOnce(t *task) {
	t.highestAttempt, t.failedAttempts = 1, []workflow.Attempt{1}
}

func checkpointOf(bytes int) func(*task) {
	return func(t *task) { t.highestAttempt, t.checkpoint = 1, strings.Repeat("c", bytes) }
}

// largeJobs are jobs within the limits of the pages whose progress exceeds a record of the store.
var largeJobs = map[string]struct {
	steps       []workflow.Step
	repetitions int
	change      func(s *Scheduler, j *job)
}{
	"all tasks of a wide step have failed once": {[]workflow.Step{{Count: 100_000}}, 0, func(_ *Scheduler, j *job) { eachTask(j, failOnce) }},
	"36 checkpoints of 8,000 bytes":             {[]workflow.Step{{Count: 36, Checkpointing: true}}, 0, func(_ *Scheduler, j *job) { eachTask(j, checkpointOf(8000)) }},
	"40 checkpoints of 100,000 bytes":           {[]workflow.Step{{Count: 40, Checkpointing: true}}, 0, func(_ *Scheduler, j *job) { eachTask(j, checkpointOf(100_000)) }},
	"a long schedule whose first occurrence does not end": {[]workflow.Step{{Count: 1}}, 200_000, func(s *Scheduler, j *job) {
		s.openUntil(j, 90_000)
		for _, o := range slices.Clone(j.occurrences[1:]) {
			s.endOccurrence(j, o.number, Timestamp{})
		}
		s.openUntil(j, 180_000)
	}},
	"every other occurrence has ended": {[]workflow.Step{{Count: 1}}, 200_000, func(s *Scheduler, j *job) {
		for _, until := range []int{99_000, 140_000, 170_000} {
			s.openUntil(j, until)
			for _, o := range slices.Clone(j.occurrences) {
				if o.number%2 == 1 {
					s.endOccurrence(j, o.number, Timestamp{})
				}
			}
		}
	}},
	"several steps of many occurrences": {[]workflow.Step{{Count: 1}, {Count: 2, After: []int{0}}}, 100_000, func(s *Scheduler, j *job) {
		s.openUntil(j, 30_000)
		for _, o := range j.occurrences {
			first := o.steps[0]
			first.tasks[0].done, first.tasks[0].highestAttempt = true, 1
			first.tasksLeft, first.unplaced = 0, 0
			o.stepsLeft--
			failOnce(o.steps[1].tasks[0])
		}
	}},
}

func eachTask(j *job, change func(*task)) {
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			for _, t := range st.tasks {
				change(t)
			}
		}
	}
}

// acceptLarge accepts a job of largeJobs and returns its id.
func (f *fixture) acceptLarge(steps []workflow.Step, repetitions int) workflow.JobID {
	job := &workflow.Job{ID: "00000000000000bb", Queue: "runs", Steps: steps, Submitted: f.now.Wall, Repetitions: repetitions}
	if repetitions > 0 {
		job.FirstDue, job.Interval = f.now.Wall.Add(-time.Duration(repetitions)*time.Second), time.Second
	}
	f.accept(job)
	return job.ID
}

// Guards against progress that outgrows a record of the store in any of the ways in which a legal
// job can: it fits, the next leader knows all of it, and once the job has ended nothing is left.
func TestLargeProgressSurvivesATakeover(t *testing.T) {
	for name, c := range largeJobs {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			id := f.acceptLarge(c.steps, c.repetitions)
			c.change(f.scheduler, f.scheduler.jobs[id])
			f.scheduler.markDirty(f.scheduler.jobs[id])
			f.flush()
			f.wantRecordsFit()
			want := f.progressOf(id)
			f.startNewLeader()
			f.progressOf(id).wantAtLeast(t, "after the takeover", want)
			f.wantState(id, workflow.Running)
			f.scheduler.Cancel(id, f.now)
			f.flush()
			if got, want := len(f.records), 2; got != want {
				t.Errorf("records after the end of the job: got %d, want %d", got, want)
			}
		})
	}
}

// Guards against a leader that is lost between two appends of one change, while the number of
// parts rises: what the next one reads lacks nothing that was durable before.
func TestProgressWrittenInPartLosesNothing(t *testing.T) {
	f := newFixture(t)
	id := f.acceptLarge([]workflow.Step{{Count: 20_000}}, 0)
	for round, failing := range []int{1_000, 6_000, 20_000} { // one record, then parts, then more of them
		before, parts := f.progressOf(id), f.scheduler.jobs[id].parts.count
		eachTask(f.scheduler.jobs[id], func(t *task) {
			if t.id.Index < failing {
				t.highestAttempt = workflow.Attempt(round + 1)
				t.failedAttempts = append(t.failedAttempts, t.highestAttempt)
			}
		})
		f.scheduler.markDirty(f.scheduler.jobs[id])
		records, _, err := f.scheduler.Flush(f.now)
		if err != nil {
			t.Fatal(err)
		}
		if got := f.scheduler.jobs[id].parts.count; round > 0 && got <= parts {
			t.Fatalf("round %d: got %d parts, want more than the %d before", round, got, parts)
		}
		for i, r := range records {
			f.recoveredProgress(id).wantAtLeast(t, fmt.Sprintf("round %d, after %d of %d records", round, i, len(records)), before)
			f.store(r)
		}
	}
}

// recoveredProgress returns what the next leader would know.
func (f *fixture) recoveredProgress(id workflow.JobID) jobProgress {
	next := &fixture{TB: f.TB, now: f.now, records: f.records}
	next.startNewLeader()
	return next.progressOf(id)
}

func (f *fixture) store(r durable.Record) {
	if r.Value == nil {
		delete(f.records, r.Key)
		return
	}
	f.records[r.Key] = r.Value
}

// Guards against a change of one task that writes all of a large job anew.
func TestSmallChangeOfALargeJobWritesLittle(t *testing.T) {
	f := newFixture(t)
	id := f.acceptLarge([]workflow.Step{{Count: 100_000}}, 0)
	j := f.scheduler.jobs[id]
	eachTask(j, failOnce)
	f.scheduler.markDirty(j)
	f.flush()
	j.occurrences[0].steps[0].tasks[5].failedAttempts = append(j.occurrences[0].steps[0].tasks[5].failedAttempts, 2)
	f.scheduler.markDirty(j)
	records, _, err := f.scheduler.Flush(f.now)
	if err != nil {
		t.Fatal(err)
	}
	size := 0
	for _, r := range records {
		size += r.KeyedSize()
	}
	if want := 4 * partBytes; size > want {
		t.Errorf("got %d bytes in %d records, want at most %d", size, len(records), want)
	}
}

// Guards against a job whose progress can't be stored and that ends the term of each leader, with
// all other jobs: it fails alone, and its caller is told why.
func TestJobThatCannotBeStoredFailsAlone(t *testing.T) {
	f := newFixture(t)
	id := f.acceptLarge([]workflow.Step{{Count: 1}}, 0)
	other := f.submit("quick", workflow.Step{Count: 1, Size: cores(1)})
	task := f.scheduler.jobs[id].occurrences[0].steps[0].tasks[0]
	task.highestAttempt, task.failedAttempts = 1, make([]workflow.Attempt, 400_000)
	f.scheduler.markDirty(f.scheduler.jobs[id])
	f.flush()
	f.wantRecordsFit()
	f.wantState(id, workflow.Failed)
	f.startNewLeader()
	f.wantState(id, workflow.Failed)
	f.wantState(other, workflow.Queued)
	if f.scheduler.JobFailure(id) == "" {
		t.Error("got no reason for the failure, want one")
	}
}

// Guards against ends of runs that count as durable although the store has rejected the record
// that contains them: the job fails, and the flush before the one with its failure commits nothing.
func TestRejectedProgressFailsTheJob(t *testing.T) {
	f := newFixture(t)
	id := f.submit("quick", workflow.Step{Count: 1, Size: cores(1)})
	other := f.submit("quick", workflow.Step{Count: 1, Size: cores(1)})
	from := f.scheduler.RecordRejected(progressKey(id, 3), f.now)
	_, flush, err := f.scheduler.Flush(f.now)
	if err != nil || flush != from {
		t.Fatalf("flush with the failure: got %d, %v, want %d", flush, err, from)
	}
	f.scheduler.CommitFlush(flush)
	f.wantState(id, workflow.Failed)
	f.wantState(other, workflow.Queued)
	if got := f.scheduler.RecordRejected(absentKey, f.now); got != 0 {
		t.Errorf("record of no job: got flush %d, want 0", got)
	}
}

const absentKey = "absent/a"

// Guards against a schedule that fills the leader's tables although few of its occurrences can run.
func TestScheduleOpensWhatCanSoonRun(t *testing.T) {
	f := newFixture(t)
	a := f.addWorker("a", 8)
	id := f.submitSchedule("runs", 60_000, f.now.Wall.Add(-50_000*time.Second), time.Second, 1)
	for range 20 {
		f.tick()
		if got, want := len(a.running), 8; got != want {
			t.Fatalf("got %d runs, want %d: the worker has room", got, want)
		}
		if got, want := len(f.scheduler.jobs[id].occurrences), maxWaitingOccurrences+8; got > want {
			t.Fatalf("got %d open occurrences, want at most %d", got, want)
		}
		for _, task := range slices.Sorted(maps.Keys(a.running)) {
			a.end(task, workflow.Done)
		}
		f.report("a")
	}
	f.tick()
	if got, want := f.scheduler.jobs[id].firstOpen(), 160; got != want {
		t.Errorf("got %d occurrences that have ended, want %d", got, want)
	}
}

// Guards against runs of a predecessor that nobody adopts: it had opened more occurrences than the
// next leader opens by itself.
func TestRunsOfOpenOccurrencesAreAdopted(t *testing.T) {
	f := newFixture(t)
	a := f.addWorker("a", 2000)
	a.runner.MemoryBytes = 4000 << 30
	f.report("a")
	id := f.submitSchedule("runs", 60_000, f.now.Wall.Add(-50_000*time.Second), time.Second, 1)
	for range 4 {
		f.tick()
	}
	running := len(a.running)
	if running <= maxWaitingOccurrences {
		t.Fatalf("got %d runs, want more than %d", running, maxWaitingOccurrences)
	}
	f.attachToNewLeader("a")
	f.report("a")
	f.tick()
	if got := len(a.running); got != running {
		t.Errorf("got %d runs after the takeover, want %d", got, running)
	}
	a.end(string(id)+".1500.0.0", workflow.Done)
	f.report("a")
	f.tick()
	if o, _ := f.scheduler.jobs[id].occurrence(1500); o != nil {
		t.Error("occurrence 1500 is open after its only task is done")
	}
}

// Guards against a checkpoint that fits no record and no message: the one before is kept.
func TestOverlongCheckpointIsNotKept(t *testing.T) {
	f := newFixture(t)
	a := f.addWorker("a", 8)
	id := f.submit("runs", workflow.Step{Count: 1, Size: cores(1), Checkpointing: true})
	f.tick()
	row := a.running[string(id)+".0.0.0"]
	for _, bytes := range []int{10, maxCheckpointBytes + 1} {
		row.Checkpoint = strings.Repeat("c", bytes)
		f.report("a")
	}
	if got, want := len(f.scheduler.jobs[id].occurrences[0].steps[0].tasks[0].checkpoint), 10; got != want {
		t.Errorf("got a checkpoint of %d bytes, want %d", got, want)
	}
}
