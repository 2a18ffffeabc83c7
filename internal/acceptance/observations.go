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

// observations is the input of the checks. It comes from callers, workers and
// endpoints; only the state of jobs and the document versions come from the product
// itself.
type observations struct {
	start     time.Time
	domainOut time.Time // when the edit that takes the domain out was acknowledged
	// domainIn is when the edit that brings the domain back was sent. If the log's
	// reply is lost, the edit is in force before it is acknowledged.
	domainIn         time.Time
	logCut           time.Time
	logBack          time.Time
	lostInstance     Worker // the instance that is temporarily lost
	urgent           units.JobID
	urgentAt         time.Time     // when its submission was accepted
	jobs             []units.JobID // written by the track of the teams and read after that track has ended
	cancelled        []units.JobID
	states           map[units.JobID]administration.Job
	acceptedVersions []acceptedVersion
	quick            *load.Report
	order            *load.Report
	runs             []worker.Run
	events           []timeline.Event

	mu                 sync.Mutex // guards the fields below
	leaving            []leavingEndpoint
	results            map[string]requestResult
	executed           map[string]map[string]int  // number of executions by endpoint and request ID
	lateExecutions     map[string]int             // by request ID: executions on a leaving endpoint after maxReactionTime
	overcommitments    []string                   // descriptions of workers committed beyond their capacity
	versions           map[string][]versionSample // by entry process
	connectionsRefused map[string][]time.Time     // times by base URL for callers
}

// recordConnectionRefused records that the entry process refused a connection.
func (o *observations) recordConnectionRefused(entry Entry, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.connectionsRefused[entry.callerURL()] = append(o.connectionsRefused[entry.callerURL()], at)
}

// acceptedVersion is a version of the document and the time at which the operator
// received its acceptance.
type acceptedVersion struct {
	version units.Offset
	at      time.Time
}

// leavingEndpoint is an endpoint that was stopped gracefully.
type leavingEndpoint struct {
	worker Worker
	at     time.Time
}

// versionSample is the version that a process had in force at a time.
type versionSample struct {
	version units.Offset
	at      time.Time
}

const (
	sampleInterval = 250 * time.Millisecond
	// maxReactionTime is the bound behind "a few seconds" and "within seconds" in
	// the guarantees; the target is 3 s.
	maxReactionTime = 3 * time.Second
)

// sample samples workers, endpoints and entry processes until ctx ends.
func (f *firmRun) sample(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		var wait sync.WaitGroup
		for _, w := range f.firm.Workers() {
			wait.Go(func() { f.sampleWorker(ctx, w) })
			wait.Go(func() { f.sampleEndpoint(ctx, w) })
		}
		for _, e := range f.firm.Entries() {
			wait.Go(func() { f.sampleEntry(ctx, e) })
		}
		wait.Wait()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// getJSON decodes the reply of a stand-in into a value.
func (f *firmRun) getJSON(ctx context.Context, url string, into any) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := f.http.Do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(into)
}

// sampleWorker checks that what the worker is committed to, with the reservation for its
// endpoint, is within its capacity. It skips a worker that does not respond.
func (f *firmRun) sampleWorker(ctx context.Context, w Worker) {
	client := workerapi.Client{BaseURL: "http://" + w.Worker, HTTP: f.http}
	table, err := client.Tasks(ctx)
	if err != nil {
		return
	}
	document, err := environment.Parse("document", f.firm.Document(productionName))
	if err != nil {
		return
	}
	sum := document.Services[0].PerEndpoint.Add(worker.Committed(table))
	if !sum.Fits(f.firm.Capacity) {
		f.observed.mu.Lock()
		defer f.observed.mu.Unlock()
		f.observed.overcommitments = append(f.observed.overcommitments, fmt.Sprintf("%s: %s of %s", w.ID, sum, f.firm.Capacity))
	}
}

// sampleEndpoint records the requests that an endpoint has executed.
func (f *firmRun) sampleEndpoint(ctx context.Context, w Worker) {
	var reply struct {
		Executed map[string]int `json:"executed"`
	}
	if f.getJSON(ctx, "http://"+w.Endpoint+"/v1/executed", &reply) != nil {
		return
	}
	name := endpointName(w)
	now := time.Now()
	f.observed.mu.Lock()
	defer f.observed.mu.Unlock()
	seen := f.observed.executed[name]
	if seen == nil {
		seen = make(map[string]int)
		f.observed.executed[name] = seen
	}
	for id, n := range reply.Executed {
		if n > seen[id] {
			seen[id] = n
			for _, l := range f.observed.leaving {
				if l.worker.ID == w.ID && now.Sub(l.at) > maxReactionTime+sampleInterval && now.Before(f.observed.start.Add(replaceAt)) {
					f.observed.lateExecutions[id]++
				}
			}
		}
	}
}

// sampleEntry records the document version that an entry process has in force.
func (f *firmRun) sampleEntry(ctx context.Context, e Entry) {
	client := administration.Client{Servers: []string{e.Admin}, Token: operatorToken, Timeout: time.Second}
	document, err := client.Document(ctx, productionName, 0)
	if err != nil {
		return
	}
	f.observed.mu.Lock()
	defer f.observed.mu.Unlock()
	name := string(e.ID)
	f.observed.versions[name] = append(f.observed.versions[name], versionSample{document.Version, time.Now()})
}

// collect reads the task runs, the executed requests, the jobs and the timeline
// after the run.
func (f *firmRun) collect() error {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	for _, w := range f.firm.Workers() {
		var reply struct {
			Runs []worker.Run `json:"runs"`
		}
		if err := f.getJSON(ctx, "http://"+w.Worker+"/v1/runs", &reply); err != nil {
			return err
		}
		f.observed.runs = append(f.observed.runs, reply.Runs...)
		f.sampleEndpoint(ctx, w)
	}
	for _, id := range append(append([]units.JobID(nil), f.observed.jobs...), f.observed.cancelled...) {
		job, err := f.client.Job(ctx, id)
		if err != nil {
			return err
		}
		f.observed.states[id] = job
	}
	return f.saveTimeline(ctx)
}
