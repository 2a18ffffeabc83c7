package leadership_test

import (
	"context"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"wasabihill.example/wasabihill/internal/leadership"
	"wasabihill.example/wasabihill/internal/standin/metastore"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
	"wasabihill.example/wasabihill/platform"
)

// beyondTakeover is longer than any takeover takes, and shorter than a leader goes on by promises.
const beyondTakeover = 6 * time.Second

// putKnowing appends a record of a leader that has read the members below membersEnd.
func putKnowing(log *metastore.Log, name string, term leadership.Term, membersEnd units.Offset) {
	record := &wire.LeadershipRecord{Name: name, Address: name, Term: uint64(term), MembersEnd: uint64(membersEnd)}
	value, err := proto.Marshal(record)
	if err != nil {
		panic(err)
	}
	log.Put(string(leadership.Topic), "", value)
}

// leaderByPromises starts a leader that has read the members below 5, and takes the store from it.
func leaderByPromises(t *testing.T, log *metastore.Log) (*leadership.Elector, leadership.Term) {
	t.Helper()
	a, connection, led := startMember(t, log, "a", &fakeMembership{readEnd: 5})
	term := <-led
	time.Sleep(700 * time.Millisecond) // a renewal follows the claim
	connection.Set(metastore.Fault{NoReply: true})
	time.Sleep(700 * time.Millisecond) // none is in flight any more
	return a, term
}

// startAdded starts a process that is registered behind what the leader by promises has read.
func startAdded(t *testing.T, log *metastore.Log, change func(*leadership.Elector)) *candidate {
	t.Helper()
	return start(t, log, "n", func(e *leadership.Elector) {
		e.FirstStart, e.Connected, e.Membership = false, disconnected, &fakeMembership{offset: 5, readEnd: 6}
		if change != nil {
			change(e)
		}
	})
}

// wantAlone fails if the added process leads, or the first one no longer does.
func wantAlone(t *testing.T, added *candidate, first *leadership.Elector, term leadership.Term) {
	t.Helper()
	added.wantNoTerm(t, beyondTakeover, "a leader that does not know it leads on by promises")
	if !first.Leads(term) {
		t.Errorf("%s leads term %d: got false, want true", first.Name, term)
	}
}

// Guards against two leaders at once: a process that is added finds no record of the leadership,
// since all were deleted, and takes that for the absence of a leader.
func TestAddedProcessDoesNotClaimForWantOfRecords(t *testing.T) {
	t.Parallel()
	log := metastore.NewLog()
	a, term := leaderByPromises(t, log)
	log.DeleteHistory()
	wantAlone(t, startAdded(t, log, nil), a, term)
}

// Guards against two leaders at once: a process that has not read the last leader's records, since
// they were deleted, takes itself for known to that leader because the one before knew it.
func TestProcessThatMissedRecordsDoesNotCountAsKnown(t *testing.T) {
	t.Parallel()
	log := metastore.NewLog()
	putKnowing(log, "c", 1, 6)
	putKnowing(log, "c", 1, 6)
	store := &heldStore{}
	n := startAdded(t, log, func(e *leadership.Elector) { store.Store, e.Store = e.Store, store })
	time.Sleep(100 * time.Millisecond)
	store.hold(true)
	time.Sleep(800 * time.Millisecond) // a long poll that was in progress has ended
	putKnowing(log, "a", 3, 5)
	log.DeleteHistory()
	store.hold(false)
	n.wantNoTerm(t, beyondTakeover, "the leader of term 3 may not know it")
}

// putClaim appends a claim that its sender never leads. The sender has read the members below
// membersEnd.
func putClaim(t *testing.T, log *metastore.Log, name string, membersEnd units.Offset) {
	t.Helper()
	store := platform.NewStoreClient(newServer(t, log).Address)
	_, end, err := store.Range(context.Background(), leadership.Topic)
	if err != nil {
		t.Fatal(err)
	}
	putKnowing(log, name, leadership.Term(end+1), membersEnd)
}

// Guards against two leaders at once: the store executes the claim of a process that has promised
// not to lead, and an added process, which that one knows or which learns that it does not lead,
// takes it for the last leader. The one before it leads on by promises.
func TestClaimThatIsNotLedDoesNotHideALeaderByPromises(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		membersEnd units.Offset
		exited     bool
	}{"claimant knows the process": {6, false}, "claimant does not lead": {0, true}, "both": {6, true}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			log := metastore.NewLog()
			a, term := leaderByPromises(t, log)
			putClaim(t, log, "x", test.membersEnd)
			n := startAdded(t, log, func(e *leadership.Elector) {
				e.LeaderExited = func(context.Context, leadership.Leader) bool { return test.exited }
			})
			wantAlone(t, n, a, term)
		})
	}
}

// Guards against a claim beside the leader: records of an earlier leader that the store executes
// late follow the last claim, and a process that starts then takes the last of them for the truth.
func TestLateRecordsOfAnEarlierLeaderDoNotHideTheLast(t *testing.T) {
	t.Parallel()
	for name, released := range map[string]bool{"renewal": false, "release": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			log := metastore.NewLog()
			putRecord(log, "c", 1, false)
			putRecord(log, "x", 2, false)
			putRecord(log, "c", 1, false)
			putRecord(log, "c", 1, released)
			n := start(t, log, "n", func(e *leadership.Elector) {
				e.Connected = disconnected
				e.LeaderExited = func(_ context.Context, leader leadership.Leader) bool { return leader.Name == "c" }
			})
			n.wantNoTerm(t, 1700*time.Millisecond, "the lease of term 2 is valid")
			n.wantTerm(t, quick)
		})
	}
}

// Guards against a needless wait: all entry processes are restarted right after a claim. Each reads
// that the leader before knew it, too.
func TestRestartedProcessThatAllLeadersKnowClaimsSoon(t *testing.T) {
	t.Parallel()
	for name, exited := range map[string]bool{"the claimant is back": true, "the claimant is gone": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			log := metastore.NewLog()
			putKnowing(log, "c", 1, 6)
			putKnowing(log, "c", 1, 6)
			putKnowing(log, "x", 3, 6)
			n := startAdded(t, log, func(e *leadership.Elector) {
				e.LeaderExited = func(context.Context, leadership.Leader) bool { return exited }
			})
			n.wantNoTerm(t, leadership.PromiseDuration, "an earlier incarnation may have promised not to claim")
			n.wantTerm(t, quick)
		})
	}
}

// Guards against two leaders at once: a leader that has just learned of a process asks it for a
// promise, and the process claims while the promises of the others, given before, still hold.
func TestProcessWaitsForPromisesGivenBeforeItWasKnown(t *testing.T) {
	t.Parallel()
	log := metastore.NewLog()
	_, term := leaderByPromises(t, log)
	n := startAdded(t, log, nil)
	n.wantNoTerm(t, 3*time.Second, "the leader does not know it")
	for range 3 { // it is asked anew while it refuses
		n.ObserveKnown(term, 6)
		n.wantNoTerm(t, (leadership.PromiseDuration-50*time.Millisecond)/3, "a lease by the promises of the others may be valid")
	}
	n.wantTerm(t, quick)
}

// Guards against a system without a leader for as long as one could go on by promises, after all
// entry processes have ended and the history is gone: those that are registered can say that
// none of them leads.
func TestProcessClaimsOnceNobodyLeads(t *testing.T) {
	t.Parallel()
	for name, vacant := range map[string]bool{"nobody leads": true, "one may lead": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			log := metastore.NewLog()
			putKnowing(log, "gone", 1, 5)
			log.DeleteHistory()
			n := startAdded(t, log, func(e *leadership.Elector) {
				e.NobodyLeads = func(context.Context) bool { return vacant }
			})
			if vacant {
				n.wantTerm(t, beyondTakeover)
				return
			}
			n.wantNoTerm(t, beyondTakeover, "another process may lead")
		})
	}
}

// Guards against a leader by promises that says that it does not lead: another process would
// claim beside it.
func TestLeaderByPromisesMayLead(t *testing.T) {
	t.Parallel()
	log := metastore.NewLog()
	a, _ := leaderByPromises(t, log)
	time.Sleep(2 * time.Second) // longer than a lease without promises
	if !a.MayLead() {
		t.Error("leader by promises: got that it does not lead, want that it may")
	}
	if n := startAdded(t, log, nil); n.MayLead() {
		t.Error("process that only follows: got that it may lead, want that it does not")
	}
}
