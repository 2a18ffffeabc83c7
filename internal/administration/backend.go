// Package administration serves the API through which teams and operators use
// an entry process: documents, failure domains, workers, jobs and the time
// line. It authenticates, limits and checks requests; the entry process
// decides on them behind the interface Backend.
package administration

import (
	"context"

	"wasabihill.example/wasabihill/internal/timeline"
	"wasabihill.example/wasabihill/pkg/administration"
	"wasabihill.example/wasabihill/pkg/environment"
	"wasabihill.example/wasabihill/pkg/units"
)

// Backend is the entry process behind the API. Its methods are called
// concurrently and return *administration.Error for every failure that the
// caller can act on; other errors are reported as internal.
//
// A mutation that needs the log while it cannot be reached returns
// administration.Unavailable with OutcomeNotRun if nothing was sent and with
// OutcomeUnknown if a record may have been appended.
type Backend interface {
	// Ready returns nil once the process follows the log and may serve.
	Ready(ctx context.Context) error

	// Document returns a version of an environment's document; version 0 is the
	// current one. KindNotFound if there is none.
	Document(ctx context.Context, env units.EnvironmentName, version units.Offset) (administration.Document, error)

	// History returns the newest limit versions without text, newest first.
	History(ctx context.Context, env units.EnvironmentName, limit int) ([]administration.Document, error)

	// Publish appends a version and returns it after a read-back confirmed that
	// it won. A key that has already won returns that version and publishes
	// nothing. A key that lost may be used again with another base. LostRace if
	// the base is no longer current. The text is already checked.
	Publish(ctx context.Context, p administration.Publication) (units.Offset, error)

	// Running returns what each team's running work is committed to.
	Running(ctx context.Context, env units.EnvironmentName) (environment.Running, error)

	// Submit records a job and returns it. A repeated key of the same team
	// returns the job of the first request. The submission is already checked.
	Submit(ctx context.Context, s administration.Submission) (administration.Job, error)

	// Jobs lists jobs without their tasks, newest first.
	Jobs(ctx context.Context, f administration.JobFilter) ([]administration.Job, error)

	// Job returns a job with its tasks. KindNotFound if there is none.
	Job(ctx context.Context, id units.JobID) (administration.Job, error)

	// Cancel records the cancellation of a job and returns the job. It has no
	// effect on a job that has ended or is already cancelled.
	Cancel(ctx context.Context, id units.JobID, reason string) (administration.Job, error)

	Workers(ctx context.Context) ([]administration.Worker, error)
	Entries(ctx context.Context) ([]administration.Entry, error)
	Teams(ctx context.Context) ([]administration.Team, error)

	// Events returns merged events that accept selects, at most the newest limit.
	Events(ctx context.Context, accept func(timeline.Event) bool, limit int) ([]timeline.Event, error)
}
