package node

import (
	"encoding/json"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/durable"
	"wasabihill.example/wasabihill/internal/leadership"
	"wasabihill.example/wasabihill/internal/scheduler"
	"wasabihill.example/wasabihill/pkg/units"
)

// A new leader starts no recovered task while an agent without a session may continue runs
// that earlier leaders have ordered. An agent that is gone for good would delay every new
// leader by a whole lease, and leaders that follow each other faster than that would start
// nothing at all. So a leader records which agents are absent and when their leases end,
// and its successor waits only for what is left of them. The leader grants no lease to a
// recorded agent before the record is deleted.

const (
	// absencePrefix begins the key of an absence in the jobs' topic. The rest is the
	// worker's ID.
	absencePrefix = "absent/"
	// absenceResolution is how much less of a lease must be left before an absence is
	// recorded again.
	absenceResolution = time.Second
	// settleTime is how long agents have to attach to a new leader before their absence is
	// recorded, unless the previous leader has recorded it.
	settleTime = 1500 * time.Millisecond
	// returnTime is how long an agent whose record has been deleted has for its next
	// report before its absence is recorded again.
	returnTime = 2 * time.Second
)

// absenceRecord is the stored form of an absence.
type absenceRecord struct {
	Term        uint64 `json:"term"`        // of the leader that has written the record
	LeaseLeftMs int64  `json:"leaseLeftMs"` // after the record was written
}

// recordedAbsence is an absence that this leader has recorded.
type recordedAbsence struct {
	leaseLeft time.Duration
	deleting  bool              // the worker has returned
	deletedAt bootclock.Instant // since when the record is certainly deleted; 0 before
}

// recordAbsences records which agents are absent. It must be called in the goroutine that
// runs the scheduler.
func (l *leader) recordAbsences(at scheduler.Timestamp) {
	if !l.isLeading() || !l.storeReachable() {
		return // a record that waits for the store would keep a returning agent without a lease
	}
	var records []durable.Record
	for _, a := range l.scheduler.Absences(at) {
		if !l.knownAbsent[a.Worker] && at.Boot.Sub(l.readyAt) < settleTime {
			continue
		}
		recorded := l.absences[a.Worker]
		if recorded != nil && !recorded.isOutdated(a.LeaseLeft, at.Boot) {
			continue
		}
		value, err := json.Marshal(absenceRecord{Term: uint64(l.term), LeaseLeftMs: roundUpMs(a.LeaseLeft)})
		if err != nil {
			klog.ErrorS(err, "absence of an agent can't be encoded", "worker", a.Worker)
			continue
		}
		l.absences[a.Worker] = &recordedAbsence{leaseLeft: a.LeaseLeft}
		records = append(records, durable.Record{Key: absencePrefix + string(a.Worker), Value: value})
	}
	if len(records) > 0 {
		l.writer.Write(records, nil)
	}
}

// isOutdated reports whether an absence with that much of a lease left is to be recorded
// again. The agent may have reported a longer lease than the recorded one meanwhile.
func (r *recordedAbsence) isOutdated(left time.Duration, now bootclock.Instant) bool {
	if r.deleting {
		return r.deletedAt != 0 && now.Sub(r.deletedAt) > returnTime
	}
	return left > r.leaseLeft || r.leaseLeft-left >= absenceResolution || left == 0 && r.leaseLeft > 0
}

func roundUpMs(d time.Duration) int64 { return int64((d + time.Millisecond - 1) / time.Millisecond) }

// endAbsence reports whether no record says that the worker is absent, so that it may be
// granted a lease. If there is one, endAbsence begins to delete it. It must be called in the
// goroutine that runs the scheduler.
func (l *leader) endAbsence(id units.WorkerID) bool {
	recorded := l.absences[id]
	switch {
	case recorded == nil:
		return true
	case recorded.deletedAt != 0:
		delete(l.absences, id)
		return true
	case !recorded.deleting:
		recorded.deleting = true
		l.writer.Write([]durable.Record{{Key: absencePrefix + string(id)}}, func() {
			l.enqueue(func() { recorded.deletedAt = bootclock.Now() })
		})
	}
	return false
}

// leasesLeft returns how long the leases of the agents that the previous leader has
// recorded as absent may last, longest at most: a wrong record can't hold back recovered tasks
// for longer. Records of other terms say nothing, because a later leader may have granted leases.
func leasesLeft(items []durable.Item, previous leadership.Term, longest time.Duration) map[units.WorkerID]time.Duration {
	left := make(map[units.WorkerID]time.Duration)
	for _, item := range items {
		id, ok := strings.CutPrefix(item.Key, absencePrefix)
		if !ok {
			continue
		}
		record := absenceRecord{}
		if err := json.Unmarshal(item.Value, &record); err != nil {
			klog.ErrorS(err, "malformed record of an absent agent is ignored", "worker", id)
			continue
		}
		if previous != 0 && leadership.Term(record.Term) == previous && record.LeaseLeftMs >= 0 {
			left[units.WorkerID(id)] = time.Duration(min(record.LeaseLeftMs, longest.Milliseconds())) * time.Millisecond
		}
	}
	return left
}
