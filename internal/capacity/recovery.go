package capacity

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"wasabihill.example/wasabihill/internal/entry"
	"wasabihill.example/wasabihill/internal/ledger"
	"wasabihill.example/wasabihill/internal/roster"
	"wasabihill.example/wasabihill/internal/stream"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/administration"
	"wasabihill.example/wasabihill/pkg/units"
)

// Recovered contains the time and memory that an entry process without state
// needs to load a log.
type Recovered struct {
	Jobs, Running        int
	Entries              int // entries of the jobs stream in the day
	EntriesAfterSnapshot int
	Duration             time.Duration
	Sample               Sample // after recovery and a garbage collection
	ResidentBeforeGC     uint64 // resident set size in bytes before the garbage collection
}

const (
	dayTasks          = 10   // tasks of each job
	registeredWorkers = 1000 // workers registered in the log
)

// Recover fills a log with the jobs of one day, starts an entry process that loads
// it, and waits until its administration API shows the newest job. The numbers of
// jobs and running tasks are those of the target cluster multiplied by scale.
func Recover(ctx context.Context, scale float64) (Recovered, error) {
	p, err := startPlatform(ctx, 0, 0)
	if err != nil {
		return Recovered{}, err
	}
	defer p.close()
	r := Recovered{Jobs: int(13_000 * scale), Running: int(10_400 * scale)}
	if err := p.fillLog(ctx, &r); err != nil {
		return r, err
	}
	started := time.Now()
	var ready entriesReady
	c, err := startChild(ctx, "entries", entriesSettings{1, p.logAddress}, &ready)
	if err != nil {
		return r, err
	}
	defer c.stop()
	client := &administration.Client{Servers: ready.Administrations, Token: operatorToken, Timeout: time.Second}
	newest := jobID(r.Jobs - 1)
	err = await(ctx, "the entry process shows the newest job", func() bool {
		job, err := client.Job(ctx, newest)
		return err == nil && job.Tasks.Running > 0
	})
	if err != nil {
		return r, err
	}
	r.Duration = time.Since(started)
	first, err := c.sample(Full)
	if err != nil {
		return r, err
	}
	r.ResidentBeforeGC = first.Resident
	r.Sample, err = c.sample(FullAfterGC)
	return r, err
}

func jobID(i int) units.JobID { return units.JobID(fmt.Sprintf("job-%08d", i)) }

// fillLog appends the registrations and the jobs of one day, with a snapshot that
// is followed by the maximum number of entries.
func (p *platform) fillLog(ctx context.Context, r *Recovered) error {
	ctx, end := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer func() { end(); running.Wait() }()
	members := &stream.Writer{Log: p.log, Stream: "members." + environmentName, ID: "fill", Window: time.Microsecond}
	jobs := &stream.Writer{Log: p.log, Stream: "jobs." + environmentName, ID: "fill", Window: time.Microsecond}
	follower := &stream.Follower[*ledger.Ledger]{Log: p.log, Stream: jobs.Stream, State: ledger.New()}
	for _, run := range []func(context.Context) error{members.Run, jobs.Run, follower.Run} {
		running.Go(func() { _ = run(ctx) })
	}
	if _, err := appendAll(ctx, members, registrations()); err != nil {
		return err
	}
	day := dayOfJobs(r.Jobs, r.Running)
	r.Entries, r.EntriesAfterSnapshot = len(day), min(entry.EntriesPerSnapshot, len(day))
	offset, err := appendAll(ctx, jobs, day[:len(day)-r.EntriesAfterSnapshot])
	if err != nil {
		return err
	}
	if err := follower.Wait(ctx, offset); err != nil {
		return err
	}
	if err := (&stream.Snapshotter[*ledger.Ledger]{Follower: follower, Writer: jobs}).Append(ctx); err != nil {
		return err
	}
	_, err = appendAll(ctx, jobs, day[len(day)-r.EntriesAfterSnapshot:])
	return err
}

func appendAll(ctx context.Context, w *stream.Writer, entries [][]byte) (offset units.Offset, err error) {
	for batch := range slices.Chunk(entries, 500) {
		if offset, err = w.Append(ctx, batch...); err != nil {
			return offset, err
		}
	}
	return offset, nil
}

func registrations() (entries [][]byte) {
	for i := range registeredWorkers {
		entries = append(entries, roster.EncodeRegistered(roster.Worker{
			ID: workerName(i), Epoch: 4, Domain: domains[i%len(domains)], Rack: rackName(i), Region: region(i),
			LinkAddress: "10.0.0.1:7100", Capacity: units.Resources{Processors: 32000, Memory: 125e9},
			Lessor: roster.WorkerEpoch{Worker: workerName((i + len(domains)) % registeredWorkers), Epoch: 4},
		}))
	}
	return entries
}

// dayOfJobs returns the entries of jobs whose tasks were assigned and started. All
// tasks have also ended, except the newest, whose number is running.
func dayOfJobs(jobs, running int) (entries [][]byte) {
	size := units.Resources{Processors: 1900, Memory: 3 * units.GiB}
	for i := range jobs {
		id := jobID(i)
		entries = append(entries, ledger.EncodeSubmitted(&wire.JobSubmitted{
			Job: string(id), Team: teamName(i), Key: "key-" + string(id), Name: "plan", Tasks: dayTasks,
			Spec: &wire.TaskSpec{Kind: wire.TaskKind_TASK_KIND_BATCH, Priority: wire.Priority_PRIORITY_NORMAL, Team: teamName(i),
				JobKind: fmt.Sprint("kind-", i%500), Size: wire.FromResources(size), RunMilliseconds: 60_000},
		}))
		for n := range dayTasks {
			task := units.Task{Job: id, Index: uint32(n)}
			entries = append(entries, ledger.EncodeAssigned(task, 1, ledger.WorkerEpoch{Worker: workerName((i*dayTasks + n) % registeredWorkers), Epoch: 4}, size, false),
				ledger.EncodeStarted(task, 1))
			if (jobs-i-1)*dayTasks+n >= running {
				entries = append(entries, ledger.EncodeEnded(task, 1, wire.Outcome_OUTCOME_COMPLETED, time.Minute, size))
			}
		}
	}
	return entries
}

// Print writes the measurement as one line.
func (r Recovered) Print(w io.Writer) {
	fmt.Fprintf(w, "%6d jobs, %6d running tasks, %7d entries, %6d after the snapshot: %.2f s, heap %.1f MB, resident %.1f MB (%.1f MB before a collection)\n",
		r.Jobs, r.Running, r.Entries, r.EntriesAfterSnapshot, r.Duration.Seconds(), megabytes(r.Sample.Heap), megabytes(r.Sample.Resident), megabytes(r.ResidentBeforeGC))
}
