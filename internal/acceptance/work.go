package acceptance

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"wasabihill.example/wasabihill/internal/headers"
	"wasabihill.example/wasabihill/internal/load"
	"wasabihill.example/wasabihill/pkg/administration"
	"wasabihill.example/wasabihill/pkg/units"
)

// The jobs of each firm.
const (
	batchJobs     = 24
	lateJobs      = 12
	urgentTasks   = 4
	tasksPerJob   = 10
	taskRunTime   = 4 * time.Second
	cancelledJobs = 10
	submitters    = 4 // concurrent submissions
)

// submitJobs submits the firm's batch jobs.
func (f *firmRun) submitJobs(ctx context.Context) error { return f.submitN(ctx, "batch", batchJobs) }

// submitN submits n jobs concurrently. A submission with an unknown outcome is
// retried under the same idempotency key.
func (f *firmRun) submitN(ctx context.Context, prefix string, n int) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(submitters)
	ids := make([]units.JobID, n)
	for i := range ids {
		group.Go(func() error {
			id, err := f.submit(ctx, f.batchJob(fmt.Sprintf("%s-%d", prefix, i), taskRunTime))
			ids[i] = id
			return err
		})
	}
	err := group.Wait()
	f.observed.jobs = append(f.observed.jobs, ids...)
	return err
}

func (f *firmRun) batchJob(name string, runTime time.Duration) administration.Submission {
	return administration.Submission{
		Key: name, Team: f.firm.BatchTeam, Name: name, Kind: "plan", Priority: units.PriorityNormal, Tasks: tasksPerJob,
		Size: units.Resources{Processors: 1500, Memory: 2 * units.GiB}, RunTime: runTime,
	}
}

// submitUrgent submits a job whose tasks have to start within 1.4 s of its
// acceptance.
func (f *firmRun) submitUrgent(ctx context.Context) error {
	job := f.batchJob("urgent", taskRunTime)
	job.Team, job.Priority, job.Tasks, job.Kind = f.firm.ServiceTeam, units.PriorityUrgent, urgentTasks, "rush"
	id, err := f.submit(ctx, job)
	f.observed.urgent, f.observed.urgentAt = id, time.Now()
	return err
}

// submit submits a job under its key until the job is accepted or rejected as invalid, and
// returns an error in the latter case.
func (f *firmRun) submit(ctx context.Context, s administration.Submission) (units.JobID, error) {
	body := administration.EncodeSubmission(s)
	var id units.JobID
	var rejected error
	err := f.waitUntil(ctx, "a job is accepted", func() (bool, error) {
		job, err := f.client.Submit(ctx, s.Name+".json", body, s.Key)
		id = job.ID
		if administration.KindOf(err) == administration.KindInvalid {
			rejected = err
			return true, nil
		}
		return err == nil, err
	})
	return id, errors.Join(err, rejected)
}

// cancelBurst submits long jobs and cancels each immediately, while it starts.
func (f *firmRun) cancelBurst(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(submitters)
	ids := make([]units.JobID, cancelledJobs)
	for i := range ids {
		group.Go(func() (err error) {
			if ids[i], err = f.submit(ctx, f.batchJob(fmt.Sprintf("cancelled-%d", i), time.Hour)); err != nil {
				return err
			}
			return f.waitUntil(ctx, "a cancellation is accepted", func() (bool, error) {
				_, err := f.client.Cancel(ctx, ids[i], "cancelled by the acceptance run", administration.NewKey())
				return err == nil, err
			})
		})
	}
	err := group.Wait()
	f.observed.cancelled = append(f.observed.cancelled, ids...)
	return err
}

// requestResult is the result of one request as seen by its caller.
type requestResult struct {
	idempotent bool
	target     string // base URL of the entry process
	outcome    string
	plannedAt  time.Duration // planned time, since the start of the run
	latency    time.Duration
}

// The prefixes of request IDs: latency-critical and idempotent, or non-idempotent.
const (
	quickPrefix = "quick-"
	orderPrefix = "order-"
)

// sendRequests sends the callers' requests to the entry processes whose readiness
// check passes, as the platform's load balancer does.
func (f *firmRun) sendRequests(ctx context.Context) error {
	targets := f.startBalancer(ctx)
	group, ctx := errgroup.WithContext(ctx)
	for _, class := range []struct {
		prefix        string
		rate          float64
		nonIdempotent float64
		into          **load.Report
	}{
		{quickPrefix, quickRate, 0, &f.observed.quick},
		{orderPrefix, orderRate, 1, &f.observed.order},
	} {
		group.Go(func() error {
			report, err := load.Run(ctx, load.Options{
				Target: targets, Service: string(f.firm.Service), Rate: class.rate, Duration: trafficTime, MaxInFlight: 256,
				BodyBytes: 200, Deadline: requestLimit, NonIdempotentShare: class.nonIdempotent, Poisson: true, Seed: 1,
				Prefix: class.prefix, Observe: f.recordSample,
			})
			*class.into = report
			return err
		})
	}
	return group.Wait()
}

// recordSample is called concurrently by the load generator.
func (f *firmRun) recordSample(s load.Sample) {
	f.observed.mu.Lock()
	defer f.observed.mu.Unlock()
	f.observed.results[s.ID] = requestResult{s.Idempotent, s.Target, s.Outcome, s.Planned.Sub(f.observed.start), s.Latency}
}

// startBalancer polls the readiness of the entry processes until ctx ends, as the
// platform's load balancer does. It returns the function that chooses the target of
// a request.
func (f *firmRun) startBalancer(ctx context.Context) func(int) string {
	entries := f.firm.Entries()
	ready := make([]bool, len(entries))
	for i, e := range entries {
		ready[i] = f.entryReady(ctx, e)
		go func() {
			ticker := time.NewTicker(250 * time.Millisecond)
			defer ticker.Stop()
			for {
				select {
				case <-ctx.Done():
					return
				case <-ticker.C:
				}
				ok := f.entryReady(ctx, e)
				f.observed.mu.Lock()
				ready[i] = ok
				f.observed.mu.Unlock()
			}
		}()
	}
	return func(n int) string {
		f.observed.mu.Lock()
		defer f.observed.mu.Unlock()
		for k := range entries {
			if i := (n + k) % len(entries); ready[i] {
				return entries[i].callerURL()
			}
		}
		return entries[n%len(entries)].callerURL()
	}
}

// entryReady reports whether the entry process passes its readiness check. It records a
// refused connection, which shows that the process does not run.
func (f *firmRun) entryReady(ctx context.Context, e Entry) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Admin+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := f.http.Do(r)
	if errors.Is(err, syscall.ECONNREFUSED) {
		f.observed.recordConnectionRefused(e, time.Now())
	}
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// waitForJobs waits until every job has ended.
func (f *firmRun) waitForJobs(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, jobsTimeout)
	defer cancel()
	err := f.waitUntil(ctx, "every job ends", func() (bool, error) {
		open, err := f.openJobs(ctx)
		if err == nil && open > 0 {
			err = fmt.Errorf("%d jobs have not ended", open)
		}
		return err == nil, err
	})
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		f.printProgress("%s: %v", f.firm.Name, err)
		return nil // checkJobs reports the violation
	}
	return err
}

// openJobs returns the number of submitted jobs that have not ended or still run tasks.
func (f *firmRun) openJobs(ctx context.Context) (int, error) {
	open := 0
	for _, id := range append(append([]units.JobID(nil), f.observed.jobs...), f.observed.cancelled...) {
		job, err := f.client.Job(ctx, id)
		if err != nil {
			return 0, err
		}
		if job.State == "pending" || job.State == "running" || job.Tasks.Running > 0 {
			open++
		}
	}
	return open, nil
}

// postFault sets the fault of a stand-in.
func (f *firmRun) postFault(ctx context.Context, url, body string) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	response, err := f.http.Do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("POST %s: status %s", url, response.Status)
	}
	return nil
}

// notRun is the outcome of a request that the product rejected as not executed.
const notRun = string(headers.NotRun)
