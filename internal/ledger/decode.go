package ledger

import (
	"fmt"
	"strings"
	"time"

	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

// maxRunTime limits declared and reported run times, so that a corrupt value
// cannot overflow a duration.
const maxRunTime = 366 * 24 * time.Hour

// Limits of the resources in an entry, so that sums over all tasks cannot
// overflow.
const (
	maxProcessors   = 1 << 24 // millicores
	maxMemory       = 1 << 44 // bytes
	maxAccelerators = 1 << 10
)

// decodeTaskEntry decodes an entry about one task and validates the fields that
// the ledger stores.
func decodeTaskEntry(offset units.Offset, m *wire.JobsEntry) (*taskEntry, error) {
	e := &taskEntry{offset: offset}
	var ref *wire.TaskRef
	var committed, used *wire.Resources
	var run int64
	switch k := m.GetKind().(type) {
	case *wire.JobsEntry_Assigned:
		a := k.Assigned
		e.kind, ref, committed = kindAssigned, a.GetTask(), a.GetCommitted()
		e.worker, e.epoch, e.borrowed = units.WorkerID(a.GetWorker()), units.Epoch(a.GetEpoch()), a.GetBorrowed()
		if !validText(a.GetWorker()) || a.GetEpoch() == 0 {
			return nil, fmt.Errorf("assigned entry: invalid worker %q or epoch %d", truncate(a.GetWorker()), a.GetEpoch())
		}
	case *wire.JobsEntry_Started:
		e.kind, ref = kindStarted, k.Started.GetTask()
	case *wire.JobsEntry_Released:
		r := k.Released
		e.kind, ref, e.reason, e.checkpoint, e.countsAsFailure = kindReleased, r.GetTask(), truncate(r.GetReason()), r.GetCheckpoint(), r.GetCountsAsFailure()
	case *wire.JobsEntry_Ended:
		d := k.Ended
		e.kind, ref, e.outcome, run, used = kindEnded, d.GetTask(), d.GetOutcome(), d.GetRunMilliseconds(), d.GetUsed()
	case *wire.JobsEntry_Evicted:
		v := k.Evicted
		e.kind, ref, e.reason, e.checkpoint = kindEvicted, v.GetTask(), truncate(v.GetReason()), v.GetCheckpoint()
	case *wire.JobsEntry_Failed:
		f := k.Failed
		e.kind, e.reason = kindFailed, truncate(f.GetReason())
		ref = &wire.TaskRef{Job: f.GetJob(), Index: f.GetIndex(), Attempt: 1}
	default:
		return nil, fmt.Errorf("unknown entry kind")
	}
	if !validText(ref.GetJob()) || ref.GetAttempt() == 0 {
		return nil, fmt.Errorf("%s entry: invalid job %q or attempt %d", kindNames[e.kind], truncate(ref.GetJob()), ref.GetAttempt())
	}
	if len(e.checkpoint) > MaxReasonBytes {
		return nil, fmt.Errorf("%s entry: checkpoint name is too long: %d bytes", kindNames[e.kind], len(e.checkpoint))
	}
	e.task, e.attempt = ref.Task(), units.Attempt(ref.GetAttempt())
	return e, e.decodeResources(committed, used, run)
}

func (e *taskEntry) decodeResources(committed, used *wire.Resources, run int64) error {
	e.committed, e.used = committed.Units(), used.Units()
	if !inRange(e.committed) || !inRange(e.used) {
		return fmt.Errorf("%s entry: resources are out of range", kindNames[e.kind])
	}
	if run < 0 || run > maxRunTime.Milliseconds() {
		return fmt.Errorf("%s entry: run time of %d ms is out of range", kindNames[e.kind], run)
	}
	e.runTime = time.Duration(run) * time.Millisecond
	return nil
}

func inRange(r units.Resources) bool {
	return r.Processors >= 0 && r.Memory >= 0 && r.Accelerators >= 0 &&
		r.Processors <= maxProcessors && r.Memory <= maxMemory && r.Accelerators <= maxAccelerators
}

// checkSubmitted returns an error for the first invalid field of a submission.
func checkSubmitted(m *wire.JobSubmitted) error {
	s := m.GetSpec()
	watcher := s.GetKind() == wire.TaskKind_TASK_KIND_WATCHER
	switch {
	case !validText(m.GetJob()) || !validText(m.GetTeam()):
		return fmt.Errorf("submitted entry: invalid job %q or team %q", truncate(m.GetJob()), truncate(m.GetTeam()))
	case len(m.GetKey()) > MaxTextBytes || len(m.GetName()) > MaxTextBytes || len(s.GetJobKind()) > MaxTextBytes || len(s.GetCheckpoint()) > MaxReasonBytes:
		return fmt.Errorf("submitted entry: key, name, kind or checkpoint of job %q is too long", m.GetJob())
	case m.GetTasks() == 0 || m.GetTasks() > MaxTasksPerJob || (watcher && m.GetTasks() != 1):
		return fmt.Errorf("submitted entry: job %q has an invalid number of tasks: %d", m.GetJob(), m.GetTasks())
	case !watcher && s.GetKind() != wire.TaskKind_TASK_KIND_BATCH:
		return fmt.Errorf("submitted entry: job %q has unknown task kind %d", m.GetJob(), s.GetKind())
	case watcher != strings.HasPrefix(m.GetJob(), WatcherPrefix):
		return fmt.Errorf("submitted entry: job %q: watchers and only watchers have the prefix %q", m.GetJob(), WatcherPrefix)
	case s.GetPriority() < wire.Priority_PRIORITY_LOW || s.GetPriority() > wire.Priority_PRIORITY_URGENT:
		return fmt.Errorf("submitted entry: job %q has unknown priority %d", m.GetJob(), s.GetPriority())
	case !inRange(s.GetSize().Units()) || s.GetSize().Units().IsZero():
		return fmt.Errorf("submitted entry: job %q has size %v, which is zero or out of range", m.GetJob(), s.GetSize().Units())
	case s.GetRunMilliseconds() < 0 || s.GetRunMilliseconds() > maxRunTime.Milliseconds():
		return fmt.Errorf("submitted entry: run time of job %q is out of range: %d ms", m.GetJob(), s.GetRunMilliseconds())
	}
	return nil
}

// newJob returns the job of a valid submission. Its tasks are zero values.
func newJob(m *wire.JobSubmitted) *Job {
	s := m.GetSpec()
	return &Job{
		ID: units.JobID(m.GetJob()), Key: m.GetKey(), Team: units.TeamName(m.GetTeam()), Name: m.GetName(),
		Kind: s.GetKind(), Priority: s.GetPriority().Units(), JobKind: units.JobKind(s.GetJobKind()),
		Size: s.GetSize().Units(), RunTime: time.Duration(s.GetRunMilliseconds()) * time.Millisecond,
		Checkpoint: s.GetCheckpoint(), SubmittedAt: time.UnixMilli(m.GetSubmittedUnixMilliseconds()),
		Tasks: make([]Task, m.GetTasks()),
	}
}

// Submission returns the submission from which the job was created.
func (j *Job) Submission() *wire.JobSubmitted {
	return &wire.JobSubmitted{
		Job: string(j.ID), Key: j.Key, Team: string(j.Team), Name: j.Name,
		Tasks: uint32(max(len(j.Tasks), len(j.Outcomes))), SubmittedUnixMilliseconds: j.SubmittedAt.UnixMilli(),
		Spec: j.spec(j.Size, j.Checkpoint),
	}
}

func (j *Job) spec(size units.Resources, checkpoint string) *wire.TaskSpec {
	return &wire.TaskSpec{
		Kind: j.Kind, Priority: wire.FromPriority(j.Priority), Team: string(j.Team), JobKind: string(j.JobKind),
		Size: wire.FromResources(size), RunMilliseconds: j.RunTime.Milliseconds(), Checkpoint: checkpoint,
	}
}

// LaunchSpec returns the specification with which the agent starts the current
// attempt of a task. A borrowed attempt runs at the lowest priority, so that the
// agent evicts it before tasks within their team's quota.
func (j *Job) LaunchSpec(index uint32) *wire.TaskSpec {
	t := &j.Tasks[index]
	s := j.spec(t.Committed, t.Checkpoint)
	if t.Borrowed {
		s.Priority = wire.Priority_PRIORITY_LOW
	}
	return s
}
