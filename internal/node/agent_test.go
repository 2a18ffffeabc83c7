package node

import (
	"context"
	"net/http"
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/link"
	"wasabihill.example/wasabihill/internal/runner"
	"wasabihill.example/wasabihill/internal/wire"
)

// testAgent serves an agent's sessions and reports; the leader is the test's.
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
	if err := session.Call(ctx, pathAttach, &wire.Attach{Term: 3, Leader: "leader", Attachment: 1}, &wire.OrdersReply{}); err != nil {
		t.Fatal(err)
	}
	return session
}

// An agent whose report is refused must end the session, so that the leader
// attaches again. Forgetting the session alone left both sides waiting, and
// the runs' leases ended.
func TestRefusedReportEndsSession(t *testing.T) {
	_, address := testAgent(t)
	session := attachTo(t, address, func(*wire.WorkerReport) (*wire.ReportReply, error) { return nil, errTermEnded })
	select {
	case <-session.Done():
	case <-time.After(5 * time.Second):
		t.Error("session goes on after a refused report, want its end")
	}
}

// A leader that is not certain to lead takes reports without granting time;
// the agent must stay attached and go on reporting.
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
			t.Fatal("session has ended, want it to go on")
		case <-time.After(5 * time.Second):
			t.Fatal("no report within 5s")
		}
	}
}

// Orders of an earlier attachment must not be carried out after a later one:
// the leader has taken their tasks back.
func TestOrdersOfEarlierAttachmentAreRefused(t *testing.T) {
	a, address := testAgent(t)
	grant := func(*wire.WorkerReport) (*wire.ReportReply, error) { return &wire.ReportReply{Granted: true}, nil }
	first := attachTo(t, address, grant)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if _, err := a.handleAttach(ctx, &wire.Attach{Term: 3, Leader: "leader", Attachment: 2}); err != nil {
		t.Fatal(err)
	}
	err := first.Call(ctx, pathOrders, &wire.Orders{Term: 3, Attachment: 1}, &wire.OrdersReply{})
	if err == nil {
		t.Error("orders of attachment 1 were taken after attachment 2, want a refusal")
	}
	if _, err := a.handleAttach(ctx, &wire.Attach{Term: 2, Leader: "old", Attachment: 9}); err == nil {
		t.Error("an earlier term attached, want a refusal")
	}
}
