package acceptance

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"wasabihill.example/wasabihill/pkg/administration"
	"wasabihill.example/wasabihill/pkg/environment"
	"wasabihill.example/wasabihill/pkg/units"
)

// Run drives one acceptance run. Set the exported fields before Drive.
type Run struct {
	Dir      string // directory of WriteFiles; receives the timelines
	Firms    []Firm
	Actions  io.Writer // receives lines "start NAME" or "SIGNAL NAME", with signal KILL, TERM, STOP or CONT
	Progress io.Writer // receives the progress and the summary as text

	began time.Time
	mu    sync.Mutex // guards Actions and Progress
}

// The times of the run, measured from when every process is ready, its rates and
// its limits.
const (
	readyTimeout = 30 * time.Second // for all processes to be ready, and for the collection of the observations
	jobsTimeout  = 60 * time.Second // for jobs to end after the requests
	trafficTime  = 58 * time.Second // how long requests are sent
	domainOutAt  = 6 * time.Second
	domainInAt   = 16 * time.Second
	pauseAt      = 8 * time.Second
	urgentAt     = 12 * time.Second
	resumeAt     = 20 * time.Second // 12 s after the pause, which exceeds the lease of 8 s
	killAt       = 20 * time.Second
	restartAt    = 23 * time.Second
	// The lease of the lost instance expires during the log outage, so its watcher
	// has to be activated elsewhere without the log.
	loseInstanceAt   = 25 * time.Second
	logCutAt         = 29 * time.Second
	logBackAt        = 39 * time.Second
	returnInstanceAt = 42 * time.Second
	plannedStopAt    = 44 * time.Second
	replaceAt        = 52 * time.Second
	quickRate        = 120.0           // requests per second of each firm
	orderRate        = 15.0            // non-idempotent requests per second of each firm
	requestLimit     = 2 * time.Second // deadline of each request
)

// step is an action on a firm at a time of the run.
type step struct {
	at   time.Duration
	name string
	do   func(*firmRun, context.Context) error
}

// tracks is the timetable of each firm. The steps of a track run in sequence and the
// tracks run concurrently, so that a step that waits for the log, which may be
// stopped by hand, does not delay steps that do not need the log.
var tracks = [][]step{
	{ // teams
		{0, "submit batch jobs", (*firmRun).submitJobs},
		{2 * time.Second, "cancel a burst of jobs", (*firmRun).cancelBurst},
		{urgentAt, "submit an urgent job", (*firmRun).submitUrgent},
		{returnInstanceAt, "submit more batch jobs", func(f *firmRun, ctx context.Context) error { return f.submitN(ctx, "late", lateJobs) }},
	},
	{ // operators
		{domainOutAt, "take a failure domain out", func(f *firmRun, ctx context.Context) error { return f.setDomain(ctx, environment.DomainOut) }},
		{domainInAt, "bring the failure domain back", func(f *firmRun, ctx context.Context) error { return f.setDomain(ctx, environment.DomainIn) }},
	},
	{ // the log service
		{logCutAt, "cut the log service", func(f *firmRun, ctx context.Context) error { return f.setOutage(ctx, true) }},
		{logBackAt, "bring the log service back", func(f *firmRun, ctx context.Context) error { return f.setOutage(ctx, false) }},
	},
	{ // processes
		{pauseAt, "pause an agent", func(f *firmRun, _ context.Context) error { return f.writeActions("STOP", f.pausedAgent()) }},
		{resumeAt, "resume the agent, past its lease", func(f *firmRun, _ context.Context) error { return f.writeActions("CONT", f.pausedAgent()) }},
		{killAt, "kill an entry process and an agent", func(f *firmRun, _ context.Context) error { return f.writeActions("KILL", f.killedProcesses()...) }},
		{restartAt, "start them again", func(f *firmRun, _ context.Context) error { return f.writeActions("start", f.killedProcesses()...) }},
		{loseInstanceAt, "lose the instance of a watcher: its worker and its agent", (*firmRun).loseInstance},
		{returnInstanceAt, "return the instance", (*firmRun).returnInstance},
		{plannedStopAt, "stop an entry process, an agent and an endpoint gracefully", (*firmRun).plannedStop},
		{replaceAt, "start them again", func(f *firmRun, _ context.Context) error { return f.writeActions("start", f.gracefullyStopped()...) }},
	},
}

// Drive runs all firms concurrently, checks the guarantees and returns the number
// of failed checks.
func (r *Run) Drive(ctx context.Context) (broken int, err error) {
	r.began = time.Now()
	runs := make([]*firmRun, len(r.Firms))
	group, running := errgroup.WithContext(ctx)
	for i, firm := range r.Firms {
		runs[i] = newFirmRun(r, firm)
		group.Go(func() error { return runs[i].run(running) })
	}
	if err := group.Wait(); err != nil {
		return 0, err
	}
	for _, f := range runs {
		broken += f.printSummary()
	}
	return broken, nil
}

func (r *Run) printProgress(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.Progress, "%6.1fs  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// firmRun is the run of one firm.
type firmRun struct {
	*Run
	firm     Firm
	client   *administration.Client
	http     *http.Client
	observed observations
}

func newFirmRun(r *Run, firm Firm) *firmRun {
	f := &firmRun{Run: r, firm: firm, http: &http.Client{Timeout: 2 * time.Second}}
	f.client = &administration.Client{Token: operatorToken, HTTP: &http.Client{Timeout: 15 * time.Second}}
	f.observed.results = make(map[string]requestResult)
	f.observed.executed = make(map[string]map[string]int)
	f.observed.lateExecutions = make(map[string]int)
	f.observed.versions = make(map[string][]versionSample)
	f.observed.connectionsRefused = make(map[string][]time.Time)
	f.observed.states = make(map[units.JobID]administration.Job)
	for _, e := range firm.Entries() {
		f.client.Servers = append(f.client.Servers, e.Admin)
	}
	return f
}

// run prepares the firm, then sends requests, runs the timetable and samples until all jobs
// have ended, and collects the remaining observations.
func (f *firmRun) run(ctx context.Context) error {
	if err := f.prepare(ctx); err != nil {
		return fmt.Errorf("%s: %w", f.firm.Name, err)
	}
	f.printProgress("%s: every process is ready", f.firm.Name)
	f.observed.start = time.Now()
	sampling, stopSampling := context.WithCancel(ctx)
	defer stopSampling()
	group, ctx := errgroup.WithContext(ctx)
	timetableEnded := make(chan struct{})
	group.Go(func() error {
		defer close(timetableEnded)
		return f.runTimetable(ctx)
	})
	group.Go(func() error { f.sample(sampling); return nil })
	group.Go(func() error {
		defer stopSampling()
		if err := f.sendRequests(ctx); err != nil {
			return err
		}
		<-timetableEnded // which submits jobs until then
		return f.waitForJobs(ctx)
	})
	if err := group.Wait(); err != nil {
		return fmt.Errorf("%s: %w", f.firm.Name, err)
	}
	return f.collect()
}

// runTimetable runs the tracks of the timetable.
func (f *firmRun) runTimetable(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, track := range tracks {
		group.Go(func() error { return f.runTrack(ctx, track) })
	}
	return group.Wait()
}

func (f *firmRun) runTrack(ctx context.Context, track []step) error {
	for _, s := range track {
		select {
		case <-time.After(time.Until(f.observed.start.Add(s.at))):
		case <-ctx.Done():
			return ctx.Err()
		}
		f.printProgress("%s: %s", f.firm.Name, s.name)
		if err := s.do(f, ctx); err != nil {
			return fmt.Errorf("%s: %w", s.name, err)
		}
	}
	return nil
}

// prepare publishes the trial document, promotes it to production and waits
// until all processes are ready.
func (f *firmRun) prepare(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	key := administration.NewKey()
	published := administration.Published{}
	err := f.waitUntil(ctx, "the trial document is published", func() (bool, error) {
		p, err := f.client.Publish(ctx, administration.Publication{
			Environment: trialName, Key: key, Author: "acceptance", Text: f.firm.Document(trialName)}, "trial.json")
		published = p
		return err == nil, err
	})
	if err != nil {
		return err
	}
	key = administration.NewKey()
	var promoted administration.Published
	err = f.waitUntil(ctx, "the document is promoted", func() (bool, error) {
		p, err := f.client.Promote(ctx, trialName, productionName, published.Version, 0, "acceptance", key)
		promoted = p
		return err == nil, err
	})
	if err != nil {
		return err
	}
	f.observed.acceptedVersions = append(f.observed.acceptedVersions, acceptedVersion{promoted.Version, time.Now()})
	return f.waitUntil(ctx, "every worker and endpoint is ready", f.allReady(ctx))
}

func (f *firmRun) allReady(ctx context.Context) func() (bool, error) {
	return func() (bool, error) {
		workers, err := f.client.Workers(ctx)
		if err != nil {
			return false, err
		}
		ready := 0
		for _, w := range workers {
			if w.State == "ready" && w.Lessor != "" && len(w.Endpoints) == 1 && w.Endpoints[0].State == "ready" {
				ready++
			}
		}
		if ready < workersPerFirm {
			return false, fmt.Errorf("%d of %d workers are ready", ready, workersPerFirm)
		}
		return true, nil
	}
}

// waitUntil polls a condition until it holds or ctx ends.
func (f *firmRun) waitUntil(ctx context.Context, what string, condition func() (bool, error)) error {
	for {
		ok, err := condition()
		if ok {
			return nil
		}
		select {
		case <-time.After(200 * time.Millisecond):
		case <-ctx.Done():
			return fmt.Errorf("timed out waiting until %s (last error: %v)", what, err)
		}
	}
}

// writeActions requests an action on each of the named processes from the script that
// started them.
func (f *firmRun) writeActions(verb string, names ...string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range names {
		if _, err := fmt.Fprintln(f.Actions, verb, name); err != nil {
			return err
		}
	}
	return nil
}

// killedProcesses returns the names of the processes that are killed without
// notice: the second entry process and the agent of the second worker.
func (f *firmRun) killedProcesses() []string {
	return []string{string(f.firm.Entries()[1].ID), agentName(f.firm.Workers()[1])}
}

// pausedAgent returns the name of the agent that is paused past its lease and then
// resumed.
func (f *firmRun) pausedAgent() string { return agentName(f.firm.Workers()[3]) }

// loseInstance makes the worker that runs the first watcher unreachable and
// kills its agent.
func (f *firmRun) loseInstance(ctx context.Context) error {
	job, err := f.client.Job(ctx, units.JobID("watcher/"+f.firm.Watchers[0]))
	if err != nil {
		return err
	}
	for _, w := range f.firm.Workers() {
		if len(job.Details) == 1 && w.ID == job.Details[0].Worker {
			f.observed.lostInstance = w
			if err := f.postFault(ctx, "http://"+w.Worker+"/v1/faults", `{"unreachable":true}`); err != nil {
				return err
			}
			return f.writeActions("KILL", agentName(w))
		}
	}
	return fmt.Errorf("no worker runs %s: %+v", job.ID, job.Details)
}

func (f *firmRun) returnInstance(ctx context.Context) error {
	w := f.observed.lostInstance
	if err := f.postFault(ctx, "http://"+w.Worker+"/v1/faults", `{}`); err != nil {
		return err
	}
	return f.writeActions("start", agentName(w))
}

// gracefullyStopped returns the names of the processes that are stopped gracefully:
// the third entry process, the agent of the last worker and the endpoint of the
// first worker.
func (f *firmRun) gracefullyStopped() []string {
	workers := f.firm.Workers()
	return []string{string(f.firm.Entries()[2].ID), agentName(workers[len(workers)-1]), endpointName(workers[0])}
}

func (f *firmRun) plannedStop(context.Context) error {
	f.observed.mu.Lock()
	f.observed.leaving = append(f.observed.leaving, leavingEndpoint{f.firm.Workers()[0], time.Now()})
	f.observed.mu.Unlock()
	return f.writeActions("TERM", f.gracefullyStopped()...)
}

// domainTakenOut returns the failure domain that operators take out.
func (f *firmRun) domainTakenOut() units.DomainName { return f.firm.Domains[2] }

// setDomain changes the state of the failure domain and records when; see observations.
func (f *firmRun) setDomain(ctx context.Context, state environment.DomainState) error {
	key := administration.NewKey() // the same for every retry, so that the edit takes effect once
	sent := time.Now()
	var p administration.Published
	err := f.waitUntil(ctx, "the edit is accepted", func() (_ bool, err error) {
		p, err = f.client.SetDomainState(ctx, productionName, f.domainTakenOut(), state, "acceptance", key)
		return err == nil, err
	})
	if err != nil {
		return err
	}
	now := time.Now()
	f.observed.acceptedVersions = append(f.observed.acceptedVersions, acceptedVersion{p.Version, now})
	if state == environment.DomainOut {
		f.observed.domainOut = now
	} else {
		f.observed.domainIn = sent
	}
	return nil
}

// setOutage starts or ends the outage of the log service.
func (f *firmRun) setOutage(ctx context.Context, outage bool) error {
	now := time.Now()
	if outage {
		f.observed.logCut = now
	} else {
		f.observed.logBack = now
	}
	return f.waitUntil(ctx, "the log service accepts the fault", func() (bool, error) {
		err := f.postFault(ctx, "http://"+f.firm.LogAddress()+"/v1/faults", fmt.Sprintf(`{"outage":%v}`, outage))
		return err == nil, err
	})
}
