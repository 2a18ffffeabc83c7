package dispatch

import (
	"fmt"
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/ledger"
	"wasabihill.example/wasabihill/pkg/environment"
	"wasabihill.example/wasabihill/pkg/units"
)

// BenchmarkTick measures one tick with 150 teams and 10 waiting tasks per worker.
// With freed=0 the cluster is full and every visited task stays unplaced. With
// freed=49 that many tasks end before each tick, which is the target of
// 980 starts/s.
func BenchmarkTick(b *testing.B) {
	for _, workers := range []int{100, 300, 1000} {
		for _, freed := range []int{0, 49} {
			b.Run(fmt.Sprintf("workers=%d/freed=%d", workers, freed), func(b *testing.B) { benchmarkTick(b, workers, freed) })
		}
	}
}

func benchmarkTick(b *testing.B, workers, freed int) {
	f := newFixture(b, workers)
	for i := range 150 {
		f.document.Teams = append(f.document.Teams, environment.Team{Name: units.TeamName(fmt.Sprint("t", i)), Quota: cores(1e5)})
	}
	for i := range workers * 18 {
		f.submit(fmt.Sprint("j", i), fmt.Sprint("t", i%150), normal, 1, cores(4))
	}
	var running []Proposal
	for range workers {
		running = append(running, f.tick()...)
	}
	if len(running) < workers*7 {
		b.Fatalf("got %d running tasks, want at least 7 on each worker", len(running))
	}
	b.ReportAllocs()
	var rows, jobs, assigned float64
	next := 0
	for b.Loop() {
		b.StopTimer()
		for range freed {
			f.end(running[next:next+1], func(p Proposal) []byte { return ledger.EncodeReleased(p.Task, p.Attempt, ledger.Release{}) })
			next = (next + 1) % len(running)
		}
		f.now = f.now.Add(50 * time.Millisecond)
		f.input.Now = f.now
		b.StartTimer()
		proposals := f.dispatcher.Tick(f.input)
		b.StopTimer()
		rows, jobs, assigned = rows+float64(f.dispatcher.Stats.WorkersScanned), jobs+float64(f.dispatcher.Stats.JobsVisited), assigned+float64(f.dispatcher.Stats.Assigned)
		for _, p := range proposals {
			f.apply(p.Encode())
			f.apply(ledger.EncodeStarted(p.Task, p.Attempt))
			w := f.worker(p.WorkerEpoch.Worker)
			w.Committed = w.Committed.Add(p.Committed)
			running = append(running, p)
		}
		running = running[next:]
		next = 0
		b.StartTimer()
	}
	n := float64(b.N)
	b.ReportMetric(rows/n, "rows/op")
	b.ReportMetric(jobs/n, "jobs/op")
	b.ReportMetric(assigned/n, "starts/op")
}
