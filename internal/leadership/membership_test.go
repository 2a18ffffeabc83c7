package leadership_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/leadership"
	"wasabihill.example/wasabihill/internal/standin/metastore"
	"wasabihill.example/wasabihill/pkg/units"
	"wasabihill.example/wasabihill/platform"
)

// fakeMembership is a process's registration at an offset. The process has read the members
// below readEnd.
type fakeMembership struct {
	offset, readEnd units.Offset
	removed         atomic.Bool
}

func (m *fakeMembership) Registered() units.Offset     { return m.offset }
func (m *fakeMembership) ReadEnd() units.Offset        { return m.readEnd }
func (m *fakeMembership) Confirm(context.Context) bool { return !m.removed.Load() }

// startMember starts an elector on the log. It returns its connection to the store and a
// channel of the terms that it leads.
func startMember(t *testing.T, log *metastore.Log, name string, membership leadership.Membership) (*leadership.Elector, *metastore.Server, chan leadership.Term) {
	t.Helper()
	server := newServer(t, log)
	e := &leadership.Elector{Store: platform.NewStoreClient(server.Address), Name: name, Membership: membership, Connected: disconnected,
		RequestPromises: func(context.Context, leadership.Term) (bootclock.Instant, bool) { // all that the leader knows promise
			return bootclock.Now().Add(leadership.PromiseDuration), true
		}}
	led, _ := runElector(t, e)
	t.Cleanup(func() { server.Set(metastore.Fault{}) })
	return e, server, led
}

// Guards against two leaders at once: a leader without the store goes on by the promises of all
// that it knows, and a process that it does not know, and that has the store, claims.
func TestUnknownProcessDoesNotClaimBesideALeaderByPromises(t *testing.T) {
	for name, test := range map[string]struct {
		known bool
		asked units.Offset // the leader asks for a promise and has read the members below; 0 if it does not ask
		want  bool         // the other process leads
	}{"unknown": {false, 0, false}, "known": {true, 0, true}, "asked": {false, 6, true}, "asked as an earlier one": {false, 5, false}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			log := metastore.NewLog()
			own := &fakeMembership{offset: 0, readEnd: 5}
			a, connection, led := startMember(t, log, "a", own)
			term := <-led
			time.Sleep(100 * time.Millisecond)
			other := &fakeMembership{offset: 5} // registers behind what the leader has read
			if test.known {
				other.offset = 4
			}
			b, _, otherLed := startMember(t, log, "b", other)
			time.Sleep(600 * time.Millisecond) // b reads a renewal
			connection.Set(metastore.Fault{NoReply: true})
			if test.asked != 0 {
				b.ObserveKnown(term, test.asked)
			}
			select {
			case <-otherLed:
				if !test.want {
					t.Errorf("the other process leads, and the first one leads %t; want one leader", a.Leads(term))
				}
			case <-time.After(5 * time.Second):
				if test.want {
					t.Error("a process that the leader knows, and that has not promised, does not claim within 5 s")
				}
			}
		})
	}
}

// Guards against a process that leads after the leader has removed it and no longer asks it.
func TestRemovedProcessDoesNotLead(t *testing.T) {
	t.Parallel()
	membership := &fakeMembership{}
	membership.removed.Store(true)
	_, _, led := startMember(t, metastore.NewLog(), "a", membership)
	select {
	case term := <-led:
		t.Errorf("a removed process leads term %d, want none", term)
	case <-time.After(1500 * time.Millisecond):
	}
	membership.removed.Store(false)
	select {
	case <-led:
	case <-time.After(5 * time.Second):
		t.Error("nobody leads 5 s after the process is registered again")
	}
}
