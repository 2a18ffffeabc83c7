// Package administrationtest provides an in-memory Backend for tests of the
// administration API, of its client and of the command line.
package administrationtest

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"wasabihill.example/wasabihill/internal/timeline"
	"wasabihill.example/wasabihill/pkg/administration"
	"wasabihill.example/wasabihill/pkg/environment"
	"wasabihill.example/wasabihill/pkg/units"
)

// Backend implements administration.Backend in memory. Exported fields may be changed
// between requests, but not during one.
type Backend struct {
	RunningResources environment.Running
	WorkerList       []administration.Worker
	EntryList        []administration.Entry
	TeamList         []administration.Team
	EventList        []timeline.Event
	Fail             error         // returned by Ready and by every mutation, which then has no effect
	FailAfter        error         // returned by every mutation after it has taken effect
	Delay            time.Duration // of every mutation
	BeforeWrite      func()        // called once by the next mutation, to make it lose a race or to delay it

	mu       sync.Mutex
	versions []administration.Document
	keys     map[string]units.Offset
	jobs     []administration.Job // oldest first
	jobKeys  map[string]units.JobID
}

// New returns a Backend without documents and jobs.
func New() *Backend {
	return &Backend{keys: map[string]units.Offset{}, jobKeys: map[string]units.JobID{}}
}

// Ready implements administration.Backend.
func (b *Backend) Ready(context.Context) error { return b.Fail }

func (b *Backend) begin(ctx context.Context) error {
	if f := b.BeforeWrite; f != nil {
		b.BeforeWrite = nil
		f()
	}
	if b.Delay > 0 {
		select {
		case <-time.After(b.Delay):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return b.Fail
}

// Document implements administration.Backend.
func (b *Backend) Document(_ context.Context, env units.EnvironmentName, version units.Offset) (administration.Document, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, d := range slices.Backward(b.versions) {
		if d.Environment == env && (version == 0 || d.Version == version) {
			return d, nil
		}
	}
	return administration.Document{}, administration.Errorf(administration.KindNotFound, "environment %q has no version %d", env, version)
}

// History implements administration.Backend.
func (b *Backend) History(_ context.Context, env units.EnvironmentName, limit int) ([]administration.Document, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []administration.Document
	for _, d := range slices.Backward(b.versions) {
		if d.Environment == env && len(list) < limit {
			d.Text = ""
			list = append(list, d)
		}
	}
	return list, nil
}

// Publish implements administration.Backend.
func (b *Backend) Publish(ctx context.Context, p administration.Publication) (units.Offset, error) {
	if err := b.begin(ctx); err != nil {
		return 0, err
	}
	current, err := b.Document(ctx, p.Environment, 0)
	if administration.KindOf(err) != administration.KindNotFound && err != nil {
		return 0, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if won, ok := b.keys[p.Key]; ok {
		return won, nil
	}
	if p.Base != current.Version {
		return 0, administration.LostRace(current.Version)
	}
	version := units.Offset(len(b.versions) + 1)
	b.versions = append(b.versions, administration.Document{Environment: p.Environment, Version: version, Author: p.Author, Text: string(p.Text)})
	b.keys[p.Key] = version
	return version, b.FailAfter
}

// Running implements administration.Backend.
func (b *Backend) Running(context.Context, units.EnvironmentName) (environment.Running, error) {
	return b.RunningResources, nil
}

// Submit implements administration.Backend.
func (b *Backend) Submit(ctx context.Context, s administration.Submission) (administration.Job, error) {
	if err := b.begin(ctx); err != nil {
		return administration.Job{}, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	key := string(s.Team) + " " + s.Key
	if id, ok := b.jobKeys[key]; ok {
		return *b.find(id), nil
	}
	job := administration.Job{
		ID: units.JobID(fmt.Sprintf("job-%d", len(b.jobs)+1)), Team: s.Team, Name: s.Name, Kind: s.Kind, Priority: s.Priority.String(),
		Size: administration.Size(s.Size), Submitted: time.Unix(1_700_000_000, 0).UTC(), State: "pending",
		Tasks: administration.TaskCounts{Total: s.Tasks, Pending: s.Tasks},
	}
	for i := range s.Tasks {
		job.Details = append(job.Details, administration.Task{Index: uint32(i), State: "pending", Reason: "no worker has room"})
	}
	b.jobs = append(b.jobs, job)
	b.jobKeys[key] = job.ID
	return job, b.FailAfter
}

func (b *Backend) find(id units.JobID) *administration.Job {
	for i := range b.jobs {
		if b.jobs[i].ID == id {
			return &b.jobs[i]
		}
	}
	return nil
}

// Jobs implements administration.Backend.
func (b *Backend) Jobs(_ context.Context, f administration.JobFilter) ([]administration.Job, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []administration.Job
	for _, j := range slices.Backward(b.jobs) {
		if (f.Team == "" || j.Team == f.Team) && (f.State == "" || j.State == f.State) && len(list) < f.Limit {
			j.Details = nil
			list = append(list, j)
		}
	}
	return list, nil
}

// Job implements administration.Backend.
func (b *Backend) Job(_ context.Context, id units.JobID) (administration.Job, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if j := b.find(id); j != nil {
		return *j, nil
	}
	return administration.Job{}, administration.Errorf(administration.KindNotFound, "no job %q", id)
}

// Cancel implements administration.Backend.
func (b *Backend) Cancel(ctx context.Context, id units.JobID, reason string) (administration.Job, error) {
	if err := b.begin(ctx); err != nil {
		return administration.Job{}, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	j := b.find(id)
	if j == nil {
		return administration.Job{}, administration.Errorf(administration.KindNotFound, "no job %q", id)
	}
	if j.State != "cancelled" {
		j.State, j.Reason = "cancelled", reason
	}
	return *j, b.FailAfter
}

// Workers implements administration.Backend.
func (b *Backend) Workers(context.Context) ([]administration.Worker, error) { return b.WorkerList, nil }

// Entries implements administration.Backend.
func (b *Backend) Entries(context.Context) ([]administration.Entry, error) { return b.EntryList, nil }

// Teams implements administration.Backend.
func (b *Backend) Teams(context.Context) ([]administration.Team, error) { return b.TeamList, nil }

// Events implements administration.Backend.
func (b *Backend) Events(_ context.Context, accept func(timeline.Event) bool, limit int) ([]timeline.Event, error) {
	c := timeline.NewCollector(10_000)
	c.Add(b.EventList...)
	return c.Events(accept, limit), nil
}
