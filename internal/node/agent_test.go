package node

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/link"
	"wasabihill.example/wasabihill/internal/runner"
	"wasabihill.example/wasabihill/internal/wire"
)

// testAgent runs an agent's listener and report loop. The test acts as the
// leader.
func testAgent(t *testing.T) (a *Agent, address string) {
	a = &Agent{Settings: &Settings{Name: "agent"}, Controller: &runner.Controller{}, changed: make(chan struct{}, 1), metrics: newMetrics(nil)}
	ctx, cancel := context.WithCancel(context.Background())
	a.ctx, a.Controller.OnChange = ctx, a.notify
	listener := &link.Listener{Address: "127.0.0.1:0", Handler: a.routes()}
	bound, err := listener.Listen()
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 2)
	go func() { ended <- runListener(ctx, listener) }()
	go func() { ended <- a.runReports(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-ended
		<-ended
	})
	return a, bound.String()
}

// attachTo connects to the agent as a leader, attaches and serves its reports
// with report.
func attachTo(t *testing.T, address string, report func(*wire.WorkerReport) (*wire.ReportReply, error)) *link.Session {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc(pathReport, link.Handle(func(_ context.Context, in *wire.WorkerReport) (*wire.ReportReply, error) { return report(in) }))
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	session, err := link.Dial(ctx, address, mux)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(session.Close)
	if err := session.Call(ctx, pathAttach, &wire.Attach{Term: 3, Leader: "leader", Attachment: 1, Worker: "agent"}, &wire.OrdersReply{}); err != nil {
		t.Fatal(err)
	}
	return session
}

// An agent whose report is rejected must close the session, so that the leader
// attaches again. When it only cleared its reference, both sides waited and the
// leases of the runs expired.
func TestRejectedReportEndsSession(t *testing.T) {
	_, address := testAgent(t)
	attached := make(chan struct{}) // the agent may report before its reply to the attach call has left
	session := attachTo(t, address, func(*wire.WorkerReport) (*wire.ReportReply, error) {
		<-attached
		return nil, errTermEnded
	})
	close(attached)
	select {
	case <-session.Done():
	case <-time.After(5 * time.Second):
		t.Error("session is still open 5s after a rejected report, want it closed")
	}
}

// A leader that is unsure of its leadership accepts reports without a grant.
// The agent must stay attached and continue to report.
func TestReportWithoutGrantKeepsSession(t *testing.T) {
	_, address := testAgent(t)
	reports := make(chan struct{}, 16)
	session := attachTo(t, address, func(*wire.WorkerReport) (*wire.ReportReply, error) {
		reports <- struct{}{}
		return &wire.ReportReply{}, nil
	})
	for range 2 {
		select {
		case <-reports:
		case <-session.Done():
			t.Fatal("session ended after a report without a grant, want it open")
		case <-time.After(5 * time.Second):
			t.Fatal("no report within 5s")
		}
	}
}

// Orders of an earlier attachment must not be applied after a later one: the
// leader has already withdrawn their tasks.
func TestOrdersOfEarlierAttachmentAreRejected(t *testing.T) {
	a, address := testAgent(t)
	grant := func(*wire.WorkerReport) (*wire.ReportReply, error) { return &wire.ReportReply{Granted: true}, nil }
	first := attachTo(t, address, grant)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if _, err := a.handleAttach(ctx, &wire.Attach{Term: 3, Leader: "leader", Attachment: 2, Worker: "agent"}); err != nil {
		t.Fatal(err)
	}
	err := first.Call(ctx, pathOrders, &wire.Orders{Term: 3, Attachment: 1}, &wire.OrdersReply{})
	if err == nil {
		t.Error("orders of attachment 1 were applied after attachment 2, want a rejection")
	}
	if _, err := a.handleAttach(ctx, &wire.Attach{Term: 2, Leader: "old", Attachment: 9, Worker: "agent"}); err == nil {
		t.Error("term 2 attached after term 3, want a rejection")
	}
}

// An agent that can't listen for the leader must say so. When it ended without an error, its
// process exited as after a planned stop.
func TestAgentReturnsTheErrorOfItsListener(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	settings := &Settings{Name: "agent", HeartbeatAddress: "127.0.0.1:0"}
	settings.IP, settings.FirstPort = "127.0.0.1", taken.Addr().(*net.TCPAddr).Port
	a := &Agent{Settings: settings, Store: claimStore{}, Controller: &runner.Controller{}, HeartbeatHandler: http.NotFoundHandler()}
	if err := a.Run(t.Context()); err == nil {
		t.Error("Run with a taken address: got no error, want one")
	}
}
