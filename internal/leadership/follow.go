package leadership

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/durable"
	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/pause"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

// Following the records of the leadership, and the conditions of a claim.

// Run follows the leader and claims the leadership if it is not renewed. When ctx ends,
// it releases the leadership if this process has it.
func (e *Elector) Run(ctx context.Context) error {
	if !e.FirstStart {
		e.mu.Lock()
		e.restartedUntil = bootclock.Now().Add(restartDelay)
		e.mu.Unlock()
	}
	for ctx.Err() == nil {
		if err := e.seekRecentRecords(ctx); err == nil {
			break
		} else if ctx.Err() == nil {
			klog.InfoS("leadership records can't be read; retrying", "err", err)
			pause.Jittered(ctx, retryDelay)
		}
	}
	for ctx.Err() == nil {
		if term, ok := e.follow(ctx); ok {
			e.lead(ctx, term)
		}
	}
	return nil
}

// recentRecords is how many records a process reads that does not know the earlier ones. The last
// one does not tell who leads: a claim that is not led may follow the records of the leader, and
// renewals that an earlier leader had in flight may follow a claim.
const recentRecords units.Offset = 64

// seekRecentRecords sets the read position before the last records of the topic. The leader is
// not known until they are read.
func (e *Elector) seekRecentRecords(ctx context.Context) error {
	first, end, err := e.Store.Range(ctx, Topic)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.storeAnsweredAt = bootclock.Now()
	e.renewalSeenAt = e.storeAnsweredAt // a leader may just have renewed its lease
	e.nextOffset = max(first, end-min(end, recentRecords))
	e.released = end == 0 // nobody has ever led
	e.recordsMissed = e.nextOffset > 0
	return nil
}

// follow reads records until this process has won the leadership.
func (e *Elector) follow(ctx context.Context) (Term, bool) {
	for ctx.Err() == nil {
		if !e.isWithdrawn() && (e.mayClaim() || e.leaderExited(ctx) || e.nobodyLeads(ctx)) && e.claimDelayElapsed() {
			if term, ok := e.claim(ctx); ok {
				return term, true
			}
		}
		if err := e.read(ctx, e.pollTimeout()); err != nil && ctx.Err() == nil {
			klog.V(1).InfoS("leadership records can't be read; retrying", "err", err)
			pause.Jittered(ctx, retryDelay)
		}
	}
	return 0, false
}

// pollTimeout returns how long a read may wait without delaying a claim.
func (e *Elector) pollTimeout() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.withdrawn {
		return maxPollTimeout
	}
	left := e.renewalSeenAt.Add(claimTimeout).Sub(bootclock.Now())
	if !e.connected() {
		left = min(left, disconnectedPollTimeout)
	}
	if e.eligibleSince != 0 {
		left = min(left, e.eligibleSince.Add(e.ClaimDelay).Sub(bootclock.Now()))
	}
	return min(max(left, 20*time.Millisecond), maxPollTimeout)
}

// claimDelayElapsed reports whether a claim has been possible for ClaimDelay.
func (e *Elector) claimDelayElapsed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := bootclock.Now()
	if e.eligibleSince == 0 {
		e.eligibleSince = now
	}
	return now.Sub(e.eligibleSince) >= e.ClaimDelay
}

func (e *Elector) connected() bool { return e.Connected == nil || e.Connected() }

// leaderExited reports whether no promise prevents a claim and the last leader's process
// has certainly ended: it was an earlier incarnation of this process, which now has its address,
// or its machine runs another process.
func (e *Elector) leaderExited(ctx context.Context) bool {
	leader, ok := e.leaderToCheck()
	if !ok || e.connected() {
		return false
	}
	earlierIncarnation := leader.Name == e.Name && leader.Address == e.Address
	if !earlierIncarnation && (e.LeaderExited == nil || !e.LeaderExited(ctx, leader)) {
		return false
	}
	klog.InfoS("leadership is vacant: the leader's process has ended", "leader", leader.Name, "term", leader.Term, "earlierIncarnation", earlierIncarnation)
	e.observeExit(leader.Term)
	return true
}

// mayClaim reports whether no promise prevents a claim and the leadership was released or
// not renewed for claimTimeout. A leader that does not know this process can't ask it for a
// promise, so it may go on by the promises of others for maxPromisedLead. That holds too for a
// leader whose records this process has not read. mayClaim forgets rivals that have certainly ended.
func (e *Elector) mayClaim() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	age := bootclock.Now().Sub(e.renewalSeenAt)
	ended := age > maxPromisedLead+restartDelay // whoever has led
	if ended {
		e.rivals = nil
	}
	return e.promiseLeft() <= 0 && (e.released || age > claimTimeout && (ended || e.knownToRivals(0)))
}

// read reads and applies the records since the last read. It returns errRecordsDeleted if
// some of them are no longer retained; the next read continues after them.
func (e *Elector) read(ctx context.Context, wait time.Duration) error {
	e.mu.Lock()
	from := e.nextOffset
	e.mu.Unlock()
	batch, err := e.Store.Read(ctx, Topic, false, from, wait)
	if fault.Is(err, durable.Expired) {
		klog.InfoS("leadership records were deleted before they were read; continuing with the last ones", "from", from, "first", batch.Next)
		if err := e.seekRecentRecords(ctx); err != nil {
			return err
		}
		return errRecordsDeleted
	}
	if err != nil {
		return err
	}
	e.applyBatch(from, batch)
	return nil
}

// applyBatch applies the records that a read from the given offset has returned.
func (e *Elector) applyBatch(from units.Offset, batch durable.Batch) {
	e.mu.Lock()
	e.storeAnsweredAt = bootclock.Now()
	e.nextOffset = max(e.nextOffset, batch.Next)
	e.mu.Unlock()
	for i, r := range batch.Records {
		e.apply(from+units.Offset(i), r.Value)
	}
}

// errRecordsDeleted is returned if records were deleted before this process read them.
var errRecordsDeleted = fault.New("read", durable.Expired, "records were deleted before they were read")

// apply updates the leader and the time of the last renewal from the record at an offset.
// Only the leader with the highest term can release the leadership.
func (e *Elector) apply(at units.Offset, value []byte) {
	record := &wire.LeadershipRecord{}
	if err := proto.Unmarshal(value, record); err != nil {
		klog.ErrorS(err, "malformed leadership record is ignored")
		return
	}
	term := Term(record.GetTerm())
	if term == 0 || term > claimedTerm(at) {
		// Such a term would outrank every later claim.
		klog.ErrorS(nil, "leadership record with an impossible term is ignored", "offset", at, "term", term, "name", record.GetName())
		return
	}
	e.mu.Lock()
	e.renewalSeenAt, e.eligibleSince = bootclock.Now(), 0
	e.released = record.GetReleased() && term >= e.leader.Term
	changed := term > e.leader.Term
	if changed {
		e.leader = Leader{Name: record.GetName(), Address: record.GetAddress(), Term: term}
		e.leaderLed = false
	}
	if term == e.leader.Term && term != claimedTerm(at) {
		e.leaderLed, e.recordsMissed = true, false
	}
	e.observeRival(term, record.GetName())
	e.observeKnown(term, units.Offset(record.GetMembersEnd()), knownSince(at, term))
	if e.released {
		e.rivals = nil
	}
	if term == e.wonTerm && record.GetName() == e.Name && !record.GetReleased() {
		e.ownRecords = append(e.ownRecords, at)
	}
	leader := e.leader
	e.mu.Unlock()
	if changed && e.OnChange != nil {
		klog.InfoS("leader changed", "leader", leader.Name, "address", leader.Address, "term", leader.Term)
		e.OnChange(leader)
	}
}
