package scheduler

import (
	"cmp"
	"slices"

	"wasabihill.example/wasabihill/internal/workflow"
)

// A gang makes progress only while all of its members run, and a member that waits
// too long for the others ends with workflow.GangIncomplete. So all members start
// together with the same attempt number and checkpoint. If one of them does not start
// or ends without being done, the others are stopped at once.

// placeGang places all tasks of a gang step or none.
func (s *Scheduler) placeGang(st *step, pool []*worker, now Timestamp) {
	if st.unplaced < len(st.tasks) {
		return // members of the previous run have not ended yet
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

// placeMembers places all members on workers of the pool. It reports false and places
// none of them if one does not fit.
func (s *Scheduler) placeMembers(st *step, pool []*worker, now Timestamp) bool {
	attempt, checkpoint := s.nextGangAttempt(st)
	for i, t := range st.tasks {
		w := s.bestWorker(st, pool, nil)
		if w == nil {
			for _, placed := range st.tasks[:i] {
				s.stopTask(placed, now) // releases it, as its start was not sent yet
			}
			return false
		}
		t.checkpoint = checkpoint
		s.startTask(t, w, attempt, now)
	}
	return true
}

// nextGangAttempt returns the attempt number and the checkpoint for all members of the
// next run. The checkpoint of any member is valid for the whole gang.
func (s *Scheduler) nextGangAttempt(st *step) (attempt workflow.Attempt, checkpoint string) {
	var newest workflow.Attempt
	for _, t := range st.tasks {
		attempt = max(attempt, s.nextAttempt(t))
		if t.checkpoint != "" && t.attempt >= newest {
			newest, checkpoint = t.attempt, t.checkpoint
		}
	}
	return attempt, checkpoint
}

// stopGang stops the other members of the gang of t, which no longer runs.
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

// groupByRack groups the pool by rack, the rack with the most free processors first.
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
