package faulttest

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"wasabihill.example/wasabihill/internal/headers"
	"wasabihill.example/wasabihill/internal/load"
	"wasabihill.example/wasabihill/internal/standin/worker"
	"wasabihill.example/wasabihill/pkg/administration"
	"wasabihill.example/wasabihill/pkg/units"
	"wasabihill.example/wasabihill/pkg/workerapi"
)

// Recorder sends requests and records the state of workers, endpoints and
// entry processes while faults are injected.
type Recorder struct {
	*System
	startedAt  time.Time
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mu                 sync.Mutex // guards the fields below
	samples            map[string]load.Sample
	wrongResponses     []string
	overcommitments    []string
	versionRegressions []string
	versions           map[*Entry]units.Offset
}

// StartRecording sends caller requests for the given time and samples workers
// and entry processes until Check.
func (s *System) StartRecording(traffic time.Duration) *Recorder {
	ctx, cancel := context.WithCancel(context.Background())
	rec := &Recorder{System: s, startedAt: time.Now(), cancel: cancel, samples: make(map[string]load.Sample), versions: make(map[*Entry]units.Offset)}
	s.t.Cleanup(func() { cancel(); rec.goroutines.Wait() })
	for prefix, nonIdempotent := range map[string]float64{"quick-": 0, "order-": 1} {
		rec.goroutines.Go(func() { rec.sendRequests(ctx, prefix, nonIdempotent, traffic) })
	}
	rec.goroutines.Go(func() { rec.sampleAll(ctx) })
	return rec
}

func (rec *Recorder) sendRequests(ctx context.Context, prefix string, nonIdempotent float64, traffic time.Duration) {
	report, err := load.Run(ctx, load.Options{
		Targets: []string{"http://" + rec.Entries[0].CallerAddress, "http://" + rec.Entries[1].CallerAddress}, Service: serviceName,
		Rate: 25, Duration: traffic, MaxInFlight: 128, BodyBytes: 100, Deadline: 2 * time.Second,
		NonIdempotentShare: nonIdempotent, Poisson: true, Seed: 7, Prefix: prefix, Observe: rec.recordSample,
	})
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if err != nil {
		rec.wrongResponses = append(rec.wrongResponses, err.Error())
		return
	}
	for fault, n := range report.Faults {
		rec.wrongResponses = append(rec.wrongResponses, fmt.Sprintf("%s%d times: %s", prefix, n, fault))
	}
}

func (rec *Recorder) recordSample(s load.Sample) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.samples[s.ID] = s
}

func (rec *Recorder) sampleAll(ctx context.Context) {
	ticker := time.NewTicker(200 * time.Millisecond)
	defer ticker.Stop()
	for {
		group, sampling := errgroup.WithContext(ctx)
		for _, n := range rec.Nodes {
			group.Go(func() error { rec.sampleWorker(sampling, n); return nil })
		}
		for _, e := range rec.Entries {
			group.Go(func() error { rec.sampleEntry(sampling, e); return nil })
		}
		_ = group.Wait()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// sampleWorker checks that the tasks on a worker and the reservation for its
// endpoint fit the worker's capacity.
func (rec *Recorder) sampleWorker(ctx context.Context, n *Node) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	table, err := rec.workerTasks(ctx, n)
	if err != nil {
		return
	}
	sum := endpointReservation.Add(worker.Committed(table))
	if !sum.Fits(WorkerCapacity) {
		rec.mu.Lock()
		defer rec.mu.Unlock()
		rec.overcommitments = append(rec.overcommitments, fmt.Sprintf("%s has %s committed of %s", n.ID, sum, WorkerCapacity))
	}
}

func (s *System) workerTasks(ctx context.Context, n *Node) (workerapi.Table, error) {
	client := workerapi.Client{BaseURL: "http://" + n.WorkerAddress, HTTP: s.http}
	return client.Tasks(ctx)
}

// sampleEntry checks that the document version in force on an entry process
// never decreases, also across a restart: a restarted process answers only after
// it has replayed the log.
func (rec *Recorder) sampleEntry(ctx context.Context, e *Entry) {
	client := administration.Client{Servers: []string{e.AdminAddress}, Token: operatorToken, Timeout: time.Second}
	document, err := client.Document(ctx, environmentName, 0)
	if err != nil {
		return
	}
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if document.Version < rec.versions[e] {
		rec.versionRegressions = append(rec.versionRegressions, fmt.Sprintf("%s went from version %d to %d", e.ID, rec.versions[e], document.Version))
	}
	rec.versions[e] = document.Version
}

// Submit submits a job and retries under the same idempotency key until the job
// is accepted.
func (s *System) Submit(name string, tasks int, runTime time.Duration) units.JobID {
	s.t.Helper()
	body := administration.EncodeSubmission(administration.Submission{
		Team: teamName, Name: name, Kind: "plan", Priority: units.PriorityNormal, Tasks: tasks,
		Size: units.Resources{Processors: 1000, Memory: units.GiB}, RunTime: runTime,
	})
	var id units.JobID
	s.WaitUntil(30*time.Second, "job "+name+" is accepted", func(ctx context.Context) error {
		job, err := s.Client.Submit(ctx, name+".json", body, name)
		id = job.ID
		return err
	})
	return id
}

// WaitForJobs waits until the jobs are in the given state without running tasks
// and returns them.
func (s *System) WaitForJobs(limit time.Duration, state string, ids ...units.JobID) []administration.Job {
	s.t.Helper()
	jobs := make([]administration.Job, len(ids))
	for i, id := range ids {
		s.WaitUntil(limit, fmt.Sprintf("job %s is %s", id, state), func(ctx context.Context) error {
			job, err := s.Client.Job(ctx, id)
			if err != nil {
				return err
			}
			jobs[i] = job
			if job.State != state || job.Tasks.Running > 0 {
				return fmt.Errorf("job is %s, tasks %+v", job.State, job.Tasks)
			}
			return nil
		})
	}
	return jobs
}

// Runs returns the task runs that the workers recorded.
func (s *System) Runs() []worker.Run {
	s.t.Helper()
	var all []worker.Run
	for _, n := range s.Nodes {
		var reply struct{ Runs []worker.Run }
		if err := s.getJSON("http://"+n.WorkerAddress+"/v1/runs", &reply); err != nil {
			s.t.Fatal(err)
		}
		all = append(all, reply.Runs...)
	}
	return all
}

// Executions returns how often the endpoints executed each request, by request ID.
func (s *System) Executions() map[string]int {
	s.t.Helper()
	sum := make(map[string]int)
	for _, n := range s.Nodes {
		var reply struct{ Executed map[string]int }
		if err := s.getJSON("http://"+n.EndpointAddress+"/v1/executed", &reply); err != nil {
			s.t.Fatal(err)
		}
		for id, times := range reply.Executed {
			sum[id] += times
		}
	}
	return sum
}

// Check stops the requests and the sampling, and checks the guarantees that hold
// under every fault.
func (rec *Recorder) Check() {
	rec.t.Helper()
	rec.cancel()
	rec.goroutines.Wait()
	runs := rec.Runs()
	for _, o := range worker.Overlaps(runs) {
		rec.t.Errorf("guarantee 2, overlapping runs: %s", o)
	}
	rec.t.Logf("task runs by state after %v: %v", time.Since(rec.startedAt).Round(time.Second), countRuns(runs))
	rec.mu.Lock()
	defer rec.mu.Unlock()
	for _, list := range []struct {
		guarantee string
		broken    []string
	}{{"1, overcommitted", rec.overcommitments}, {"5, wrong response", rec.wrongResponses}, {"10, version reverted", rec.versionRegressions}} {
		for _, b := range list.broken {
			rec.t.Errorf("guarantee %s: %s", list.guarantee, b)
		}
	}
	rec.checkRequests(rec.Executions())
}

// countRuns counts runs by state, and second and later attempts as "repeated".
func countRuns(runs []worker.Run) map[string]int {
	counts := make(map[string]int)
	for _, r := range runs {
		counts[string(r.State)]++
		if r.Attempt > 1 {
			counts["repeated"]++
		}
	}
	return counts
}

func (rec *Recorder) checkRequests(executed map[string]int) {
	rec.t.Helper()
	outcomes := make(map[string]int)
	for id, s := range rec.samples {
		outcomes[s.Outcome]++
		n := executed[id]
		switch {
		case s.Outcome == string(headers.NotRun) && n > 0:
			rec.t.Errorf("guarantee 6: %s was rejected as not run but was executed %d times", id, n)
		case !s.Idempotent && n > 1:
			rec.t.Errorf("guarantee 7: %s is non-idempotent and was executed %d times", id, n)
		case s.Outcome == string(headers.Done) && n == 0:
			rec.t.Errorf("guarantee 5: %s got a response but was never executed", id)
		}
	}
	rec.t.Logf("outcomes of requests: %v", outcomes)
	if outcomes[string(headers.Done)] == 0 {
		rec.t.Error("no request got a response; the request checks need at least one")
	}
}
