package ledger

import (
	"cmp"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"
	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

// Snapshot returns the encoded state. Ledgers that applied the same entries encode
// to equal bytes.
func (l *Ledger) Snapshot() ([]byte, error) {
	s := &wire.LedgerState{NextSequence: l.nextSequence, NextEnded: l.nextEndSequence}
	jobs := slices.SortedFunc(maps.Values(l.jobs), func(a, b *Job) int { return cmp.Compare(a.Sequence, b.Sequence) })
	for _, j := range jobs {
		s.Jobs = append(s.Jobs, encodeJob(j))
	}
	for _, name := range slices.Sorted(maps.Keys(l.usageByKind)) {
		k := l.usageByKind[name]
		s.Kinds = append(s.Kinds, &wire.LearnedKind{JobKind: string(name), Updated: uint64(k.UpdatedOffset),
			Processors: k.Processors.encode(), Memory: k.Memory.encode(), RunTime: k.RunTime.encode()})
	}
	for _, w := range slices.Sorted(maps.Keys(l.failureStreaks)) {
		f := l.failureStreaks[w]
		s.Failing = append(s.Failing, &wire.WorkerFailures{Worker: string(w), Consecutive: f.consecutive,
			LastJob: string(f.lastJob), Updated: uint64(f.updated)})
	}
	for _, r := range slices.Sorted(maps.Keys(l.rejections)) {
		s.Rejections = append(s.Rejections, &wire.Rejections{Reason: string(r), Count: l.rejections[r]})
	}
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(s)
	if err != nil {
		return nil, fault.Wrap("snapshot", BadSnapshot, err)
	}
	return b, nil
}

func encodeJob(j *Job) *wire.LedgerJob {
	m := &wire.LedgerJob{Submitted: j.Submission(), Cancelled: j.Cancelled, Failed: j.Failed, CancelReason: j.Reason,
		Sequence: j.Sequence, SubmittedOffset: uint64(j.SubmitOffset), Ended: j.EndSequence, EndedOffset: uint64(j.EndOffset)}
	for i := range j.Tasks {
		m.Tasks = append(m.Tasks, encodeTask(&j.Tasks[i]))
	}
	for _, o := range j.Outcomes {
		m.OutcomeStates = append(m.OutcomeStates, uint32(o.State))
		m.OutcomeAttempts = append(m.OutcomeAttempts, uint32(o.Attempt))
	}
	return m
}

func encodeTask(t *Task) *wire.LedgerTask {
	m := &wire.LedgerTask{Attempt: uint32(t.Attempt), State: uint32(t.State), Worker: string(t.Worker), Epoch: uint64(t.Epoch),
		Failures: t.Failures, Checkpoint: t.Checkpoint, Reason: t.Reason, Since: uint64(t.StateOffset), Borrowed: t.Borrowed}
	if !t.Committed.IsZero() {
		m.Committed = wire.FromResources(t.Committed)
	}
	for _, w := range t.FailedWorkers {
		m.FailedWorkers = append(m.FailedWorkers, string(w))
	}
	return m
}

// Restore replaces the state with a snapshot. On an error the state is unchanged.
func (l *Ledger) Restore(state []byte) error {
	var s wire.LedgerState
	if err := proto.Unmarshal(state, &s); err != nil {
		return fault.Wrap("restore", BadSnapshot, err)
	}
	n := New()
	n.Observe = l.Observe
	if err := n.restoreJobs(s.GetJobs()); err != nil {
		return err
	}
	n.nextSequence, n.nextEndSequence = max(1, s.GetNextSequence()), max(1, s.GetNextEnded())
	for _, m := range s.GetKinds() {
		k := &KindUsage{UpdatedOffset: units.Offset(m.GetUpdated())}
		k.Processors.decode(m.GetProcessors())
		k.Memory.decode(m.GetMemory())
		k.RunTime.decode(m.GetRunTime())
		n.usageByKind[units.JobKind(m.GetJobKind())] = k
	}
	for _, f := range s.GetFailing() {
		n.failureStreaks[units.WorkerID(f.GetWorker())] = &failureStreak{f.GetConsecutive(), units.JobID(f.GetLastJob()), units.Offset(f.GetUpdated())}
	}
	for _, r := range s.GetRejections() {
		n.rejections[Reason(r.GetReason())] = r.GetCount()
	}
	*l = *n
	return nil
}

func (l *Ledger) restoreJobs(jobs []*wire.LedgerJob) error {
	interned := map[string]string{} // team, kind and worker names, one copy each
	for _, m := range jobs {
		if err := checkSubmitted(m.GetSubmitted()); err != nil {
			return fault.Wrap("restore", BadSnapshot, err)
		}
		j, err := decodeJob(m, interned)
		if err != nil {
			return err
		}
		l.addJob(j)
		if j.EndSequence != 0 {
			l.endedJobs = append(l.endedJobs, j)
			l.endedTasks += len(j.Outcomes)
		}
	}
	slices.SortFunc(l.endedJobs, func(a, b *Job) int { return cmp.Compare(a.EndSequence, b.EndSequence) })
	return nil
}

func decodeJob(m *wire.LedgerJob, interned map[string]string) (*Job, error) {
	n := m.GetSubmitted().GetTasks()
	ended := m.GetEnded() != 0
	if ended && (uint32(len(m.GetOutcomeStates())) != n || uint32(len(m.GetOutcomeAttempts())) != n) || !ended && uint32(len(m.GetTasks())) != n {
		return nil, fault.New("restore", BadSnapshot, "job %q: number of encoded tasks or outcomes does not match its %d tasks", m.GetSubmitted().GetJob(), n)
	}
	j := newJob(m.GetSubmitted())
	j.Team, j.JobKind = units.TeamName(intern(interned, string(j.Team))), units.JobKind(intern(interned, string(j.JobKind)))
	j.Cancelled, j.Failed, j.Reason = m.GetCancelled(), m.GetFailed(), m.GetCancelReason()
	j.Sequence, j.SubmitOffset = m.GetSequence(), units.Offset(m.GetSubmittedOffset())
	j.EndSequence, j.EndOffset = m.GetEnded(), units.Offset(m.GetEndedOffset())
	if ended {
		j.Tasks, j.Outcomes = nil, make([]Outcome, n)
		for i := range j.Outcomes {
			j.Outcomes[i] = Outcome{State(m.GetOutcomeStates()[i]), units.Attempt(m.GetOutcomeAttempts()[i])}
		}
		return j, nil
	}
	for i, t := range m.GetTasks() {
		if s := State(t.GetState()); t.GetState() >= uint32(stateCount) || s < Pending {
			return nil, fault.New("restore", BadSnapshot, "task %s/%d has unknown state %d", j.ID, i, t.GetState())
		}
		j.Tasks[i] = decodeTask(t, interned)
	}
	return j, nil
}

func decodeTask(m *wire.LedgerTask, interned map[string]string) Task {
	t := Task{Attempt: units.Attempt(m.GetAttempt()), State: State(m.GetState()), Worker: units.WorkerID(intern(interned, m.GetWorker())),
		Epoch: units.Epoch(m.GetEpoch()), Failures: m.GetFailures(), Checkpoint: m.GetCheckpoint(), Reason: m.GetReason(),
		StateOffset: units.Offset(m.GetSince()), Committed: m.GetCommitted().Units(), Borrowed: m.GetBorrowed()}
	for _, w := range m.GetFailedWorkers() {
		t.FailedWorkers = append(t.FailedWorkers, units.WorkerID(intern(interned, w)))
	}
	return t
}

func intern(interned map[string]string, s string) string {
	if old, ok := interned[s]; ok {
		return old
	}
	interned[s] = s
	return s
}

func (h *Histogram) encode() *wire.Histogram {
	m := &wire.Histogram{Samples: h.Samples}
	for _, w := range h.buckets {
		m.Buckets, m.Weights = append(m.Buckets, w.bucket), append(m.Weights, w.weight)
	}
	return m
}

// decode restores an encoded histogram and skips corrupt buckets.
func (h *Histogram) decode(m *wire.Histogram) {
	h.Samples = m.GetSamples()
	last := -1
	for i, b := range m.GetBuckets() {
		if i >= len(m.GetWeights()) || int(b) <= last || b > bucketOf(1<<63) || m.GetWeights()[i] > halvingWeight {
			continue
		}
		last = int(b)
		h.buckets = append(h.buckets, bucketWeight{b, m.GetWeights()[i]})
		h.totalWeight += m.GetWeights()[i]
	}
}
