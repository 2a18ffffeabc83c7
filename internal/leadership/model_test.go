package leadership

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/pkg/units"
)

// The tests in this file check the renewals by exhaustion: a leader, a follower that claims the
// leadership, and a store that executes and answers each call at any time, or never. The
// leader's part is the product's renewalWindow. The search is breadth first, so the first trace
// found is a shortest one.

const (
	// modelTick is the step of the model's time. The lease ends between two ticks, and a claim
	// is due at a tick after it.
	modelTick = 500 * time.Millisecond
)

var (
	modelTicks = flag.Int("model.ticks", 8, "length of a schedule of the model, in steps of 500 ms")
	modelCalls = flag.Int("model.calls", 4, "calls of the leader in a schedule of the model")
)

// mutation is a fault that the model is expected to find.
type mutation string

const (
	noMutation          mutation = ""
	countsUnknown       mutation = "a renewal counts although records before it are unknown"
	countsLastCall      mutation = "a renewal that a read shows counts from its last call"
	countsForeign       mutation = "a read record counts whoever has appended it"
	claimsEarly         mutation = "a follower claims before the lease ends"
	claimsUncondition   mutation = "a claim does not expect the end of the records"
	renewsUncondition   mutation = "a renewal does not expect the end of the records"
	countsFromAnswer    mutation = "a renewal counts from its answer"
	ignoresClaimInReads mutation = "a read that shows a later claim does not end the lease"
)

// phase is how far a call has got.
type phase byte

const (
	notSent phase = iota
	onItsWay
	appended
	rejected
)

// modelCall is a call of the leader. A late one has timed out, but may still be executed.
type modelCall struct {
	renewalCall
	phase phase
	late  bool
}

// modelState is a state of the model.
type modelState struct {
	tick    int
	window  renewalWindow
	lease   bootclock.Instant // of the leader
	lost    bool              // the leader knows of a later claim
	log     string            // who has appended each record: L the leader, F the follower
	calls   []modelCall
	sent    int // calls that were sent
	read    int // records that the follower has read
	seenAt  int // tick at which it has read the last one
	claim   phase
	claimAt int
	leads   bool // the follower leads
	trace   []string
}

func (s *modelState) now() bootclock.Instant { return at(s.tick * int(modelTick/time.Millisecond)) }

// clone returns a copy to which a step is appended.
func (s *modelState) clone(format string, args ...any) *modelState {
	c := *s
	c.calls = slices.Clone(s.calls)
	c.window.inFlight = slices.Clone(s.window.inFlight)
	c.window.landed = maps.Clone(s.window.landed)
	c.window.firstSent = maps.Clone(s.window.firstSent)
	c.trace = append(slices.Clone(s.trace), fmt.Sprintf("%4.1f s  ", float64(s.tick)*modelTick.Seconds())+fmt.Sprintf(format, args...))
	return &c
}

// key identifies a state apart from its trace, by a hash that saves memory: two states in some
// millions share one with a probability below 1e-5.
func (s *modelState) key() uint64 {
	c := *s
	c.trace = nil
	return xxhash.Sum64String(fmt.Sprintf("%+v", c))
}

// violated reports whether both lead.
func (s *modelState) violated() bool { return s.leads && !s.lost && s.now().Before(s.lease) }

// next returns the states that follow.
func (s *modelState) next(m mutation) []*modelState {
	var states []*modelState
	if s.tick < *modelTicks {
		states = append(states, s.advance(m))
	}
	for i, c := range s.calls {
		switch {
		case c.phase == onItsWay:
			states = append(states, s.execute(i, m))
		case !c.late:
			states = append(states, s.answer(i, m))
		}
	}
	if !s.lost && int(s.window.end) < len(s.log) {
		states = append(states, s.readBack(m))
	}
	if s.read < len(s.log) {
		c := s.clone("the follower reads %d records", len(s.log)-s.read)
		c.read, c.seenAt = len(s.log), s.tick
		states = append(states, c)
	}
	return append(states, s.claimSteps(m)...)
}

// claimSteps returns the states that follow by a step of the follower's claim.
func (s *modelState) claimSteps(m mutation) []*modelState {
	timeout := claimTimeout
	if m == claimsEarly {
		timeout = renewInterval
	}
	switch {
	case s.leads:
	case s.claim == notSent && time.Duration(s.tick-s.seenAt)*modelTick > timeout:
		c := s.clone("the follower claims at %d", s.read)
		c.claim, c.claimAt = onItsWay, s.read
		return []*modelState{c}
	case s.claim == onItsWay:
		c := s.clone("the claim at %d is executed, the records end at %d", s.claimAt, len(s.log))
		c.claim = rejected
		if s.claimAt == len(s.log) || m == claimsUncondition {
			c.claim, c.log = appended, s.log+"F"
		}
		return []*modelState{c}
	case s.claim == appended:
		c := s.clone("the follower leads")
		c.leads = true
		return []*modelState{c}
	case s.claim == rejected:
		c := s.clone("the follower learns that its claim was rejected")
		c.claim = notSent
		return []*modelState{c}
	}
	return nil
}

// advance lets a tick pass: calls time out, and the leader sends what is due.
func (s *modelState) advance(mutation) *modelState {
	c := s.clone("")
	c.trace = s.trace
	c.tick++
	now := c.now()
	for i, call := range c.calls {
		if !call.late && now.Sub(call.sent) >= leaseDuration {
			c.calls[i].late = true
			c.window.failed(call.renewalCall, now)
		}
	}
	if c.lost || c.sent >= *modelCalls {
		return c
	}
	if due, ok := c.window.overdueAt(); ok && !now.Before(due) {
		if call, ok := c.window.repeat(now); ok {
			c.send(call, "again")
		}
	}
	if due, ok := c.window.nextSend(); ok && !now.Before(due) && c.sent < *modelCalls {
		c.send(c.window.send(now), "")
	}
	return c
}

func (s *modelState) send(call renewalCall, again string) {
	s.calls = append(s.calls, modelCall{renewalCall: call, phase: onItsWay})
	s.sent++
	s.trace = append(slices.Clone(s.trace), fmt.Sprintf("%4.1f s  the leader sends a renewal at %d %s", float64(s.tick)*modelTick.Seconds(), call.at, again))
}

func (s *modelState) execute(i int, m mutation) *modelState {
	c := s.clone("the renewal at %d is executed, the records end at %d", s.calls[i].at, len(s.log))
	c.calls[i].phase = rejected
	if int(s.calls[i].at) == len(s.log) || m == renewsUncondition {
		c.calls[i].phase, c.log = appended, s.log+"L"
	}
	if c.calls[i].late {
		c.calls = slices.Delete(c.calls, i, i+1)
	}
	return c
}

func (s *modelState) answer(i int, m mutation) *modelState {
	call := s.calls[i]
	c := s.clone("the leader learns that its renewal at %d was appended: %t", call.at, call.phase == appended)
	c.calls = slices.Delete(c.calls, i, i+1)
	if call.phase == rejected {
		c.window.failed(call.renewalCall, c.now())
		return c
	}
	until := c.window.succeeded(call.renewalCall)
	switch {
	case m == countsUnknown:
		until = call.sent.Add(leaseDuration)
	case m == countsFromAnswer && until != 0:
		until = c.now().Add(leaseDuration)
	}
	if !c.lost {
		c.lease = max(c.lease, until)
	}
	return c
}

// readBack lets the leader read the records.
func (s *modelState) readBack(m mutation) *modelState {
	c := s.clone("the leader reads to %d", len(s.log))
	if strings.Contains(s.log, "F") && m != ignoresClaimInReads && m != countsForeign {
		c.lost = true
		return c
	}
	var own []units.Offset
	last := bootclock.Instant(0)
	for offset := int(s.window.end); offset < len(s.log); offset++ {
		if s.log[offset] == 'L' || m == countsForeign {
			own = append(own, units.Offset(offset))
		}
		for _, call := range s.calls {
			if int(call.at) == offset {
				last = max(last, call.sent)
			}
		}
	}
	until := c.window.confirmed(own, units.Offset(len(s.log)))
	if m == countsLastCall && until != 0 && last != 0 {
		until = max(until, last.Add(leaseDuration))
	}
	c.lease = max(c.lease, until)
	return c
}

// explore searches all states and returns their number and the trace to the first violation.
func explore(m mutation) (states int, trace []string) {
	window := newRenewalWindow(1)
	first := &modelState{window: *window, log: "L", read: 1, lease: at(0).Add(leaseDuration)}
	seen := map[uint64]bool{first.key(): true}
	for queue := []*modelState{first}; len(queue) > 0; queue = queue[1:] {
		for _, s := range queue[0].next(m) {
			if s.violated() {
				return len(seen), s.trace
			}
			if key := s.key(); !seen[key] {
				seen[key] = true
				queue = append(queue, s)
			}
		}
	}
	return len(seen), nil
}

// Two processes must never lead at once, in whatever order the store executes and answers the
// renewals and the claim.
func TestModelHasOneLeader(t *testing.T) {
	t.Parallel()
	states, trace := explore(noMutation)
	t.Logf("%d states, %d ticks of %v, %d calls of the leader", states, *modelTicks, modelTick, *modelCalls)
	if trace != nil {
		t.Errorf("got two leaders:\n%s", strings.Join(trace, "\n"))
	}
	if states < 10_000 {
		t.Errorf("got %d states, want a search that reaches more", states)
	}
}

// The model must find known faults, or its silence says nothing.
func TestModelFindsFaults(t *testing.T) {
	t.Parallel()
	for _, m := range []mutation{countsUnknown, countsLastCall, countsForeign, claimsEarly, claimsUncondition, renewsUncondition, countsFromAnswer, ignoresClaimInReads} {
		t.Run(string(m), func(t *testing.T) {
			states, trace := explore(m)
			if trace == nil {
				t.Fatalf("got no violation in %d states, want one", states)
			}
			t.Logf("%d states, %d steps:\n%s", states, len(trace), strings.Join(trace, "\n"))
		})
	}
}
