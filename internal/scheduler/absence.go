package scheduler

import (
	"time"

	"wasabihill.example/wasabihill/pkg/units"
)

// minAbsence is the time without a granted lease after which a worker is absent. A lost
// session is replaced sooner. A stray lease that is recorded does not defer it.
const minAbsence = 1500 * time.Millisecond

// Absence describes a worker whose runs cannot be seen: there is no session with its
// agent, or its agent has no runner.
type Absence struct {
	Worker    units.WorkerID
	LeaseLeft time.Duration // its runs end within this time unless it returns; 0 if they have ended
}

// Absences returns the workers that have been absent for minAbsence, in no order.
func (s *Scheduler) Absences(now Timestamp) []Absence {
	var list []Absence
	for id, w := range s.workers {
		grantEnd := w.latestLeaseEnd
		if stray := s.strayLeases[id]; stray != nil && !stray.end.Before(w.latestLeaseEnd) {
			grantEnd = w.grantEnd
		}
		if w.attached && (w.synced || w.unresponsive) || grantEnd.Sub(now.Boot) > s.MaxLeaseDuration-minAbsence {
			continue
		}
		list = append(list, Absence{id, max(0, w.latestLeaseEnd.Sub(now.Boot))})
	}
	return list
}
