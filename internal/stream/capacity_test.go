package stream_test

import (
	"context"
	"fmt"
	"maps"
	"net/http/httptest"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"google.golang.org/protobuf/proto"

	standin "wasabihill.example/wasabihill/internal/standin/logservice"
	"wasabihill.example/wasabihill/internal/stream"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/logservice"
	"wasabihill.example/wasabihill/pkg/units"
)

// Target scale of the system.
const (
	targetWriters   = 12
	targetStarts    = 980 // per second
	targetJobs      = 13000
	targetRunning   = 10400
	tasksPerJob     = 4
	entriesPerStart = 3
)

// jobsEntry returns an entry about a task of the job: assigned (n = 0), started (1) or
// ended (2).
func jobsEntry(job, n int) []byte {
	ref := &wire.TaskRef{Job: fmt.Sprintf("plan-%012d", job), Index: uint32(job % tasksPerJob), Attempt: 1}
	entry := &wire.JobsEntry{Kind: &wire.JobsEntry_Assigned{Assigned: &wire.TaskAssigned{Task: ref, Worker: fmt.Sprintf("pwani-a-worker-%04d", job%1000), Epoch: 17}}}
	switch n {
	case 1:
		entry = &wire.JobsEntry{Kind: &wire.JobsEntry_Started{Started: &wire.TaskStarted{Task: ref}}}
	case 2:
		entry = &wire.JobsEntry{Kind: &wire.JobsEntry_Ended{Ended: &wire.TaskEnded{Task: ref, Outcome: wire.Outcome_OUTCOME_COMPLETED, RunMilliseconds: 90000,
			Used: &wire.Resources{ProcessorsMillicores: 1500, MemoryBytes: 3 << 30}}}}
	}
	encoded, _ := proto.Marshal(entry)
	return encoded
}

// BenchmarkTaskStarts measures appends with the log traffic of 980 task starts a
// second from 12 writers. Each run takes five seconds, against a log with a delay of
// 4 ms and various limits on the append rate.
func BenchmarkTaskStarts(b *testing.B) {
	for _, c := range []struct {
		rate   float64
		window time.Duration
	}{{0, 20 * time.Millisecond}, {400, 20 * time.Millisecond}, {200, 20 * time.Millisecond}, {400, 50 * time.Millisecond}, {200, 100 * time.Millisecond}} {
		b.Run(fmt.Sprintf("rate=%g/window=%s", c.rate, c.window), func(b *testing.B) {
			for b.Loop() {
				runTaskStarts(b, c.rate, c.window)
			}
		})
	}
}

func runTaskStarts(b *testing.B, rate float64, window time.Duration) {
	const seconds = 5
	ctx, cancel := context.WithCancel(b.Context())
	var running, calls sync.WaitGroup
	l := &standin.Log{Rate: rate}
	l.SetFaults(standin.Faults{Delay: standin.Duration(4 * time.Millisecond)})
	var mu sync.Mutex
	latency, failed := hdrhistogram.New(1, 60_000_000, 3), 0
	for n := range targetWriters {
		w := &stream.Writer{Log: l, Stream: "s", ID: fmt.Sprint("entry-", n), Window: window}
		running.Go(func() { _ = w.Run(ctx) })
		calls.Go(func() {
			const starts = targetStarts * seconds / targetWriters
			started := time.Now()
			for i := range starts * entriesPerStart {
				time.Sleep(time.Until(started.Add(time.Duration(i) * seconds * time.Second / (starts * entriesPerStart))))
				calls.Go(func() {
					sent := time.Now()
					_, err := w.Append(ctx, jobsEntry(n*starts+i/entriesPerStart, i%entriesPerStart))
					mu.Lock()
					defer mu.Unlock()
					if err != nil {
						failed++
					}
					_ = latency.RecordValue(time.Since(sent).Microseconds())
				})
			}
		})
	}
	calls.Wait()
	cancel()
	running.Wait()
	counts := l.Counts()
	b.ReportMetric(float64(counts.Appends)/seconds, "appends/s")
	b.ReportMetric(float64(counts.Limited)/seconds, "rejected/s")
	b.ReportMetric(float64(counts.Bytes)/(targetStarts*seconds), "bytes/start")
	b.ReportMetric(float64(latency.ValueAtQuantile(50))/1000, "ms-p50")
	b.ReportMetric(float64(latency.ValueAtQuantile(99))/1000, "ms-p99")
	b.ReportMetric(float64(failed), "failed")
}

// ledgerState is a simplified state of about the size that the jobs stream has.
type ledgerState struct{ jobs map[string]*wire.LedgerJob }

func (s *ledgerState) Apply(_ units.Offset, encoded []byte) error {
	var entry wire.JobsEntry
	if err := proto.Unmarshal(encoded, &entry); err != nil {
		return err
	}
	refs := []*wire.TaskRef{entry.GetAssigned().GetTask(), entry.GetStarted().GetTask(), entry.GetEnded().GetTask()}
	state := slices.IndexFunc(refs, func(r *wire.TaskRef) bool { return r != nil })
	id := refs[state].GetJob()
	if s.jobs[id] == nil {
		s.jobs[id] = &wire.LedgerJob{Tasks: make([]*wire.LedgerTask, tasksPerJob), Submitted: &wire.JobSubmitted{
			Job: id, Key: "key-" + id, Team: "moulds", Name: "festival mould run", Tasks: tasksPerJob,
			Spec: &wire.TaskSpec{Team: "moulds", JobKind: "mouldRun", Size: &wire.Resources{ProcessorsMillicores: 2000, MemoryBytes: 4 << 30}},
		}}
		for i := range tasksPerJob {
			s.jobs[id].Tasks[i] = &wire.LedgerTask{}
		}
	}
	task := s.jobs[id].Tasks[refs[state].GetIndex()]
	if task.State, task.Attempt = uint32(state), refs[state].GetAttempt(); state == 0 {
		task.Worker, task.Epoch = entry.GetAssigned().GetWorker(), entry.GetAssigned().GetEpoch()
	}
	return nil
}

func (s *ledgerState) Snapshot() ([]byte, error) {
	state := &wire.LedgerState{}
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		state.Jobs = append(state.Jobs, s.jobs[id])
	}
	return proto.Marshal(state)
}

func (s *ledgerState) Restore(encoded []byte) error {
	var state wire.LedgerState
	s.jobs = make(map[string]*wire.LedgerJob)
	err := proto.Unmarshal(encoded, &state)
	for _, job := range state.Jobs {
		s.jobs[job.Submitted.Job] = job
	}
	return err
}

// BenchmarkRecovery measures how long a Follower takes to load the state of 13,000
// jobs with 10,400 running tasks, over HTTP, from a snapshot and the 20,000 entries
// after it.
func BenchmarkRecovery(b *testing.B) {
	ctx, cancel := context.WithCancel(b.Context())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	l := &standin.Log{}
	server := httptest.NewServer(l.Handler())
	defer server.Close()
	w := &stream.Writer{Log: l, Stream: "s", ID: "w", Window: time.Microsecond}
	running.Go(func() { _ = w.Run(ctx) })
	source := &stream.Follower[*ledgerState]{Log: l, Stream: "s", State: &ledgerState{}}
	running.Go(func() { _ = source.Run(ctx) })
	tail := appendState(b, ctx, w, source)
	client := &logservice.Client{BaseURL: server.URL, HTTP: server.Client()}
	for b.Loop() {
		before := heapBytes()
		runCtx, stop := context.WithCancel(ctx)
		f := &stream.Follower[*ledgerState]{Log: client, Stream: "s", State: &ledgerState{}}
		started := time.Now()
		var follower sync.WaitGroup
		follower.Go(func() { _ = f.Run(runCtx) })
		if err := f.Wait(runCtx, tail); err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(time.Since(started).Seconds(), "s-recovery")
		b.ReportMetric(float64(f.Stats().SnapshotBytes)/(1<<20), "MiB-snapshot")
		b.ReportMetric(float64(f.Stats().Entries), "entries-after")
		b.ReportMetric(float64(heapBytes()-before)/(1<<20), "MiB-resident")
		stop()
		follower.Wait()
		runtime.KeepAlive(f)
	}
}

// appendState appends the entries of the complete state, a snapshot of it and 20,000 more
// entries. It returns the offset of the last record.
func appendState(b *testing.B, ctx context.Context, w *stream.Writer, source *stream.Follower[*ledgerState]) (tail units.Offset) {
	add := func(entries [][]byte) {
		for batch := range slices.Chunk(entries, 500) {
			var err error
			if tail, err = w.Append(ctx, batch...); err != nil {
				b.Fatal(err)
			}
		}
	}
	var entries [][]byte
	for job := range targetJobs {
		entries = append(entries, jobsEntry(job, 0), jobsEntry(job, 1))
		if job >= targetRunning {
			entries = append(entries, jobsEntry(job, 2))
		}
	}
	add(entries)
	if err := source.Wait(ctx, tail); err != nil {
		b.Fatal(err)
	}
	if err := (&stream.Snapshotter[*ledgerState]{Follower: source, Writer: w}).Append(ctx); err != nil {
		b.Fatal(err)
	}
	entries = nil
	for n := range 20000 {
		entries = append(entries, jobsEntry(n%targetJobs, n%3))
	}
	add(entries)
	return tail
}

func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
