package faulttest

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"wasabihill.example/wasabihill/internal/standin/worker"
	"wasabihill.example/wasabihill/pkg/administration"
	"wasabihill.example/wasabihill/pkg/units"
)

// maxAttempts is the limit on attempts of a task that always fails: the task fails
// after four failures on at least two workers, or after eight on a single worker.
const maxAttempts = 8

// TestJobAlwaysFails guards against a job that is retried forever, or that fails
// without a reason that is visible to its team, when all its tasks fail.
func TestJobAlwaysFails(t *testing.T) {
	s := startSystem(t)
	recorder := s.StartRecording(trafficDuration)
	for _, n := range s.Nodes {
		s.SetFault(n.WorkerAddress, `{"failTasks":true}`)
	}
	job := s.WaitForJobs(jobsTimeout, "failed", s.Submit("failing", 3, time.Second))[0]
	if job.Reason == "" {
		t.Error("the job failed without a reason")
	}
	attempts, workers := make(map[string]int), make(map[string]map[units.WorkerID]bool)
	for _, r := range s.runsOf(job.ID) {
		attempts[r.Task]++
		if workers[r.Task] == nil {
			workers[r.Task] = make(map[units.WorkerID]bool)
		}
		workers[r.Task][r.Worker] = true
	}
	ended := 0
	for task, n := range attempts {
		if n > maxAttempts {
			t.Errorf("%s had %d attempts, want at most %d", task, n, maxAttempts)
		}
		if n >= 4 && len(workers[task]) >= 2 {
			ended++
		}
	}
	if ended == 0 {
		t.Errorf("no task failed 4 times on 2 workers before the job failed: attempts %v, workers %v", attempts, workers)
	}
	before := len(s.runsOf(job.ID))
	time.Sleep(2 * time.Second)
	if after := len(s.runsOf(job.ID)); after != before {
		t.Errorf("%d runs started after the job failed", after-before)
	}
	recorder.Check()
}

// runsOf returns the runs of the jobs' tasks that the workers recorded.
func (s *System) runsOf(ids ...units.JobID) []worker.Run {
	s.t.Helper()
	var list []worker.Run
	for _, r := range s.Runs() {
		if slices.ContainsFunc(ids, func(id units.JobID) bool { return strings.HasPrefix(r.Task, string(id)+"/") }) {
			list = append(list, r)
		}
	}
	return list
}

// TestCancellations guards against a cancelled job that continues to run or starts
// later, and against resources that a cancelled start never releases, when
// cancellations race with starts.
func TestCancellations(t *testing.T) {
	t.Parallel()
	for _, f := range []fault{
		{"healthy", func(*System) {}},
		{"agentKilled", agentKilledAtRandom},
		{"startsLate", func(s *System) {
			s.SetFault(s.Victim.WorkerAddress, slowStart)
			s.Nodes[2].ToWorker.SetDelay(150 * time.Millisecond)
		}},
		{"logRepliesLost", func(s *System) { s.SetFault(s.LogAddress, `{"loseReplies":0.3,"late":0.1,"seed":3}`) }},
	} {
		t.Run(f.name, func(t *testing.T) {
			s := startSystem(t)
			recorder := s.StartRecording(trafficDuration)
			var injecting sync.WaitGroup
			injecting.Go(func() { f.inject(s) })
			ids := s.submitAndCancelJobs(200)
			injecting.Wait()
			s.clearFaults()
			s.WaitForJobs(jobsTimeout, "cancelled", ids...)
			s.WaitUntil(jobsTimeout, "every cancelled run has ended", func(context.Context) error {
				for _, r := range s.runsOf(ids...) {
					if r.Open {
						return fmt.Errorf("%s runs on %s", r.Task, r.Worker)
					}
				}
				return nil
			})
			endedRuns := len(s.runsOf(ids...))
			s.WaitForJobs(jobsTimeout, "completed", s.Submit("afterwards", 40, time.Second)) // needs all free resources of the system
			if n := len(s.runsOf(ids...)); n != endedRuns {
				t.Errorf("%d runs of cancelled jobs started after all their runs had ended", n-endedRuns)
			}
			t.Logf("%d runs were started for %d cancelled jobs", endedRuns, len(ids))
			recorder.Check()
		})
	}
}

// submitAndCancelJobs submits jobs that run for an hour and cancels each up to
// 210 ms after it is accepted, so that cancellations race with starts.
func (s *System) submitAndCancelJobs(count int) []units.JobID {
	ids := make([]units.JobID, count)
	errs := make([]error, count)
	var group errgroup.Group
	group.SetLimit(24)
	for i := range ids {
		group.Go(func() error {
			ids[i], errs[i] = s.submitAndCancel(i)
			return nil
		})
	}
	_ = group.Wait()
	for _, err := range errs {
		if err != nil {
			s.t.Fatal(err)
		}
	}
	return ids
}

func (s *System) submitAndCancel(i int) (id units.JobID, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 40*time.Second)
	defer cancel()
	name := fmt.Sprintf("cancelled-%d", i)
	body := administration.EncodeSubmission(administration.Submission{Team: teamName, Name: name, Kind: "plan", Tasks: 1,
		Priority: units.PriorityNormal, Size: units.Resources{Processors: 1000, Memory: units.GiB}, RunTime: time.Hour})
	job, err := retry(ctx, func() (administration.Job, error) { return s.Client.Submit(ctx, name+".json", body, name) })
	if err != nil {
		return "", err
	}
	time.Sleep(time.Duration(i%8) * 30 * time.Millisecond) // 0 to 210 ms: before, during and after the start
	key := administration.NewKey()
	_, err = retry(ctx, func() (administration.Job, error) { return s.Client.Cancel(ctx, job.ID, "changed plans", key) })
	return job.ID, err
}

// retry retries a call until it succeeds or ctx ends.
func retry[T any](ctx context.Context, call func() (T, error)) (T, error) {
	for {
		value, err := call()
		if err == nil || ctx.Err() != nil {
			return value, err
		}
		time.Sleep(100 * time.Millisecond)
	}
}
