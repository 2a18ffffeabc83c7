// Package leadership elects the entry process that runs the scheduler. A claim or a
// renewal of the leadership is an append to a topic of the platform's store, on the
// condition that nothing else was appended since. So two concurrent claims never both win.
// The term is the offset after the claim. It serves as a fencing token against the
// records and orders of earlier leaders.
//
// Each renewal extends the leader's lease, counted from the time before the renewal was
// sent. A follower claims the leadership only after a longer time without a renewal.
// While no entry process gets a reply from the store, the leader may extend its lease by
// promises of all others not to claim.
package leadership

import (
	"context"
	"sync"
	"time"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/durable"
	"wasabihill.example/wasabihill/pkg/units"
)

const (
	// Topic is the topic of the claims and renewals.
	Topic durable.Topic = "leadership"
	// renewInterval allows for two renewals without an effect within a lease.
	renewInterval = 500 * time.Millisecond
	// leaseDuration is the duration of the lease that a renewal gives.
	leaseDuration = 1700 * time.Millisecond
	// maxClockDrift is the largest drift of two machines' clocks during a lease or a promise.
	maxClockDrift = 200 * time.Millisecond
	// claimTimeout is the time without a renewal after which a follower claims the
	// leadership.
	claimTimeout = leaseDuration + maxClockDrift
	// pendingClaimTimeout is how long this process does not renounce the term of a claim
	// without a reply. Other processes read the claim a few milliseconds before or
	// after the reply. If there is none for this long, it is probably lost, and
	// another process should lead.
	pendingClaimTimeout = 250 * time.Millisecond
	// PromiseDuration is how long a leader may rely on a promise not to claim, counted from
	// its request. The process that has promised keeps it for maxClockDrift longer.
	PromiseDuration = 2 * time.Second
	// restartDelay prevents a restarted process from claiming while a promise of an
	// earlier incarnation may be valid.
	restartDelay = PromiseDuration + maxClockDrift
	// maxPromisedLead is how long after its last renewal a leader goes on by promises.
	maxPromisedLead = 30 * time.Second
	// renewTimeout is the age of a renewal without an answer at which the leader looks for
	// another proof that it leads. It leaves time to request promises before the lease ends.
	renewTimeout = 500 * time.Millisecond
	// disconnectedPollTimeout limits a long poll while there is no session with the
	// leader.
	disconnectedPollTimeout = 100 * time.Millisecond
	// maxPollTimeout limits a long poll.
	maxPollTimeout = 700 * time.Millisecond
	// retryDelay is the delay before a failed call is retried.
	retryDelay = 100 * time.Millisecond
	// reachableTimeout is how long after its last reply the store is considered
	// reachable.
	reachableTimeout = 800 * time.Millisecond
)

// Term is the number of a leadership. A later leader has a higher term.
type Term uint64

// Leader describes a leader.
type Leader struct {
	Name    string
	Address string // address for sessions with it, IP:port
	Term    Term
}

// Elector takes part in the election of the leader. The exported fields must be set
// before Run is called.
type Elector struct {
	Store      durable.Store
	Name       string // name of this process's machine
	Address    string // address for sessions with this process
	FirstStart bool   // no earlier incarnation of this process can have made a promise
	// ClaimDelay delays claims of this process, so that a process that is better placed
	// claims first.
	ClaimDelay time.Duration
	// RunLeader runs the scheduler for a term until its context ends.
	RunLeader func(ctx context.Context, term Term)
	// OnChange is called when the leader changes.
	OnChange func(Leader)
	// RequestPromises requests promises from all other entry processes. It returns the
	// time until which none of them claims, and false if not all have promised. Once the
	// lease has ended, the promise of a process that knows no term does not count.
	RequestPromises func(ctx context.Context, term Term) (bootclock.Instant, bool)

	// Membership is this process's registration. If it is nil, the leader knows this process.
	Membership Membership

	// LeaderExited queries the leader's machine and reports whether the leader's process
	// has ended and another one runs there. It is called while Connected reports false.
	LeaderExited func(ctx context.Context, leader Leader) bool
	// NobodyLeads asks all other registered entry processes and reports whether each has
	// answered that MayLead is false. It is called while the records do not tell who leads.
	NobodyLeads func(ctx context.Context) bool
	// Connected reports whether this process leads or has a session with the leader. If it
	// is nil, the process counts as connected.
	Connected func() bool

	// unconfirmed is set while the registration of this process can't be confirmed. Then it is
	// confirmed before a claim and not beside it. Only the goroutine of Run uses it.
	unconfirmed bool

	mu                sync.Mutex
	leader            Leader
	leaderLed         bool              // leader has certainly led its term: a record other than its claim was read, or this process led
	recordsMissed     bool              // another process may lead of which no record was read: records were deleted, or are older than those read, and no read one shows who has led last
	rivals            []rival           // terms that other processes may lead, as far as the read records tell
	wonTerm           Term              // highest term won by this process
	previousTerm      Term              // term of the leader before wonTerm; 0 if there was none or it is unknown
	pendingClaim      Term              // term of a claim that has no reply and was not given up; 0 if there is none
	pendingClaimUntil bootclock.Instant // the pending claim's term is not renounced before this time
	renouncedTerm     Term              // highest term that this process has renounced and therefore never leads
	leaseEnd          bootclock.Instant // end of this process's lease as leader
	promisedUntil     bootclock.Instant // this process has promised not to claim before this time
	restartedUntil    bootclock.Instant // an earlier incarnation may have promised not to claim before this time
	storeAnsweredAt   bootclock.Instant // time of the store's last reply
	renewalSeenAt     bootclock.Instant // when a renewal was last seen or has to be assumed; 0 if never
	nextOffset        units.Offset      // where the next read begins; a claim or renewal requires that the topic ends there
	released          bool              // the last leader has released the leadership
	renewedAt         bootclock.Instant // when the last renewal that extended this process's lease was sent; 0 if none
	ownRecords        []units.Offset    // renewals of this leader that a read has shown
	askedAt           bootclock.Instant // when NobodyLeads was last called; 0 if never
	eligibleSince     bootclock.Instant // time since which a claim is possible; 0 if it is not
	withdrawn         bool              // this process does not become leader again
}

// Leader returns the leader with the highest term that this process has seen. Its Term
// is 0 if there has been none.
func (e *Elector) Leader() Leader {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leader
}

// PreviousTerm returns the term of the leader before this process last became leader. It is
// 0 if there was none or it is unknown.
func (e *Elector) PreviousTerm() Term {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.previousTerm
}

// Leads reports whether this process leads the term and its lease is valid.
func (e *Elector) Leads(term Term) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leader.Term == term && e.leader.Name == e.Name && bootclock.Now().Before(e.leaseEnd)
}

// StoreReachable reports whether the store has answered this process recently.
func (e *Elector) StoreReachable() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.storeReachable(bootclock.Now())
}

// storeReachable implements StoreReachable. The caller holds mu.
func (e *Elector) storeReachable(now bootclock.Instant) bool {
	return e.storeAnsweredAt != 0 && now.Sub(e.storeAnsweredAt) < reachableTimeout
}

// ConfirmOrRenounce reports whether this process leads the term or is about to. If it
// reports false, this process never leads the term, so the caller may claim the
// leadership at once. Other processes can read a claim before this process receives the
// reply to it, so the term of a claim that was just sent is not renounced.
func (e *Elector) ConfirmOrRenounce(term Term) (leads bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.wonTerm == term || e.pendingClaim == term && bootclock.Now().Before(e.pendingClaimUntil) {
		return true
	}
	e.renouncedTerm = max(e.renouncedTerm, term)
	return false
}

// ObserveTerm ends this process's lease for good if another process has seen a later term.
func (e *Elector) ObserveTerm(term Term) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if term > e.leader.Term {
		e.leaseEnd = 0
		e.renouncedTerm = max(e.renouncedTerm, term-1)
	}
}

// Withdraw prevents this process from becoming leader, because it is about to end: each
// change of leader interrupts the service, and another would soon follow. A process that
// leads continues until the end of Run. A claim without a reply is released if it
// succeeds.
func (e *Elector) Withdraw() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.withdrawn = true
}

func (e *Elector) isWithdrawn() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.withdrawn
}
