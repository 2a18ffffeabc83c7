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

const (
	batchJobs     = 24
	lateJobs      = 12
	urgentTasks   = 4
	tasksPerJob   = 10
	taskRunTime   = 4 * time.Second
	cancelledJobs = 10
	submitters    = 4
)

// submitJobs submits the firm's batch work.
func (d *firmRun) submitJobs(ctx context.Context) error {
	return d.submitBatch(ctx, "batch", batchJobs)
}

// submitBatch submits jobs at once. A submission whose outcome is not known is
// repeated under its key.
func (d *firmRun) submitBatch(ctx context.Context, prefix string, n int) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(submitters)
	ids := make([]units.JobID, n)
	for i := range ids {
		group.Go(func() error {
			id, err := d.submit(ctx, d.batchJob(fmt.Sprintf("%s-%d", prefix, i), taskRunTime))
			ids[i] = id
			return err
		})
	}
	err := group.Wait()
	d.observed.jobs = append(d.observed.jobs, ids...)
	return err
}

func (d *firmRun) batchJob(name string, runTime time.Duration) administration.Submission {
	return administration.Submission{
		Key: name, Team: d.firm.BatchTeam, Name: name, Kind: "plan", Priority: units.PriorityNormal, Tasks: tasksPerJob,
		Size: units.Resources{Processors: 1500, Memory: 2 * units.GiB}, RunTime: runTime,
	}
}

// submitUrgent submits a job that has to start within 1.4 s of its acceptance.
func (d *firmRun) submitUrgent(ctx context.Context) error {
	job := d.batchJob("urgent", taskRunTime)
	job.Team, job.Priority, job.Tasks, job.Kind = d.firm.ServiceTeam, units.PriorityUrgent, urgentTasks, "rush"
	id, err := d.submit(ctx, job)
	d.observed.urgent, d.observed.urgentAt = id, time.Now()
	return err
}

func (d *firmRun) submit(ctx context.Context, s administration.Submission) (units.JobID, error) {
	body := administration.EncodeSubmission(s)
	var id units.JobID
	var refused error
	err := d.waitUntil(ctx, "a job is accepted", func() (bool, error) {
		job, err := d.client.Submit(ctx, s.Name+".json", body, s.Key)
		id = job.ID
		if administration.KindOf(err) == administration.KindInvalid {
			refused = err
			return true, nil
		}
		return err == nil, err
	})
	return id, errors.Join(err, refused)
}

// cancelBurst submits long jobs and cancels them at once, while they start.
func (d *firmRun) cancelBurst(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(submitters)
	ids := make([]units.JobID, cancelledJobs)
	for i := range ids {
		group.Go(func() (err error) {
			if ids[i], err = d.submit(ctx, d.batchJob(fmt.Sprintf("cancelled-%d", i), time.Hour)); err != nil {
				return err
			}
			return d.waitUntil(ctx, "a cancellation is accepted", func() (bool, error) {
				_, err := d.client.Cancel(ctx, ids[i], "cancelled by the acceptance run", administration.NewKey())
				return err == nil, err
			})
		})
	}
	err := group.Wait()
	d.observed.cancelled = append(d.observed.cancelled, ids...)
	return err
}

// answer is what a caller learned about one request.
type requestResult struct {
	idempotent bool
	target     string // base URL of the entry process
	outcome    string
	plannedAt  time.Duration // planned time since the start
	latency    time.Duration
}

// traffic sends the callers' requests to the entry processes that the
// platform's balancer would choose: those whose readiness check passes.
func (d *firmRun) sendRequests(ctx context.Context) error {
	targets := d.startBalancer(ctx)
	group, ctx := errgroup.WithContext(ctx)
	for _, class := range []struct {
		name          string
		rate          float64
		nonIdempotent float64
		into          **load.Report
	}{
		{"quick", quickRate, 0, &d.observed.quick},
		{"order", orderRate, 1, &d.observed.order},
	} {
		group.Go(func() error {
			report, err := load.Run(ctx, load.Options{
				Target: targets, Service: string(d.firm.Service), Rate: class.rate, Duration: trafficTime, MaxInFlight: 256,
				BodyBytes: 200, Deadline: requestLimit, NonIdempotentShare: class.nonIdempotent, Poisson: true, Seed: 1,
				Prefix: class.name + "-", Observe: d.recordSample,
			})
			*class.into = report
			return err
		})
	}
	return group.Wait()
}

func (d *firmRun) recordSample(s load.Sample) {
	d.observed.mu.Lock()
	defer d.observed.mu.Unlock()
	d.observed.results[s.ID] = requestResult{s.Idempotent, s.Target, s.Outcome, s.Planned.Sub(d.observed.start), s.Latency}
}

// balance follows the readiness of the entry processes like the platform's
// balancer and returns the choice of the next target.
func (d *firmRun) startBalancer(ctx context.Context) func(int) string {
	entries := d.firm.Entries()
	ready := make([]bool, len(entries))
	for i, e := range entries {
		ready[i] = d.entryReady(ctx, e)
		go func() {
			ticker := time.NewTicker(250 * time.Millisecond)
			defer ticker.Stop()
			for {
				select {
				case <-ctx.Done():
					return
				case <-ticker.C:
				}
				ok := d.entryReady(ctx, e)
				d.observed.mu.Lock()
				ready[i] = ok
				d.observed.mu.Unlock()
			}
		}()
	}
	return func(n int) string {
		d.observed.mu.Lock()
		defer d.observed.mu.Unlock()
		for k := range entries {
			if i := (n + k) % len(entries); ready[i] {
				return entries[i].callerURL()
			}
		}
		return entries[n%len(entries)].callerURL()
	}
}

func (d *firmRun) entryReady(ctx context.Context, e Entry) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Admin+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := d.http.Do(r)
	if errors.Is(err, syscall.ECONNREFUSED) {
		d.observed.recordConnectionRefused(e, time.Now())
	}
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// settle waits until every job has ended.
func (d *firmRun) waitForJobs(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, jobsTimeout)
	defer cancel()
	err := d.waitUntil(ctx, "every job ends", func() (bool, error) {
		open, err := d.openJobs(ctx)
		if err == nil && open > 0 {
			err = fmt.Errorf("%d jobs are open", open)
		}
		return err == nil, err
	})
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		d.printProgress("%s: %v", d.firm.Name, err)
		return nil // the check of completed jobs reports it
	}
	return err
}

func (d *firmRun) openJobs(ctx context.Context) (int, error) {
	open := 0
	for _, id := range append(append([]units.JobID(nil), d.observed.jobs...), d.observed.cancelled...) {
		job, err := d.client.Job(ctx, id)
		if err != nil {
			return 0, err
		}
		if job.State == "pending" || job.State == "running" || job.Tasks.Running > 0 {
			open++
		}
	}
	return open, nil
}

func (d *firmRun) postFault(ctx context.Context, url, body string) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	response, err := d.http.Do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("POST %s: status %s", url, response.Status)
	}
	return nil
}

const notRun = string(headers.NotRun)
