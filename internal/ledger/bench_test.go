package ledger

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

// dayOfEntries returns the entries of a day with the given number of jobs from 150
// teams. Each job has ten tasks, which are assigned, started and ended; the first
// task is evicted once, so one attempt in eleven is. The last tasks, as many as
// running says, do not end.
func dayOfEntries(jobs, running int) [][]byte {
	var entries [][]byte
	sizes := units.Resources{Processors: 1900, Memory: 3 * units.GiB}
	for i := range jobs {
		m := submission(fmt.Sprintf("job-%08d", i), 10)
		m.Team, m.Spec.JobKind = fmt.Sprint("team-", i%150), fmt.Sprint("kind-", i%500)
		entries = append(entries, EncodeSubmitted(m))
		for n := range uint32(10) {
			task := units.Task{Job: units.JobID(m.Job), Index: n}
			a, h := units.Attempt(1), WorkerEpoch{units.WorkerID(fmt.Sprint("worker-", (i*10+int(n))%1000)), 4}
			if n == 0 {
				entries = append(entries, EncodeAssigned(task, a, h, sizes, false), EncodeStarted(task, a),
					EncodeEvicted(task, a, "checkpoint-1", "latency"))
				a++
			}
			entries = append(entries, EncodeAssigned(task, a, h, sizes, false), EncodeStarted(task, a))
			if (jobs-i-1)*10+int(n) >= running {
				entries = append(entries, EncodeEnded(task, a, wire.Outcome_OUTCOME_COMPLETED, time.Minute, sizes))
			}
		}
	}
	return entries
}

// BenchmarkReplay measures the replay of a day's entries, the restore of a
// snapshot, and the memory used by the state.
func BenchmarkReplay(b *testing.B) {
	for _, jobs := range []int{3250, 6500, 13_000, 26_000} {
		entries := dayOfEntries(jobs, jobs*4/5)
		b.Run(fmt.Sprintf("jobs=%d", jobs), func(b *testing.B) {
			for b.Loop() {
				replay(b, entries)
			}
		})
		l := New()
		for i, e := range entries {
			_ = l.Apply(units.Offset(i+1), e)
		}
		state, _ := l.Snapshot()
		b.Run(fmt.Sprintf("snapshot/jobs=%d", jobs), func(b *testing.B) {
			for b.Loop() {
				if err := New().Restore(state); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(state))/1e6, "MB-snapshot")
		})
	}
}

func replay(b *testing.B, entries [][]byte) {
	var before, after runtime.MemStats
	b.StopTimer()
	runtime.GC()
	runtime.ReadMemStats(&before)
	l := New()
	b.StartTimer()
	for i, e := range entries {
		if err := l.Apply(units.Offset(i+1), e); err != nil {
			b.Fatal(err)
		}
	}
	b.StopTimer()
	runtime.GC()
	runtime.ReadMemStats(&after)
	_, _, open := l.Counts()
	b.ReportMetric(float64(len(entries)), "entries")
	b.ReportMetric(float64(open), "open")
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB-live")
	runtime.KeepAlive(l)
	b.StartTimer()
}
