package acceptance

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"wasabihill.example/wasabihill/internal/load"
	"wasabihill.example/wasabihill/internal/standin/worker"
	"wasabihill.example/wasabihill/internal/timeline"
	"wasabihill.example/wasabihill/pkg/administration"
	"wasabihill.example/wasabihill/pkg/environment"
	"wasabihill.example/wasabihill/pkg/units"
	"wasabihill.example/wasabihill/pkg/workerapi"
)

// evidence is what the checks judge. Callers, workers and endpoints are the
// witnesses; the product's own view counts only for the state of jobs.
type observations struct {
	start     time.Time
	domainOut time.Time // when the operator was told that the domain is out
	// domainIn is when the operator asked for the domain to come back. Without
	// the log's answer the edit is in force before anyone is told so.
	domainIn         time.Time
	logCut           time.Time
	logBack          time.Time
	lostInstance     Worker // the instance that is lost for a while
	urgent           units.JobID
	urgentAt         time.Time     // when its submission was accepted
	jobs             []units.JobID // of the track of teams, read after it has ended
	cancelled        []units.JobID
	states           map[units.JobID]administration.Job
	acceptedVersions []acceptedVersion
	quick            *load.Report
	order            *load.Report
	runs             []worker.Run
	events           []timeline.Event

	mu                 sync.Mutex // of what follows
	leaving            []leavingEndpoint
	results            map[string]requestResult
	executed           map[string]map[string]int // endpoint, request id, times
	lateExecutions     map[string]int            // executions at a leaving endpoint, after it should have none
	overcommitments    []string
	versions           map[string][]versionSample // by entry process
	connectionsRefused map[string][]time.Time     // by base URL for callers: when nothing listened there
}

// gone records that no process listens for the entry process.
func (e *observations) recordConnectionRefused(entry Entry, at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.connectionsRefused[entry.callerURL()] = append(e.connectionsRefused[entry.callerURL()], at)
}

// acceptance is a version of the document with the time at which the operator
// was told that it is accepted.
type acceptedVersion struct {
	version units.Offset
	at      time.Time
}

// leaving is an endpoint that was told to leave.
type leavingEndpoint struct {
	worker Worker
	at     time.Time
}

// seenVersion is a version that a process had in force at a time.
type versionSample struct {
	version units.Offset
	at      time.Time
}

const (
	sampleInterval = 250 * time.Millisecond
	// obeyWithin is what "a few seconds" and "within seconds" of the
	// guarantees mean here; the target says 3 s.
	maxReactionTime = 3 * time.Second
)

// sample watches workers, endpoints and documents until ctx ends.
func (d *firmRun) sample(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		var wait sync.WaitGroup
		for _, w := range d.firm.Workers() {
			wait.Go(func() { d.sampleWorker(ctx, w) })
			wait.Go(func() { d.sampleEndpoint(ctx, w) })
		}
		for _, e := range d.firm.Entries() {
			wait.Go(func() { d.sampleEntry(ctx, e) })
		}
		wait.Wait()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (d *firmRun) getJSON(ctx context.Context, url string, into any) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := d.http.Do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(into)
}

// sampleWorker checks that what the worker is committed to, with the
// reservation for its endpoint, is within its capacity.
func (d *firmRun) sampleWorker(ctx context.Context, w Worker) {
	client := workerapi.Client{BaseURL: "http://" + w.Worker, HTTP: d.http}
	table, err := client.Tasks(ctx)
	if err != nil {
		return
	}
	document, err := environment.Parse("document", d.firm.Document(productionName))
	if err != nil {
		return
	}
	sum := document.Services[0].PerEndpoint
	for _, t := range table.Tasks {
		if t.State == workerapi.Running || t.State == workerapi.Standby {
			sum = sum.Add(t.Size)
		}
	}
	if !sum.Fits(d.firm.Capacity) {
		d.observed.mu.Lock()
		defer d.observed.mu.Unlock()
		d.observed.overcommitments = append(d.observed.overcommitments, fmt.Sprintf("%s: %s of %s", w.ID, sum, d.firm.Capacity))
	}
}

// sampleEndpoint reads which requests an endpoint has executed.
func (d *firmRun) sampleEndpoint(ctx context.Context, w Worker) {
	var reply struct {
		Executed map[string]int `json:"executed"`
	}
	if d.getJSON(ctx, "http://"+w.Endpoint+"/v1/executed", &reply) != nil {
		return
	}
	name := endpointName(w)
	now := time.Now()
	d.observed.mu.Lock()
	defer d.observed.mu.Unlock()
	seen := d.observed.executed[name]
	if seen == nil {
		seen = make(map[string]int)
		d.observed.executed[name] = seen
	}
	for id, n := range reply.Executed {
		if n > seen[id] {
			seen[id] = n
			for _, l := range d.observed.leaving {
				if l.worker.ID == w.ID && now.Sub(l.at) > maxReactionTime+sampleInterval && now.Before(d.observed.start.Add(replaceAt)) {
					d.observed.lateExecutions[id]++
				}
			}
		}
	}
}

// sampleEntry reads which version of the document an entry process has.
func (d *firmRun) sampleEntry(ctx context.Context, e Entry) {
	client := administration.Client{Servers: []string{e.Admin}, Token: operatorToken, Timeout: time.Second}
	document, err := client.Document(ctx, productionName, 0)
	if err != nil {
		return
	}
	d.observed.mu.Lock()
	defer d.observed.mu.Unlock()
	name := string(e.ID)
	d.observed.versions[name] = append(d.observed.versions[name], versionSample{document.Version, time.Now()})
}

// collect reads the final state.
func (d *firmRun) collect() error {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	for _, w := range d.firm.Workers() {
		var reply struct {
			Runs []worker.Run `json:"runs"`
		}
		if err := d.getJSON(ctx, "http://"+w.Worker+"/v1/runs", &reply); err != nil {
			return err
		}
		d.observed.runs = append(d.observed.runs, reply.Runs...)
		d.sampleEndpoint(ctx, w)
	}
	for _, id := range append(append([]units.JobID(nil), d.observed.jobs...), d.observed.cancelled...) {
		job, err := d.client.Job(ctx, id)
		if err != nil {
			return err
		}
		d.observed.states[id] = job
	}
	return d.saveTimeline(ctx)
}
