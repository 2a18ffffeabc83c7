package ledger

import (
	"time"

	"google.golang.org/protobuf/proto"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

func encode(m *wire.JobsEntry) []byte {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		// Marshal fails only for text that is not valid UTF-8. Such an entry must
		// not be appended; the ledger rejects an empty entry as malformed.
		return nil
	}
	return b
}

// EncodeSubmitted returns the entry for the submission of a job.
func EncodeSubmitted(m *wire.JobSubmitted) []byte {
	return encode(&wire.JobsEntry{Kind: &wire.JobsEntry_Submitted{Submitted: m}})
}

// EncodeAssigned returns the entry that assigns attempt a, which must be the next
// one of the task, to the worker epoch.
func EncodeAssigned(t units.Task, a units.Attempt, w WorkerEpoch, committed units.Resources, borrowed bool) []byte {
	return encode(&wire.JobsEntry{Kind: &wire.JobsEntry_Assigned{Assigned: &wire.TaskAssigned{
		Task: wire.NewTaskRef(t, a), Worker: string(w.Worker), Epoch: uint64(w.Epoch),
		Committed: wire.FromResources(committed), Borrowed: borrowed}}})
}

// EncodeStarted returns the entry for an attempt that the worker has started.
func EncodeStarted(t units.Task, a units.Attempt) []byte {
	return encode(&wire.JobsEntry{Kind: &wire.JobsEntry_Started{Started: &wire.TaskStarted{Task: wire.NewTaskRef(t, a)}}})
}

// Release describes the end of an attempt after which the task waits again.
type Release struct {
	Reason          string
	CountsAsFailure bool   // counts against the task and the worker
	Checkpoint      string // newest checkpoint, empty to keep the previous one
}

// EncodeReleased returns the entry for an attempt that was rejected, failed or
// lost its lease.
func EncodeReleased(t units.Task, a units.Attempt, r Release) []byte {
	return encode(&wire.JobsEntry{Kind: &wire.JobsEntry_Released{Released: &wire.TaskReleased{
		Task: wire.NewTaskRef(t, a), Reason: r.Reason, CountsAsFailure: r.CountsAsFailure, Checkpoint: r.Checkpoint}}})
}

// EncodeEnded returns the entry for an attempt that ended. The outcome is COMPLETED
// or STOPPED; used is the peak usage, or zero if it was not measured.
func EncodeEnded(t units.Task, a units.Attempt, outcome wire.Outcome, ran time.Duration, used units.Resources) []byte {
	return encode(&wire.JobsEntry{Kind: &wire.JobsEntry_Ended{Ended: &wire.TaskEnded{
		Task: wire.NewTaskRef(t, a), Outcome: outcome, RunMilliseconds: ran.Milliseconds(), Used: wire.FromResources(used)}}})
}

// EncodeEvicted returns the entry for an attempt that the agent stopped to free
// resources.
func EncodeEvicted(t units.Task, a units.Attempt, checkpoint, reason string) []byte {
	return encode(&wire.JobsEntry{Kind: &wire.JobsEntry_Evicted{Evicted: &wire.TaskEvicted{
		Task: wire.NewTaskRef(t, a), Checkpoint: checkpoint, Reason: reason}}})
}

// EncodeCancelled returns the entry that cancels a job: waiting tasks do not start
// and running ones are stopped.
func EncodeCancelled(job units.JobID, reason string) []byte {
	return encode(&wire.JobsEntry{Kind: &wire.JobsEntry_Cancelled{Cancelled: &wire.JobCancelled{Job: string(job), Reason: reason}}})
}

// EncodeFailed returns the entry for the permanent failure of a waiting task.
func EncodeFailed(t units.Task, reason string) []byte {
	return encode(&wire.JobsEntry{Kind: &wire.JobsEntry_Failed{Failed: &wire.TaskFailed{
		Job: string(t.Job), Index: t.Index, Reason: reason}}})
}
