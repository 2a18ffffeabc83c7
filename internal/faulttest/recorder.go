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

// Witness collects what callers, workers, endpoints and entry processes saw
// while faults were injected.
type Recorder struct {
	*System
	startedAt  time.Time
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mu                 sync.Mutex // of what follows
	samples            map[string]load.Sample
	wrongResponses     []string // answers that were wrong
	overcommitments    []string
	versionRegressions []string
	versions           map[*Entry]units.Offset
}

// Watch starts traffic of callers and the sampling of workers and entry processes.
func (s *System) StartRecording(traffic time.Duration) *Recorder {
	ctx, cancel := context.WithCancel(context.Background())
	w := &Recorder{System: s, startedAt: time.Now(), cancel: cancel, samples: make(map[string]load.Sample), versions: make(map[*Entry]units.Offset)}
	s.t.Cleanup(func() { cancel(); w.goroutines.Wait() })
	for prefix, nonIdempotent := range map[string]float64{"quick-": 0, "order-": 1} {
		w.goroutines.Go(func() { w.sendRequests(ctx, prefix, nonIdempotent, traffic) })
	}
	w.goroutines.Go(func() { w.sampleAll(ctx) })
	return w
}

func (w *Recorder) sendRequests(ctx context.Context, prefix string, nonIdempotent float64, traffic time.Duration) {
	report, err := load.Run(ctx, load.Options{
		Targets: []string{"http://" + w.Entries[0].CallerAddress, "http://" + w.Entries[1].CallerAddress}, Service: serviceName,
		Rate: 25, Duration: traffic, MaxInFlight: 128, BodyBytes: 100, Deadline: 2 * time.Second,
		NonIdempotentShare: nonIdempotent, Poisson: true, Seed: 7, Prefix: prefix, Observe: w.recordSample,
	})
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.wrongResponses = append(w.wrongResponses, err.Error())
		return
	}
	for fault, n := range report.Faults {
		w.wrongResponses = append(w.wrongResponses, fmt.Sprintf("%s%d times: %s", prefix, n, fault))
	}
}

func (w *Recorder) recordSample(s load.Sample) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.samples[s.ID] = s
}

func (w *Recorder) sampleAll(ctx context.Context) {
	ticker := time.NewTicker(200 * time.Millisecond)
	defer ticker.Stop()
	for {
		group, sampling := errgroup.WithContext(ctx)
		for _, n := range w.Nodes {
			group.Go(func() error { w.sampleWorker(sampling, n); return nil })
		}
		for _, e := range w.Entries {
			group.Go(func() error { w.sampleEntry(sampling, e); return nil })
		}
		_ = group.Wait()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// sampleWorker checks the worker's commitments and the reservation for its
// endpoint against its capacity.
func (w *Recorder) sampleWorker(ctx context.Context, n *Node) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	table, err := w.workerTasks(ctx, n)
	if err != nil {
		return
	}
	sum := units.Resources{Processors: 2000, Memory: 2e9}
	for _, t := range table.Tasks {
		if t.State == workerapi.Running || t.State == workerapi.Standby {
			sum = sum.Add(t.Size)
		}
	}
	if !sum.Fits(WorkerCapacity) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.overcommitments = append(w.overcommitments, fmt.Sprintf("%s holds %s of %s", n.ID, sum, WorkerCapacity))
	}
}

func (s *System) workerTasks(ctx context.Context, n *Node) (workerapi.Table, error) {
	client := workerapi.Client{BaseURL: "http://" + n.WorkerAddress, HTTP: s.http}
	return client.Tasks(ctx)
}

// sampleEntry checks that the version in force on an entry process never falls.
// A restarted process answers only after it has read the log.
func (w *Recorder) sampleEntry(ctx context.Context, e *Entry) {
	client := administration.Client{Servers: []string{e.AdminAddress}, Token: operatorToken, Timeout: time.Second}
	document, err := client.Document(ctx, environmentName, 0)
	if err != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if document.Version < w.versions[e] {
		w.versionRegressions = append(w.versionRegressions, fmt.Sprintf("%s went from version %d to %d", e.ID, w.versions[e], document.Version))
	}
	w.versions[e] = document.Version
}

// Submit submits a job and repeats it under its key until it is accepted.
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

// Settle waits until the jobs have ended in the state and returns them.
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
				return fmt.Errorf("it is %s with %+v", job.State, job.Tasks)
			}
			return nil
		})
	}
	return jobs
}

// Runs returns every run of every worker.
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

// Executed returns how often each request was executed.
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

// Check waits for the end of the traffic and judges the guarantees that hold in
// every case.
func (w *Recorder) Check() {
	w.t.Helper()
	w.cancel()
	w.goroutines.Wait()
	runs := w.Runs()
	for _, o := range worker.Overlaps(runs) {
		w.t.Errorf("guarantee 2, two runs at once: %s", o)
	}
	w.t.Logf("after %v: runs of tasks %v", time.Since(w.startedAt).Round(time.Second), countRuns(runs))
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, list := range []struct {
		guarantee string
		broken    []string
	}{{"1, over-committed", w.overcommitments}, {"5, wrong answer", w.wrongResponses}, {"10, version reverted", w.versionRegressions}} {
		for _, b := range list.broken {
			w.t.Errorf("guarantee %s: %s", list.guarantee, b)
		}
	}
	w.checkRequests(w.Executions())
}

// ends counts runs by how they ended.
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

func (w *Recorder) checkRequests(executed map[string]int) {
	w.t.Helper()
	outcomes := make(map[string]int)
	for id, s := range w.samples {
		outcomes[s.Outcome]++
		n := executed[id]
		switch {
		case s.Outcome == string(headers.NotRun) && n > 0:
			w.t.Errorf("guarantee 6: %s was rejected as not run and executed %d times", id, n)
		case !s.Idempotent && n > 1:
			w.t.Errorf("guarantee 7: %s is non-idempotent and was executed %d times", id, n)
		case s.Outcome == string(headers.Done) && n == 0:
			w.t.Errorf("guarantee 5: %s got a response and was never executed", id)
		}
	}
	w.t.Logf("outcomes of requests: %v", outcomes)
	if outcomes[string(headers.Done)] == 0 {
		w.t.Error("no request was answered, so the checks of requests say nothing")
	}
}
