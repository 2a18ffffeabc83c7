package scheduler

import (
	"cmp"
	"slices"

	"wasabihill.example/wasabihill/internal/workflow"
)

// A gang works only while all of its members run, and a member that waits too
// long for the others ends alone. So all members start together, under one
// attempt number and one checkpoint, and when one does not start or ends
// without being done, the others are stopped at once.

// placeGang places all members or none.
func (s *Scheduler) placeGang(st *step, pool []*worker, now Timestamp) {
	if st.unplaced < len(st.tasks) {
		return // members of the last run have not ended yet
	}
	if st.SameRack {
		for _, rack := range groupByRack(pool) {
			if s.placeMembers(st, rack, now) {
				return
			}
		}
	}
	s.placeMembers(st, pool, now)
}

// placeMembers reports whether every member found a worker.
func (s *Scheduler) placeMembers(st *step, pool []*worker, now Timestamp) bool {
	attempt, checkpoint := st.nextGangAttempt()
	for i, t := range st.tasks {
		w := s.bestWorker(st, pool, nil)
		if w == nil {
			for _, placed := range st.tasks[:i] {
				s.stopTask(placed, now) // not sent yet
			}
			return false
		}
		t.checkpoint = checkpoint
		s.startTask(t, w, attempt)
	}
	return true
}

// nextGangRun returns the attempt and the checkpoint that all members carry.
// A checkpoint of any member is one of the gang.
func (st *step) nextGangAttempt() (attempt workflow.Attempt, checkpoint string) {
	var newest workflow.Attempt
	for _, t := range st.tasks {
		attempt = max(attempt, t.nextAttempt())
		if t.checkpoint != "" && t.attempt >= newest {
			newest, checkpoint = t.attempt, t.checkpoint
		}
	}
	return attempt, checkpoint
}

// breakGang stops the other members of a gang of which one does not run.
func (s *Scheduler) stopGang(t *task, now Timestamp) {
	if !t.step.Gang || t.done {
		return
	}
	for _, m := range t.step.tasks {
		if m != t && m.worker != nil && m.stopOrderedAt == 0 {
			s.stopTask(m, now)
		}
	}
}

// racks parts the pool by rack, the largest free room first.
func groupByRack(pool []*worker) [][]*worker {
	byRack := make(map[string][]*worker)
	for _, w := range pool {
		byRack[w.rack] = append(byRack[w.rack], w)
	}
	parts := make([][]*worker, 0, len(byRack))
	for _, part := range byRack {
		parts = append(parts, part)
	}
	free := func(part []*worker) (sum int64) {
		for _, w := range part {
			sum += int64(w.capacity.Processors - w.used.Processors)
		}
		return sum
	}
	slices.SortFunc(parts, func(a, b []*worker) int {
		return cmp.Or(cmp.Compare(free(b), free(a)), cmp.Compare(a[0].rack, b[0].rack))
	})
	return parts
}
