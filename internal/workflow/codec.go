package workflow

import (
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

// ToWire converts a job and the policy of its queue to their message form, which is
// also the form of the stored record.
func ToWire(j *Job, p Policy) *wire.JobRecord {
	record := &wire.JobRecord{
		Id: string(j.ID), Queue: string(j.Queue), Spec: j.Spec, Repetitions: int32(j.Repetitions),
		FirstUnixMs: unixMillis(j.FirstDue), IntervalMs: j.Interval.Milliseconds(),
		SubmittedUnixMs: unixMillis(j.Submitted), Policy: policyToWire(p),
	}
	for i := range j.Steps {
		record.Steps = append(record.Steps, j.Steps[i].toWire())
	}
	return record
}

// FromWire is the inverse of ToWire.
func FromWire(record *wire.JobRecord) (*Job, Policy) {
	j := &Job{
		ID: JobID(record.GetId()), Queue: QueueName(record.GetQueue()), Spec: record.GetSpec(),
		Repetitions: int(record.GetRepetitions()),
		Interval:    millis(record.GetIntervalMs()), Submitted: fromUnixMillis(record.GetSubmittedUnixMs()),
		Steps: make([]Step, len(record.GetSteps())),
	}
	if j.Repetitions != 0 { // 0 is then the time at the beginning of 1970
		j.FirstDue = time.UnixMilli(record.GetFirstUnixMs())
	}
	for i, s := range record.GetSteps() {
		j.Steps[i] = stepFromWire(s)
	}
	return j, policyFromWire(record.GetPolicy())
}

// Encode returns the encoded record of an accepted job.
func Encode(j *Job, p Policy) ([]byte, error) { return proto.Marshal(ToWire(j, p)) }

// Decode decodes a record written by Encode. It returns an error for a job that Validate
// rejects.
func Decode(data []byte) (*Job, Policy, error) {
	record := &wire.JobRecord{}
	if err := proto.Unmarshal(data, record); err != nil {
		return nil, Policy{}, err
	}
	j, p := FromWire(record)
	return j, p, j.Validate()
}

func (s *Step) toWire() *wire.WorkflowStep {
	w := &wire.WorkflowStep{
		Count: int32(s.Count), Millicores: int64(s.Size.Processors), MemoryBytes: int64(s.Size.Memory),
		Accelerators: s.Size.Accelerators, EstimateMs: s.Estimate.Milliseconds(),
		Checkpointing: s.Checkpointing, Gang: s.Gang, SameRack: s.SameRack, Requirement: s.RequiredLabel,
		DataRack: s.DataRack, AntiAffinity: int32(s.AntiAffinity), Speculative: s.Speculative,
		LongRunning: s.LongRunning, Fills: s.BestEffort, Image: s.Image,
		LatencyTargetMs: s.LatencyTarget.Milliseconds(), MayMiss: int32(s.MaxUnavailable),
	}
	for _, dependency := range s.After {
		w.After = append(w.After, int32(dependency))
	}
	return w
}

func stepFromWire(w *wire.WorkflowStep) Step {
	s := Step{
		Count: int(w.GetCount()),
		Size: units.Resources{Processors: units.Millicores(w.GetMillicores()), Memory: units.Bytes(w.GetMemoryBytes()),
			Accelerators: w.GetAccelerators()},
		Estimate: millis(w.GetEstimateMs()), Checkpointing: w.GetCheckpointing(), Gang: w.GetGang(),
		SameRack: w.GetSameRack(), RequiredLabel: w.GetRequirement(), DataRack: w.GetDataRack(),
		AntiAffinity: int(w.GetAntiAffinity()), Speculative: w.GetSpeculative(), LongRunning: w.GetLongRunning(),
		BestEffort: w.GetFills(), Image: w.GetImage(), LatencyTarget: millis(w.GetLatencyTargetMs()),
		MaxUnavailable: int(w.GetMayMiss()),
	}
	for _, dependency := range w.GetAfter() {
		s.After = append(s.After, int(dependency))
	}
	return s
}

func policyToWire(p Policy) *wire.QueuePolicy {
	w := &wire.QueuePolicy{
		Service: string(p.Service), Priority: int32(p.Priority), MaxAttempts: int32(p.MaxAttempts),
		Stretch: p.Stretch, TargetLatencyMs: p.LatencyAllowance.Milliseconds(),
	}
	if p.Advice != nil {
		w.Advised = true
		w.AdviceDecideMs = p.Advice.CallTime.Milliseconds()
		w.AdviceEachMs = p.Advice.TimePerWorker.Milliseconds()
		w.AdviceValidMs = p.Advice.TicketValidity.Milliseconds()
	}
	return w
}

func policyFromWire(w *wire.QueuePolicy) Policy {
	p := Policy{
		Service: units.ServiceName(w.GetService()), Priority: int(w.GetPriority()), MaxAttempts: int(w.GetMaxAttempts()),
		Stretch: w.GetStretch(), LatencyAllowance: millis(w.GetTargetLatencyMs()),
	}
	if w.GetAdvised() {
		p.Advice = &Advice{CallTime: millis(w.GetAdviceDecideMs()), TimePerWorker: millis(w.GetAdviceEachMs()), TicketValidity: millis(w.GetAdviceValidMs())}
	}
	return p
}

// millis returns a duration of n milliseconds, or the longest one if n is out of range.
func millis(n int64) time.Duration {
	const limit = math.MaxInt64 / int64(time.Millisecond)
	return time.Duration(min(max(n, -limit), limit)) * time.Millisecond
}

func unixMillis(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

func fromUnixMillis(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.UnixMilli(n)
}
