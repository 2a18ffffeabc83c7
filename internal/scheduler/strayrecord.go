package scheduler

import (
	"encoding/json"
	"fmt"
	"time"

	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/durable"
	"wasabihill.example/wasabihill/pkg/units"
)

// A runner that has restarted under its id may hold a lease that no grant bounds. Only its agent
// and the leader that has received the agent's report know of it. When both are lost, the next
// leader would count a granted lease, and start the tasks elsewhere beside their runs. So the
// lease is recorded, and nothing starts on the worker before the record is durable
// (docs/decisions/0018-leases-longer-than-a-grant.md).

const (
	// strayPrefix begins the key of a stray lease in the jobs' topic. The rest is the worker's ID.
	strayPrefix = "stray/"
	// strayRecordInterval is the time after which a stray lease is recorded again with what is
	// left of it. A record is counted from the time at which a leader reads it, so an old one
	// says too much.
	strayRecordInterval = 2 * time.Second
	// strayRecordMargin is added to a recorded lease. The ends computed from several reports on
	// one lease differ by the time that each was under way, which must not cause further records.
	strayRecordMargin = 200 * time.Millisecond
)

// strayRecord is the stored form of a stray lease.
type strayRecord struct {
	LeaseLeftMs int64 `json:"leaseLeftMs"` // upper bound, from any time after the record was written
}

// strayLease is a lease that the runner of a worker may hold and that no grant bounds.
type strayLease struct {
	end         bootclock.Instant // no run goes on by the lease afterwards
	recordedAt  bootclock.Instant // when the newest record was made or read
	recordedEnd bootclock.Instant // end by the newest record, counted from recordedAt; not before end
	flush       uint64            // the flush that makes the lease durable; 0 before the next Flush, or if it is durable
	durable     bool              // a record in the store covers the lease
}

// noteStrayLease has a stray lease that ends within left recorded if it is longer than a granted
// one or than the recorded one.
func (s *Scheduler) noteStrayLease(id units.WorkerID, left time.Duration, now Timestamp) {
	end := now.Boot.Add(left)
	lease := s.strayLeases[id]
	switch {
	case lease == nil && left <= s.MaxLeaseDuration:
		return
	case lease == nil:
		klog.InfoS("stray lease of a worker is recorded", "worker", id, "left", left)
		lease = &strayLease{}
		s.strayLeases[id] = lease
	}
	lease.end = max(lease.end, end)
	if lease.end.After(lease.recordedEnd) {
		lease.durable, lease.flush = false, 0
		s.recordStrayLease(id, lease, now)
	}
}

// recordStrayLease adds the lease to the next flush.
func (s *Scheduler) recordStrayLease(id units.WorkerID, lease *strayLease, now Timestamp) {
	lease.recordedAt, lease.recordedEnd = now.Boot, lease.end.Add(strayRecordMargin)
	s.dirtyStrayLeases[id] = true
}

// endStrayLease forgets the worker's stray lease, if there is one, and has its record deleted.
func (s *Scheduler) endStrayLease(id units.WorkerID) {
	if s.strayLeases[id] != nil {
		delete(s.strayLeases, id)
		s.dirtyStrayLeases[id] = true
	}
}

// updateStrayLeases ends the stray leases that have expired, and has those recorded again whose
// records say too much.
func (s *Scheduler) updateStrayLeases(now Timestamp) {
	for id, lease := range s.strayLeases {
		switch {
		case now.Boot.After(lease.end):
			s.endStrayLease(id)
		case now.Boot.Sub(lease.recordedAt) >= strayRecordInterval:
			s.recordStrayLease(id, lease, now)
		}
	}
}

// strayLeaseIsDurable reports whether the next leader would count the worker's stray lease, or
// there is none. Until then nothing may start there: the run would have that lease.
func (s *Scheduler) strayLeaseIsDurable(id units.WorkerID) bool {
	lease := s.strayLeases[id]
	return lease == nil || lease.durable
}

// flushStrayLeases returns the records of the stray leases that have changed since the last
// flush, as a part of the flush with the given number.
func (s *Scheduler) flushStrayLeases(flush uint64) ([]durable.Record, error) {
	var records []durable.Record
	for id := range s.dirtyStrayLeases {
		record := durable.Record{Key: strayPrefix + string(id)}
		if lease := s.strayLeases[id]; lease != nil {
			left := lease.recordedEnd.Sub(lease.recordedAt)
			value, err := json.Marshal(strayRecord{LeaseLeftMs: int64((left + time.Millisecond - 1) / time.Millisecond)})
			if err != nil {
				return nil, err
			}
			record.Value = value
			if !lease.durable && lease.flush == 0 {
				lease.flush = flush
			}
		}
		records = append(records, record)
	}
	clear(s.dirtyStrayLeases)
	return records, nil
}

// commitStrayLeases records that all flushes up to the given one are durable.
func (s *Scheduler) commitStrayLeases(flush uint64) {
	for _, lease := range s.strayLeases {
		if lease.flush != 0 && lease.flush <= flush {
			lease.durable, lease.flush = true, 0
		}
	}
}

// recoverStrayLease counts a recorded stray lease from now on, whichever leader has recorded it:
// a later one has deleted the record if the lease had ended. No record counts for longer than the
// longest stray lease.
func (s *Scheduler) recoverStrayLease(id string, value []byte, now Timestamp) error {
	record := strayRecord{}
	if err := json.Unmarshal(value, &record); err != nil {
		return err
	}
	if record.LeaseLeftMs <= 0 {
		return fmt.Errorf("stray lease of %d ms", record.LeaseLeftMs)
	}
	left := s.MaxStrayLeaseDuration
	if record.LeaseLeftMs < left.Milliseconds() {
		left = time.Duration(record.LeaseLeftMs) * time.Millisecond
	}
	end := now.Boot.Add(left)
	s.strayLeases[units.WorkerID(id)] = &strayLease{end: end, recordedAt: now.Boot, recordedEnd: end, durable: true}
	return nil
}
