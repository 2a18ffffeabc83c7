// Package leadership decides which entry process leads the scheduler. A claim
// or a renewal is an append to a topic of the platform's store on condition
// that nothing was appended since, so of two claims one wins. The term is the
// offset after the claim; it fences the records and the orders of earlier
// leaders.
//
// A leader has authority for a time after each renewal, measured from before
// it was sent; a follower claims only after a longer time without one. While
// the store answers nobody, a leader may keep its authority by promises of all
// other entry processes not to claim.
package leadership

import (
	"context"
	"errors"
	"sync"
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

const (
	// Topic holds the claims and renewals.
	Topic durable.Topic = "leadership"
	// renewEvery leaves room for one failed renewal within the authority.
	renewInterval = 500 * time.Millisecond
	// authorityFor is how long a renewal gives authority.
	leaseDuration = 1700 * time.Millisecond
	// claimAfter is the time without a renewal after which a follower claims;
	// it exceeds authorityFor by what clocks may differ in that time.
	claimTimeout = 1900 * time.Millisecond
	// claimTrusted is how long a claim without an answer is not denied. Others read
	// it a few milliseconds before or after the answer; without one for so long the
	// answer is probably lost, and somebody else should lead.
	pendingClaimTimeout = 250 * time.Millisecond
	// PromiseFor is how long a promise not to claim holds.
	PromiseDuration = 2 * time.Second
	// startQuiet keeps a process that was restarted from claiming while a
	// promise of its previous run may hold.
	restartDelay = PromiseDuration + 200*time.Millisecond
	// renewTimeout leaves time to ask for support before the authority ends.
	renewTimeout = 500 * time.Millisecond
	// vacancyWait bounds a long poll while the leader can't be reached.
	disconnectedPollTimeout = 100 * time.Millisecond
	// readWait bounds a long poll.
	maxPollTimeout = 700 * time.Millisecond
	// retryPause follows a call that the store did not answer.
	retryDelay = 100 * time.Millisecond
	// reachableFor is how long after an answer the store counts as reachable.
	reachableTimeout = 800 * time.Millisecond
)

// Term numbers the leaders; a later leader has a higher one.
type Term uint64

// Leader is who leads.
type Leader struct {
	Name    string
	Address string // of its sessions, IP:port
	Term    Term
}

// Elector takes part in the choice of the leader. Set the exported fields
// before Run.
type Elector struct {
	Store      durable.Store
	Name       string // of this process's machine
	Address    string // of this process's sessions
	FirstStart bool   // no earlier run of this process can have promised anything
	// Handicap delays a claim, so that of several processes that may claim a
	// better placed one does.
	ClaimDelay time.Duration
	// Lead runs the scheduler for a term until its context ends.
	RunLeader func(ctx context.Context, term Term)
	// OnChange is called when another leader is known.
	OnChange func(Leader)
	// Support asks the other entry processes for promises, and reports until
	// when all of them have promised not to claim.
	RequestPromises func(ctx context.Context, term Term) (bootclock.Instant, bool)

	// Vacant asks the leader's machine whether the leader's process has ended
	// and another one runs there. It is called while Connected reports false.
	LeaderExited func(ctx context.Context, leader Leader) bool
	Connected    func() bool

	mu                sync.Mutex
	leader            Leader
	wonTerm           Term              // highest term that this process has won
	pendingClaim      Term              // its claim is on its way; 0 for none
	pendingClaimUntil bootclock.Instant // until when the claim on its way is not denied
	renouncedTerm     Term              // this process has denied to lead this term and never will
	leaseEnd          bootclock.Instant // until when this process leads
	promisedUntil     bootclock.Instant // no claim before
	storeAnsweredAt   bootclock.Instant // last answer of the store
	renewalSeenAt     bootclock.Instant // last renewal of another leader, or 0
	nextOffset        units.Offset      // end of the topic as far as it is known
	released          bool              // the last leader gave up its leadership
	eligibleSince     bootclock.Instant // since when a claim is possible; 0 while it is not
}

// Leader returns the newest known leader; its Term is 0 before the first.
func (e *Elector) Leader() Leader {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leader
}

// Leads reports whether this process leads the term now.
func (e *Elector) Leads(term Term) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leader.Term == term && e.leader.Name == e.Name && bootclock.Now().Before(e.leaseEnd)
}

// Promise answers a leader's request for support: no claim for PromiseFor. It
// is refused when the store answers this process, which can then take over, or
// when a later term is known.
func (e *Elector) Promise(term Term) (promised, reachable bool, known Term) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := bootclock.Now()
	reachable = e.storeAnsweredAt != 0 && now.Sub(e.storeAnsweredAt) < reachableTimeout
	if reachable || e.leader.Term > term {
		return false, reachable, e.leader.Term
	}
	e.promisedUntil = max(e.promisedUntil, now.Add(PromiseDuration))
	return true, false, e.leader.Term
}

// Renounce answers whether this process leads the term or is about to. When it
// does not, it never will, so whoever asked may take the leadership over at once.
// Others can read a claim before this process has the answer to it, so one that
// has just been sent is not denied.
func (e *Elector) ConfirmOrRenounce(term Term) (leads bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.wonTerm == term || e.pendingClaim == term && bootclock.Now().Before(e.pendingClaimUntil) {
		return true
	}
	e.renouncedTerm = max(e.renouncedTerm, term)
	return false
}

// Observe takes note of a later term that another process knows.
func (e *Elector) ObserveTerm(term Term) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if term > e.leader.Term {
		e.leaseEnd = 0
	}
}

// Run follows the leadership and takes it when nobody renews it, until ctx
// ends. Then it gives the leadership up if this process has it.
func (e *Elector) Run(ctx context.Context) error {
	e.mu.Lock()
	e.promisedUntil = bootclock.Now()
	if !e.FirstStart {
		e.promisedUntil = e.promisedUntil.Add(restartDelay)
	}
	e.mu.Unlock()
	for ctx.Err() == nil {
		if err := e.seekLastRecord(ctx); err == nil {
			break
		} else if ctx.Err() == nil {
			klog.InfoS("leadership can't be read", "err", err)
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

// find reads the last record of the topic.
func (e *Elector) seekLastRecord(ctx context.Context) error {
	first, end, err := e.Store.Range(ctx, Topic)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.storeAnsweredAt = bootclock.Now()
	e.renewalSeenAt = e.storeAnsweredAt // a leader may have renewed just now
	e.nextOffset = end
	if end > first {
		e.nextOffset = end - 1 // read the newest record
	}
	e.released = end == 0
	return nil
}

// follow reads records until this process has claimed the leadership.
func (e *Elector) follow(ctx context.Context) (Term, bool) {
	for ctx.Err() == nil {
		if (e.mayClaim() || e.leaderExited(ctx)) && e.claimDelayElapsed() {
			if term, ok := e.claim(ctx); ok {
				return term, true
			}
		}
		if err := e.read(ctx, e.pollTimeout()); err != nil && ctx.Err() == nil {
			klog.V(1).InfoS("leadership can't be read", "err", err)
			pause.Jittered(ctx, retryDelay)
		}
	}
	return 0, false
}

// wait returns how long a read may wait, so that a claim is not delayed.
func (e *Elector) pollTimeout() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	left := e.renewalSeenAt.Add(claimTimeout).Sub(bootclock.Now())
	if !e.connected() {
		left = min(left, disconnectedPollTimeout)
	}
	if e.eligibleSince != 0 {
		left = min(left, e.eligibleSince.Add(e.ClaimDelay).Sub(bootclock.Now()))
	}
	return min(max(left, 20*time.Millisecond), maxPollTimeout)
}

// handicapOver reports whether a claim has been possible for long enough.
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

// vacant reports whether the known leader's process has ended for certain: it
// was an earlier run of this process, or its machine runs another process.
func (e *Elector) leaderExited(ctx context.Context) bool {
	leader := e.Leader()
	if leader.Term == 0 || e.connected() {
		return false
	}
	if leader.Name == e.Name {
		klog.InfoS("leadership is vacant: an earlier run of this process had it", "term", leader.Term)
		return true
	}
	if e.LeaderExited == nil || !e.LeaderExited(ctx, leader) {
		return false
	}
	klog.InfoS("leadership is vacant: the leader's process has ended", "leader", leader.Name, "term", leader.Term)
	return true
}

func (e *Elector) mayClaim() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := bootclock.Now()
	if now.Before(e.promisedUntil) {
		return false
	}
	return e.released || now.Sub(e.renewalSeenAt) > claimTimeout
}

// read takes over records since the last read. errMissed says that some can't
// be read any more; the next read goes on after them.
func (e *Elector) read(ctx context.Context, wait time.Duration) error {
	e.mu.Lock()
	from := e.nextOffset
	e.mu.Unlock()
	batch, err := e.Store.Read(ctx, Topic, false, from, wait)
	if fault.Is(err, durable.Expired) {
		klog.InfoS("records of the leadership were deleted", "from", from, "first", batch.Next)
		if err := e.seekLastRecord(ctx); err != nil {
			return err
		}
		return errRecordsDeleted
	}
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.storeAnsweredAt = bootclock.Now()
	e.nextOffset = batch.Next
	e.mu.Unlock()
	for _, r := range batch.Records {
		e.apply(r.Value)
	}
	return nil
}

// errMissed says that records were deleted before this process has read them.
var errRecordsDeleted = fault.New("read", durable.Expired, "records were missed")

// apply takes over a record.
func (e *Elector) apply(value []byte) {
	record := &wire.LeadershipRecord{}
	if err := proto.Unmarshal(value, record); err != nil {
		klog.ErrorS(err, "record of the leadership is skipped")
		return
	}
	e.mu.Lock()
	e.renewalSeenAt, e.released, e.eligibleSince = bootclock.Now(), record.GetReleased(), 0
	changed := Term(record.GetTerm()) > e.leader.Term
	if changed {
		e.leader = Leader{Name: record.GetName(), Address: record.GetAddress(), Term: Term(record.GetTerm())}
	}
	leader := e.leader
	e.mu.Unlock()
	if changed && e.OnChange != nil {
		klog.InfoS("leader known", "leader", leader.Name, "address", leader.Address, "term", leader.Term)
		e.OnChange(leader)
	}
}

// claim tries to become the leader.
func (e *Elector) claim(ctx context.Context) (Term, bool) {
	e.mu.Lock()
	at := e.nextOffset
	term, sent := Term(at+1), bootclock.Now()
	e.pendingClaim, e.pendingClaimUntil = term, sent.Add(pendingClaimTimeout)
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.pendingClaim = 0
		e.mu.Unlock()
	}()
	if _, err := e.append(ctx, at, term, false); err != nil {
		klog.InfoS("claim of the leadership failed", "term", term, "err", err)
		if !fault.Is(err, durable.Conflict) {
			pause.Jittered(ctx, retryDelay)
		}
		return 0, false // a claim that was done all the same is read back and not renewed
	}
	e.mu.Lock()
	if term <= e.renouncedTerm {
		e.mu.Unlock()
		return 0, false // somebody was told that this process does not lead
	}
	e.wonTerm = term
	e.nextOffset, e.released, e.renewalSeenAt = at+1, false, sent
	e.leader = Leader{Name: e.Name, Address: e.Address, Term: term}
	e.leaseEnd = sent.Add(leaseDuration)
	e.mu.Unlock()
	klog.InfoS("leadership won", "term", term)
	return term, true
}

func (e *Elector) append(ctx context.Context, at units.Offset, term Term, released bool) (units.Offset, error) {
	value, err := proto.Marshal(&wire.LeadershipRecord{Name: e.Name, Address: e.Address, Term: uint64(term), Released: released})
	if err != nil {
		return 0, fault.Wrap("claim", durable.Invalid, err)
	}
	return e.Store.Append(ctx, durable.AppendRequest{Topic: Topic, ExpectedEnd: &at, Records: []durable.Record{{Value: value}}})
}

// lead renews the leadership while Lead runs.
func (e *Elector) lead(ctx context.Context, term Term) {
	leadCtx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		e.RunLeader(leadCtx, term)
		close(ended)
		cancel()
	}()
	if e.OnChange != nil {
		e.OnChange(e.Leader())
	}
	for leadCtx.Err() == nil {
		result := e.renew(leadCtx, term)
		if result == lost {
			break
		}
		pause.For(leadCtx, renewDelays[result])
	}
	cancel()
	<-ended
	e.resign(term)
}

// renewal is the result of an attempt to renew.
type renewalResult int

const (
	renewed  renewalResult = iota
	retryNow               // the topic's end is known again
	unanswered
	lost
)

// renewPauses says how long to wait after an attempt.
var renewDelays = [...]time.Duration{renewed: renewInterval, retryNow: 0, unanswered: retryDelay}

// renew extends the authority.
func (e *Elector) renew(ctx context.Context, term Term) renewalResult {
	e.mu.Lock()
	at := e.nextOffset
	e.mu.Unlock()
	sent := bootclock.Now()
	callCtx, cancel := context.WithTimeout(ctx, renewTimeout)
	_, err := e.append(callCtx, at, term, false)
	cancel()
	switch {
	case err == nil:
		e.mu.Lock()
		e.nextOffset, e.leaseEnd, e.storeAnsweredAt = at+1, sent.Add(leaseDuration), bootclock.Now()
		e.mu.Unlock()
		return renewed
	case ctx.Err() != nil:
		return lost
	case fault.Is(err, durable.Conflict):
		return e.readBack(ctx, term)
	}
	klog.InfoS("leadership is not renewed", "term", term, "err", err)
	if e.RequestPromises != nil {
		if until, ok := e.RequestPromises(ctx, term); ok {
			e.mu.Lock()
			if e.leader.Term == term {
				e.leaseEnd = max(e.leaseEnd, until)
			}
			e.mu.Unlock()
		}
	}
	return unanswered
}

// readBack follows a renewal that met another record: an earlier renewal that
// was done without an answer, or another leader's claim. It reports whether
// this process still leads.
func (e *Elector) readBack(ctx context.Context, term Term) renewalResult {
	err := e.read(ctx, 0)
	if errors.Is(err, errRecordsDeleted) {
		klog.InfoS("leadership is given up, a claim may have been missed", "term", term)
		return lost
	}
	if err != nil {
		klog.InfoS("leadership can't be read back", "term", term, "err", err)
		return unanswered
	}
	leader := e.Leader()
	if leader.Term != term {
		klog.InfoS("leadership lost", "term", term, "leader", leader.Name, "newTerm", leader.Term)
		return lost
	}
	return retryNow
}

// resign ends the authority at once and tells the others, on a planned stop,
// that they need not wait.
func (e *Elector) resign(term Term) {
	e.mu.Lock()
	e.leaseEnd = 0
	at := e.nextOffset
	mine := e.leader.Term == term
	e.renewalSeenAt = bootclock.Now()
	e.mu.Unlock()
	if !mine {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if _, err := e.append(ctx, at, term, true); err != nil {
		klog.InfoS("leadership is not released", "term", term, "err", err)
	}
}
