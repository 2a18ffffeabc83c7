// Package administration implements the server of the administration API, which
// teams and operators use to manage documents, failure domains, workers and jobs and
// to read the timeline. It authenticates, limits and checks requests; the entry
// process executes them behind the interface Backend.
package administration

import (
	"context"

	"wasabihill.example/wasabihill/internal/timeline"
	"wasabihill.example/wasabihill/pkg/administration"
	"wasabihill.example/wasabihill/pkg/environment"
	"wasabihill.example/wasabihill/pkg/units"
)

// Backend is the entry process behind the API. Its methods are called concurrently.
// They return an *administration.Error for every failure that the client can act on;
// any other error is reported as internal.
//
// A mutation that needs the log service while it can't be reached returns
// administration.Unavailable, with OutcomeNotRun if nothing was sent and with
// OutcomeUnknown if a record may have been appended.
type Backend interface {
	// Ready returns nil once the process follows the log and can serve requests.
	Ready(ctx context.Context) error

	// Document returns a version of an environment's document; version 0 is the
	// current one. The error has KindNotFound if there is no such version.
	Document(ctx context.Context, env units.EnvironmentName, version units.Offset) (administration.Document, error)

	// History returns up to limit versions without their texts, newest first.
	History(ctx context.Context, env units.EnvironmentName, limit int) ([]administration.Document, error)

	// Publish appends a version and returns it after reading it back from the log
	// confirmed that no other version was published first. If a version with the
	// same key was already published, Publish returns that version and publishes
	// nothing. The key of a publication that lost the race may be used again with
	// another base. The error is LostRace if the base is no longer the current
	// version. The text is already checked.
	Publish(ctx context.Context, p administration.Publication) (units.Offset, error)

	// Running returns the resources that each team's running work occupies.
	Running(ctx context.Context, env units.EnvironmentName) (environment.Running, error)

	// Submit records a job and returns it. A repeated key of the same team returns
	// the job of the first request. The submission is already checked.
	Submit(ctx context.Context, s administration.Submission) (administration.Job, error)

	// Jobs lists jobs without their tasks, newest first.
	Jobs(ctx context.Context, f administration.JobFilter) ([]administration.Job, error)

	// Job returns a job with its tasks. The error has KindNotFound if there is no
	// such job.
	Job(ctx context.Context, id units.JobID) (administration.Job, error)

	// Cancel records the cancellation of a job and returns the job. It has no
	// effect on a job that has ended or is already cancelled.
	Cancel(ctx context.Context, id units.JobID, reason string) (administration.Job, error)

	// Workers, Entries and Teams list every worker, entry process and team.
	Workers(ctx context.Context) ([]administration.Worker, error)
	Entries(ctx context.Context) ([]administration.Entry, error)
	Teams(ctx context.Context) ([]administration.Team, error)

	// Events returns the newest events of all processes for which accept returns
	// true, at most limit.
	Events(ctx context.Context, accept func(timeline.Event) bool, limit int) ([]timeline.Event, error)
}
