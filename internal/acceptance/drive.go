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
	Dir      string
	Firms    []Firm
	Actions  io.Writer // lines "start NAME", "KILL NAME" or "TERM NAME"
	Progress io.Writer

	began time.Time
	mu    sync.Mutex // of Actions and Progress
}

// The times of the day, from the moment when everything is ready.
const (
	readyTimeout = 30 * time.Second
	jobsTimeout  = 60 * time.Second // for jobs to end after the traffic
	trafficTime  = 58 * time.Second
	domainOutAt  = 6 * time.Second
	domainInAt   = 16 * time.Second
	pauseAt      = 8 * time.Second
	urgentAt     = 12 * time.Second
	resumeAt     = 20 * time.Second // 12 s later: past the lease of 8 s
	killAt       = 20 * time.Second
	restartAt    = 23 * time.Second
	// The lease of the instance that is lost ends while the log is cut, so its
	// watcher has to continue without the log.
	loseInstanceAt   = 25 * time.Second
	logCutAt         = 29 * time.Second
	logBackAt        = 39 * time.Second
	returnInstanceAt = 42 * time.Second
	plannedStopAt    = 44 * time.Second
	replaceAt        = 52 * time.Second
	quickRate        = 120.0 // requests a second of each firm
	orderRate        = 15.0
	requestLimit     = 2 * time.Second
)

// step is something that happens to a firm at a time of the day.
type step struct {
	at   time.Duration
	name string
	do   func(*firmRun, context.Context) error
}

// tracks is the timetable of each firm. The steps of a track follow each other;
// the tracks run side by side, so that a step that waits for the log, which may
// be stopped by hand, does not delay what needs no log.
var tracks = [][]step{
	{ // teams
		{0, "submit batch jobs", (*firmRun).submitJobs},
		{2 * time.Second, "cancel a burst of jobs", (*firmRun).cancelBurst},
		{urgentAt, "submit an urgent job", (*firmRun).submitUrgent},
		{returnInstanceAt, "submit more batch jobs", func(d *firmRun, ctx context.Context) error { return d.submitBatch(ctx, "late", lateJobs) }},
	},
	{ // operators
		{domainOutAt, "take a failure domain out", func(d *firmRun, ctx context.Context) error { return d.setDomain(ctx, environment.DomainOut) }},
		{domainInAt, "bring the failure domain back", func(d *firmRun, ctx context.Context) error { return d.setDomain(ctx, environment.DomainIn) }},
	},
	{ // the log service
		{logCutAt, "cut the log service", func(d *firmRun, ctx context.Context) error { return d.setOutage(ctx, true) }},
		{logBackAt, "bring the log service back", func(d *firmRun, ctx context.Context) error { return d.setOutage(ctx, false) }},
	},
	{ // processes
		{pauseAt, "pause an agent", func(d *firmRun, _ context.Context) error { return d.writeActions("STOP", d.pausedAgent()) }},
		{resumeAt, "resume the agent, past its lease", func(d *firmRun, _ context.Context) error { return d.writeActions("CONT", d.pausedAgent()) }},
		{killAt, "kill an entry process and an agent", func(d *firmRun, _ context.Context) error { return d.writeActions("KILL", d.killedProcesses()...) }},
		{restartAt, "start them again", func(d *firmRun, _ context.Context) error { return d.writeActions("start", d.killedProcesses()...) }},
		{loseInstanceAt, "lose the instance of a watcher: its worker and its agent", (*firmRun).loseInstance},
		{returnInstanceAt, "return the instance", (*firmRun).returnInstance},
		{plannedStopAt, "stop an entry process, an agent and an endpoint gracefully", (*firmRun).plannedStop},
		{replaceAt, "start them again", func(d *firmRun, _ context.Context) error { return d.writeActions("start", d.gracefullyStopped()...) }},
	},
}

// Drive runs the day of all firms at once, checks it, and returns the number
// of checks that failed.
func (r *Run) Drive(ctx context.Context) (broken int, err error) {
	r.began = time.Now()
	days := make([]*firmRun, len(r.Firms))
	group, running := errgroup.WithContext(ctx)
	for i, f := range r.Firms {
		days[i] = newFirmRun(r, f)
		group.Go(func() error { return days[i].run(running) })
	}
	if err := group.Wait(); err != nil {
		return 0, err
	}
	for _, d := range days {
		broken += d.printSummary()
	}
	return broken, nil
}

func (r *Run) printProgress(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.Progress, "%6.1fs  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// day is the run of one firm.
type firmRun struct {
	*Run
	firm     Firm
	client   *administration.Client
	http     *http.Client
	observed observations
}

func newFirmRun(r *Run, f Firm) *firmRun {
	d := &firmRun{Run: r, firm: f, http: &http.Client{Timeout: 2 * time.Second}}
	d.client = &administration.Client{Token: operatorToken, HTTP: &http.Client{Timeout: 15 * time.Second}}
	d.observed.results = make(map[string]requestResult)
	d.observed.executed = make(map[string]map[string]int)
	d.observed.lateExecutions = make(map[string]int)
	d.observed.versions = make(map[string][]versionSample)
	d.observed.connectionsRefused = make(map[string][]time.Time)
	d.observed.states = make(map[units.JobID]administration.Job)
	for _, e := range f.Entries() {
		d.client.Servers = append(d.client.Servers, e.Admin)
	}
	return d
}

func (d *firmRun) run(ctx context.Context) error {
	if err := d.prepare(ctx); err != nil {
		return fmt.Errorf("%s: %w", d.firm.Name, err)
	}
	d.printProgress("%s: every process is ready", d.firm.Name)
	d.observed.start = time.Now()
	sampling, stopSampling := context.WithCancel(ctx)
	defer stopSampling()
	group, ctx := errgroup.WithContext(ctx)
	followed := make(chan struct{})
	group.Go(func() error {
		defer close(followed)
		return d.runTimetable(ctx)
	})
	group.Go(func() error { d.sample(sampling); return nil })
	group.Go(func() error {
		defer stopSampling()
		if err := d.sendRequests(ctx); err != nil {
			return err
		}
		<-followed // jobs are still submitted until then
		return d.waitForJobs(ctx)
	})
	if err := group.Wait(); err != nil {
		return fmt.Errorf("%s: %w", d.firm.Name, err)
	}
	return d.collect()
}

// follow carries out the timetable.
func (d *firmRun) runTimetable(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, track := range tracks {
		group.Go(func() error { return d.runTrack(ctx, track) })
	}
	return group.Wait()
}

func (d *firmRun) runTrack(ctx context.Context, track []step) error {
	for _, s := range track {
		select {
		case <-time.After(time.Until(d.observed.start.Add(s.at))):
		case <-ctx.Done():
			return ctx.Err()
		}
		d.printProgress("%s: %s", d.firm.Name, s.name)
		if err := s.do(d, ctx); err != nil {
			return fmt.Errorf("%s: %w", s.name, err)
		}
	}
	return nil
}

// prepare publishes the trial document, promotes it to production and waits
// until all processes are ready.
func (d *firmRun) prepare(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	key := administration.NewKey()
	published := administration.Published{}
	err := d.waitUntil(ctx, "the trial document is published", func() (bool, error) {
		p, err := d.client.Publish(ctx, administration.Publication{
			Environment: trialName, Key: key, Author: "acceptance", Text: d.firm.Document(trialName)}, "trial.json")
		published = p
		return err == nil, err
	})
	if err != nil {
		return err
	}
	key = administration.NewKey()
	var promoted administration.Published
	err = d.waitUntil(ctx, "the document is promoted", func() (bool, error) {
		p, err := d.client.Promote(ctx, trialName, productionName, published.Version, 0, "acceptance", key)
		promoted = p
		return err == nil, err
	})
	if err != nil {
		return err
	}
	d.observed.acceptedVersions = append(d.observed.acceptedVersions, acceptedVersion{promoted.Version, time.Now()})
	return d.waitUntil(ctx, "every worker and endpoint is ready", d.allReady(ctx))
}

func (d *firmRun) allReady(ctx context.Context) func() (bool, error) {
	return func() (bool, error) {
		workers, err := d.client.Workers(ctx)
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
			return false, fmt.Errorf("%d of %d are ready", ready, workersPerFirm)
		}
		return true, nil
	}
}

// until repeats a condition until it holds or ctx ends.
func (d *firmRun) waitUntil(ctx context.Context, what string, condition func() (bool, error)) error {
	for {
		ok, err := condition()
		if ok {
			return nil
		}
		select {
		case <-time.After(200 * time.Millisecond):
		case <-ctx.Done():
			return fmt.Errorf("never happened: %s (last answer: %v)", what, err)
		}
	}
}

func (d *firmRun) writeActions(verb string, names ...string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, name := range names {
		if _, err := fmt.Fprintln(d.Actions, verb, name); err != nil {
			return err
		}
	}
	return nil
}

// victims are killed without notice: the second entry process and the agent of
// the second worker.
func (d *firmRun) killedProcesses() []string {
	return []string{string(d.firm.Entries()[1].ID), agentName(d.firm.Workers()[1])}
}

// paused is the agent that is paused past its lease and resumed.
func (d *firmRun) pausedAgent() string { return agentName(d.firm.Workers()[3]) }

// loseInstance makes the worker that runs the first watcher unreachable and
// kills its agent.
func (d *firmRun) loseInstance(ctx context.Context) error {
	job, err := d.client.Job(ctx, units.JobID("watcher/"+d.firm.Watchers[0]))
	if err != nil {
		return err
	}
	for _, w := range d.firm.Workers() {
		if len(job.Details) == 1 && w.ID == job.Details[0].Worker {
			d.observed.lostInstance = w
			if err := d.postFault(ctx, "http://"+w.Worker+"/v1/faults", `{"unreachable":true}`); err != nil {
				return err
			}
			return d.writeActions("KILL", agentName(w))
		}
	}
	return fmt.Errorf("no worker runs %s: %+v", job.ID, job.Details)
}

func (d *firmRun) returnInstance(ctx context.Context) error {
	w := d.observed.lostInstance
	if err := d.postFault(ctx, "http://"+w.Worker+"/v1/faults", `{}`); err != nil {
		return err
	}
	return d.writeActions("start", agentName(w))
}

// stopped are stopped gracefully: the third entry process, the agent of the
// last worker and the endpoint of the first.
func (d *firmRun) gracefullyStopped() []string {
	workers := d.firm.Workers()
	return []string{string(d.firm.Entries()[2].ID), agentName(workers[len(workers)-1]), endpointName(workers[0])}
}

func (d *firmRun) plannedStop(context.Context) error {
	d.observed.mu.Lock()
	d.observed.leaving = append(d.observed.leaving, leavingEndpoint{d.firm.Workers()[0], time.Now()})
	d.observed.mu.Unlock()
	return d.writeActions("TERM", d.gracefullyStopped()...)
}

// outDomain is the failure domain that operators take out.
func (d *firmRun) domainTakenOut() units.DomainName { return d.firm.Domains[2] }

func (d *firmRun) setDomain(ctx context.Context, state environment.DomainState) error {
	key := administration.NewKey() // the same for each try: the edit takes effect once
	sent := time.Now()
	var p administration.Published
	err := d.waitUntil(ctx, "the edit is accepted", func() (_ bool, err error) {
		p, err = d.client.SetDomainState(ctx, productionName, d.domainTakenOut(), state, "acceptance", key)
		return err == nil, err
	})
	if err != nil {
		return err
	}
	now := time.Now()
	d.observed.acceptedVersions = append(d.observed.acceptedVersions, acceptedVersion{p.Version, now})
	if state == environment.DomainOut {
		d.observed.domainOut = now
	} else {
		d.observed.domainIn = sent
	}
	return nil
}

func (d *firmRun) setOutage(ctx context.Context, outage bool) error {
	now := time.Now()
	if outage {
		d.observed.logCut = now
	} else {
		d.observed.logBack = now
	}
	return d.waitUntil(ctx, "the log service takes the order", func() (bool, error) {
		err := d.postFault(ctx, "http://"+d.firm.LogAddress()+"/v1/faults", fmt.Sprintf(`{"outage":%v}`, outage))
		return err == nil, err
	})
}
