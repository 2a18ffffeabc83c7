package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"time"

	api "wasabihill.example/wasabihill/internal/administration"
	"wasabihill.example/wasabihill/internal/configuration"
	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/ledger"
	"wasabihill.example/wasabihill/internal/stream"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/administration"
	"wasabihill.example/wasabihill/pkg/environment"
	"wasabihill.example/wasabihill/pkg/units"
)

// backend implements the administration API from the replayed streams.
type backend struct{ *Entry }

func (e *Entry) administrationConfig() api.Config {
	limits := e.Settings.Limits
	return api.Config{
		Backend: backend{e}, Environment: e.Settings.Environment,
		OperatorToken: e.Settings.OperatorToken, TeamTokens: e.Settings.TeamTokens,
		Requests: limits.AdminRequests, Body: limits.AdminBody, HeaderBytes: limits.HeaderBytes, Timeout: limits.AdminTimeout,
		Scope: e.MetricsScope, MetricsHandler: e.MetricsHandler,
	}
}

// Ready implements administration.Backend. A process that has a document stays
// ready during an outage of the log, because requests do not depend on the log.
func (b backend) Ready(context.Context) error {
	if b.draining.Load() {
		return errors.New("stopping")
	}
	if b.currentVersion.Load() == nil {
		return errors.New("no document is in force yet")
	}
	return nil
}

// Document implements administration.Backend.
func (b backend) Document(_ context.Context, env units.EnvironmentName, version units.Offset) (administration.Document, error) {
	var found *configuration.Version
	b.config.View(func(s *configuration.State) {
		if version == 0 {
			if v, ok := s.Current(env); ok {
				found = &v
			}
			return
		}
		for _, v := range s.History(env) {
			if v.Offset == version && v.Document != nil {
				found = &v
			}
		}
	})
	if v := b.currentVersion.Load(); v != nil && env == b.Settings.Environment {
		// Version 0 means the newest, which an agent may have forwarded.
		if newer := found == nil || found.Offset < v.offset; newer && (version == 0 || version == v.offset) {
			found = &configuration.Version{Environment: env, Offset: v.offset, Author: v.author, Document: v.raw}
		}
	}
	if found == nil && b.config.Staleness(time.Now()) > maxLogStaleness {
		return administration.Document{}, errLogNotRead()
	}
	if found == nil {
		return administration.Document{}, administration.Errorf(administration.KindNotFound, "environment %q has no such document", env)
	}
	d := describeVersion(*found)
	d.Text = string(found.Document)
	return d, nil
}

// errLogNotRead is the error for a document or job that this process does not have
// while it has not read the log to its tail. Another process may have it.
func errLogNotRead() error {
	return administration.Unavailable(administration.OutcomeNotRun, errors.New("the log has not been read to its tail"))
}

func describeVersion(v configuration.Version) administration.Document {
	return administration.Document{Environment: v.Environment, Version: v.Offset, Author: v.Author}
}

// History implements administration.Backend.
func (b backend) History(_ context.Context, env units.EnvironmentName, limit int) ([]administration.Document, error) {
	var list []administration.Document
	b.config.View(func(s *configuration.State) {
		for _, v := range slices.Backward(s.History(env)) {
			if len(list) < limit {
				list = append(list, describeVersion(v))
			}
		}
	})
	return list, nil
}

// Publish implements administration.Backend.
func (b backend) Publish(ctx context.Context, p administration.Publication) (units.Offset, error) {
	v, err := b.publisher.Publish(ctx, p.Environment, p.Base, p.Author, p.Key, p.Text)
	switch {
	case err == nil:
		b.event("config", "accepted", string(p.Environment), fmt.Sprintf("version %d by %s", v.Offset, p.Author), "")
		return v.Offset, nil
	case fault.Is(err, configuration.Conflict):
		return 0, administration.LostRace(v.Offset)
	case fault.Is(err, configuration.Invalid):
		return 0, administration.Errorf(administration.KindInvalid, "%v", err)
	case fault.Is(err, configuration.Unavailable):
		return 0, administration.Unavailable(administration.OutcomeNotRun, err)
	}
	return 0, administration.Unavailable(administration.OutcomeUnknown, err)
}

// Running implements administration.Backend.
func (b backend) Running(_ context.Context, env units.EnvironmentName) (environment.Running, error) {
	running := make(environment.Running)
	if env != b.Settings.Environment {
		return running, nil
	}
	b.jobs.View(func(l *ledger.Ledger) {
		for _, name := range l.Teams() {
			running[name] = teamUsage(l, name)
		}
	})
	return running, nil
}

// teamUsage returns the resources committed to the team's open attempts of all
// priorities.
func teamUsage(l *ledger.Ledger, name units.TeamName) (sum units.Resources) {
	for _, used := range l.TeamUsage(name) {
		sum = sum.Add(used)
	}
	return sum
}

// jobID derives the job ID from the team and the idempotency key, so that a
// repeated submission refers to the same job.
func jobID(team units.TeamName, key string) units.JobID {
	sum := sha256.Sum256([]byte(string(team) + "\x00" + key))
	return units.JobID("job-" + hex.EncodeToString(sum[:10]))
}

// Submit implements administration.Backend.
func (b backend) Submit(ctx context.Context, s administration.Submission) (administration.Job, error) {
	id := jobID(s.Team, s.Key)
	if job, err := b.Job(ctx, id); err == nil {
		return job, nil
	}
	entry := ledger.EncodeSubmitted(&wire.JobSubmitted{
		Job: string(id), Key: s.Key, Team: string(s.Team), Name: s.Name, Tasks: uint32(s.Tasks),
		SubmittedUnixMilliseconds: time.Now().UnixMilli(),
		Spec: &wire.TaskSpec{
			Kind: wire.TaskKind_TASK_KIND_BATCH, Priority: wire.FromPriority(s.Priority), Team: string(s.Team),
			JobKind: string(s.Kind), Size: wire.FromResources(s.Size), RunMilliseconds: s.RunTime.Milliseconds(),
		},
	})
	if err := b.appendToJobs(ctx, entry); err != nil {
		return administration.Job{}, err
	}
	b.event("job", "submitted", string(id), fmt.Sprintf("%d tasks for %s", s.Tasks, s.Team), "")
	return b.Job(ctx, id)
}

// appendToJobs appends an entry to the jobs stream and waits until it has been
// applied to the ledger.
func (b backend) appendToJobs(ctx context.Context, entry []byte) error {
	offset, err := b.writers.jobs.Append(ctx, entry)
	if err == nil {
		err = b.jobs.Wait(ctx, offset)
	}
	if err == nil {
		return nil
	}
	if stream.NotWritten(err) {
		return administration.Unavailable(administration.OutcomeNotRun, err)
	}
	return administration.Unavailable(administration.OutcomeUnknown, err)
}

// Cancel implements administration.Backend.
func (b backend) Cancel(ctx context.Context, id units.JobID, reason string) (administration.Job, error) {
	job, err := b.Job(ctx, id)
	if err != nil {
		return job, err
	}
	if job.State == "pending" || job.State == "running" {
		if err := b.appendToJobs(ctx, ledger.EncodeCancelled(id, reason)); err != nil {
			return administration.Job{}, err
		}
		b.event("job", "cancelled", string(id), reason, "")
	}
	return b.Job(ctx, id)
}
