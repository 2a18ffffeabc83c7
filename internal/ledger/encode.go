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
		// Marshal fails only on text that is not UTF-8; such an entry must not
		// reach the log, and an empty one is rejected by the fold.
		return nil
	}
	return b
}

// EncodeSubmitted encodes the submission of a job.
func EncodeSubmitted(m *wire.JobSubmitted) []byte {
	return encode(&wire.JobsEntry{Kind: &wire.JobsEntry_Submitted{Submitted: m}})
}

// EncodeAssigned encodes that attempt a, the next of the task, goes to the holder.
func EncodeAssigned(t units.Task, a units.Attempt, h WorkerEpoch, committed units.Resources, borrowed bool) []byte {
	return encode(&wire.JobsEntry{Kind: &wire.JobsEntry_Assigned{Assigned: &wire.TaskAssigned{
		Task: wire.NewTaskRef(t, a), Worker: string(h.Worker), Epoch: uint64(h.Epoch),
		Committed: wire.FromResources(committed), Borrowed: borrowed}}})
}

// EncodeStarted encodes that the worker runs the attempt.
func EncodeStarted(t units.Task, a units.Attempt) []byte {
	return encode(&wire.JobsEntry{Kind: &wire.JobsEntry_Started{Started: &wire.TaskStarted{Task: wire.NewTaskRef(t, a)}}})
}

// Release is why an attempt is given up and the task waits again.
type Release struct {
	Reason          string
	CountsAsFailure bool   // counts against the task and the worker
	Checkpoint      string // last one known, empty to keep the earlier one
}

// EncodeReleased encodes that the attempt was refused, failed or lost its lease.
func EncodeReleased(t units.Task, a units.Attempt, r Release) []byte {
	return encode(&wire.JobsEntry{Kind: &wire.JobsEntry_Released{Released: &wire.TaskReleased{
		Task: wire.NewTaskRef(t, a), Reason: r.Reason, CountsAsFailure: r.CountsAsFailure, Checkpoint: r.Checkpoint}}})
}

// EncodeEnded encodes that the attempt ended; outcome is COMPLETED or STOPPED. used
// is the peak usage seen, zero when none was.
func EncodeEnded(t units.Task, a units.Attempt, outcome wire.Outcome, ran time.Duration, used units.Resources) []byte {
	return encode(&wire.JobsEntry{Kind: &wire.JobsEntry_Ended{Ended: &wire.TaskEnded{
		Task: wire.NewTaskRef(t, a), Outcome: outcome, RunMilliseconds: ran.Milliseconds(), Used: wire.FromResources(used)}}})
}

// EncodeEvicted encodes that the agent stopped the attempt to make room.
func EncodeEvicted(t units.Task, a units.Attempt, checkpoint, reason string) []byte {
	return encode(&wire.JobsEntry{Kind: &wire.JobsEntry_Evicted{Evicted: &wire.TaskEvicted{
		Task: wire.NewTaskRef(t, a), Checkpoint: checkpoint, Reason: reason}}})
}

// EncodeCancelled encodes that the job must not start anything and stops.
func EncodeCancelled(job units.JobID, reason string) []byte {
	return encode(&wire.JobsEntry{Kind: &wire.JobsEntry_Cancelled{Cancelled: &wire.JobCancelled{Job: string(job), Reason: reason}}})
}

// EncodeFailed encodes that a waiting task is given up for good.
func EncodeFailed(t units.Task, reason string) []byte {
	return encode(&wire.JobsEntry{Kind: &wire.JobsEntry_Failed{Failed: &wire.TaskFailed{
		Job: string(t.Job), Index: t.Index, Reason: reason}}})
}
