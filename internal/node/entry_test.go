package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/durable"
	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/leadership"
	"wasabihill.example/wasabihill/internal/link"
	"wasabihill.example/wasabihill/internal/operations"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

// An entry process whose readiness address is taken must not keep the client address:
// clients would connect to a listener that nobody serves.
func TestFailedReadinessListenerFreesClientAddress(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	clients := free.Addr().String()
	free.Close()
	e := &Entry{Settings: &Settings{Name: "e", ClientAddress: clients, ReadinessAddress: taken.Addr().String()}, Operations: &operations.Follower{},
		ClientHandler: func(*Entry) http.Handler { return nil }, ReadinessHandler: func(*Entry) http.Handler { return nil }}
	if err := e.Run(context.Background()); err == nil {
		t.Fatal("Run with a taken readiness address: got no error, want one")
	}
	again, err := net.Listen("tcp", clients)
	if err != nil {
		t.Fatalf("client address after Run has failed: got %v, want it free", err)
	}
	again.Close()
}

// A request that the previous leader is about to answer must get that answer when another
// process becomes leader. When the session was closed at once, its client was told that
// the outcome is unknown although the job had been accepted.
func TestRequestInFlightOutlivesChangeOfLeader(t *testing.T) {
	arrived := make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc(pathClient, link.Handle(func(context.Context, *wire.ClientCall) (*wire.ClientReply, error) {
		close(arrived)
		time.Sleep(100 * time.Millisecond)
		return Reply{Outcome: Accepted}.toWire(), nil
	}))
	listener := &link.Listener{Address: "127.0.0.1:0", Handler: mux}
	address, err := listener.Listen()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	ended := make(chan error, 1)
	go func() { ended <- runListener(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	session, err := link.Dial(ctx, address.String(), nil)
	if err != nil {
		t.Fatal(err)
	}
	e := &Entry{Settings: &Settings{Name: "e"}, metrics: newMetrics(nil), session: session}
	replies := make(chan Reply, 1)
	go func() { replies <- e.Serve(ctx, Request{Verb: Submit, ID: "j"}) }()
	<-arrived
	e.followLeader(leadership.Leader{Name: "e", Term: 2}) // this process, so that it dials nobody
	if got := <-replies; got.Outcome != Accepted {
		t.Errorf("outcome of the request in flight: got %s (%s), want %s", got.Outcome, got.Reason, Accepted)
	}
	select {
	case <-session.Done():
	case <-time.After(2 * sessionShutdownTimeout):
		t.Errorf("session to the previous leader: open after %v, want it closed", 2*sessionShutdownTimeout)
	}
}

// claimStore is a store in which the first claim of the leadership succeeds at once.
type claimStore struct{ durable.Store }

func (claimStore) Range(context.Context, durable.Topic) (first, end units.Offset, err error) {
	return 0, 0, nil
}

// Read returns no records: the process is the only one.
func (claimStore) Read(context.Context, durable.Topic, bool, units.Offset, time.Duration) (durable.Batch, error) {
	return durable.Batch{}, nil
}

func (claimStore) Append(context.Context, durable.AppendRequest) (units.Offset, error) { return 0, nil }

// servePromises starts a process p that promises everything and knows the given term, and
// returns its address.
func servePromises(t *testing.T, knownTerm uint64) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc(pathSupport, link.Handle(func(context.Context, *wire.SupportRequest) (*wire.SupportReply, error) {
		return &wire.SupportReply{Promised: true, Term: knownTerm, Name: "p"}, nil
	}))
	listener := &link.Listener{Address: "127.0.0.1:0", Handler: mux}
	address, err := listener.Listen()
	if err != nil {
		t.Fatal(err)
	}
	runUntilCleanup(t, func(ctx context.Context) error { return runListener(ctx, listener) })
	return address.String()
}

// runUntilCleanup runs fn in the background until the test ends.
func runUntilCleanup(t *testing.T, fn func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- fn(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
}

// A leader whose lease has ended must not lead again by the promise of a process that has
// restarted and read nothing: its earlier incarnation may have led a later term, and its
// next one would claim at once.
func TestEndedLeaseIsNotRenewedByPromiseOfRestartedProcess(t *testing.T) {
	for _, test := range []struct {
		name      string
		leads     bool
		knownTerm uint64
		want      bool
	}{
		{"valid lease, restarted process", true, 0, true},
		{"ended lease, restarted process", false, 0, false},
		{"ended lease, process that knows the term", false, 1, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			e := &Entry{Settings: &Settings{Name: "e"}, peers: peers{"p": {address: servePromises(t, test.knownTerm)}}}
			leads := make(chan struct{}, 1)
			e.elector = &leadership.Elector{Store: claimStore{}, Name: "e", FirstStart: true, RunLeader: func(ctx context.Context, _ leadership.Term) {
				leads <- struct{}{}
				<-ctx.Done()
			}}
			if test.leads {
				runUntilCleanup(t, e.elector.Run)
				<-leads
			}
			if _, got := e.requestPromises(context.Background(), 1); got != test.want {
				t.Errorf("promises count: got %t, want %t", got, test.want)
			}
		})
	}
}

// A leader without the store must not lead on unless every registered process has
// promised. One that does not answer may be cut off and have the store, so it prevents
// promises even if its machine is gone for good.
func TestPromisesNeedEveryRegisteredProcess(t *testing.T) {
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	gone.Close()
	e := &Entry{Settings: &Settings{Name: "e"}, peers: peers{"p": {address: servePromises(t, 1)}}, elector: &leadership.Elector{}}
	if _, ok := e.requestPromises(context.Background(), 1); !ok {
		t.Error("promises count: got false, want true, as all processes answer")
	}
	e.handleMember(member{role: RoleEntry, name: "gone", address: gone.Addr().String()})
	if _, ok := e.requestPromises(context.Background(), 1); ok {
		t.Error("promises count: got true, want false, as a registered process does not answer")
	}
}

// Guards against requests that are refused during a planned change of leader, which takes less
// time than their callers wait before they come back, and against refusals that come late.
func TestRequestWaitsForAPlannedChangeOfLeader(t *testing.T) {
	for name, test := range map[string]struct {
		after time.Duration // until a process leads; 0 for never
		want  Outcome
	}{"planned change": {150 * time.Millisecond, JobNotFound}, "no leader": {0, Unavailable}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := &Entry{Settings: &Settings{Name: "e"}, metrics: newMetrics(nil)}
			if test.after != 0 {
				time.AfterFunc(test.after, func() { leadUntilStopped(t, e, &keyedStore{}) })
			}
			begin := time.Now()
			reply := e.Serve(t.Context(), Request{Verb: Lookup, ID: "j"})
			if reply.Outcome != test.want {
				t.Errorf("got %s (%s), want %s", reply.Outcome, reply.Reason, test.want)
			}
			if took, limit := time.Since(begin), leaderWait+200*time.Millisecond; took > limit {
				t.Errorf("answered after %v, want at most %v", took, limit)
			}
		})
	}
}

// Guards against a submission that is tried again although it may have had an effect.
func TestUndecidedRequestIsNotTriedAgain(t *testing.T) {
	if reply := replyFailedCall(Request{Verb: Submit}, errors.New("no answer")); reply.awaitsLeader || reply.Outcome != Unknown {
		t.Errorf("submission without an answer: got %+v, want %s and no other try", reply, Unknown)
	}
	if reply := replyFailedCall(Request{Verb: Submit}, fault.New("call", link.NotSent, "no session")); !reply.awaitsLeader || reply.Outcome != Unavailable {
		t.Errorf("submission that was not sent: got %+v, want %s and another try", reply, Unavailable)
	}
}
