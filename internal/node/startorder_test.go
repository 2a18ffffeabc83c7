package node

import (
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/runner"
	"wasabihill.example/wasabihill/internal/scheduler"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/internal/workflow"
)

// The acknowledgement of orders names the agent's last report before it has accepted all of
// them. With the number of an earlier one, the leader takes a report that was made between
// two orders for one that decides on the second, and starts its task elsewhere.
func TestAcknowledgementCoversReportMadeBetweenTwoOrders(t *testing.T) {
	a := &Agent{Controller: &runner.Controller{}, ctx: t.Context(), metrics: newMetrics(nil)}
	made := uint64(0)
	a.Controller.OnChange = func() { // called when the first order is rejected, as there is no runner
		if made == 0 {
			report, _ := a.Controller.Report()
			made = report.GetSequence()
		}
	}
	orders := &wire.Orders{Starts: []*wire.StartOrder{{Task: "0000000000000001.0.0.0", Attempt: 1}, {Task: "0000000000000001.0.0.1", Attempt: 1}}}
	reply, err := a.handleOrders(t.Context(), orders)
	if err != nil || made == 0 || reply.GetSequence() < made {
		t.Errorf("acknowledged number: got %d, error %v; want at least %d, of the report made between the orders", reply.GetSequence(), err, made)
	}
}

// A leader must number the attempts of recovered tasks above those of its predecessors,
// which takes the term that it was elected for.
func TestRecoveredTaskGetsAttemptOfTheTerm(t *testing.T) {
	const term = 7
	l := recoverTerm(t, newStoreWithAbsentAgent(t), term, 0)
	at := now()
	at.Boot = at.Boot.Add(grantDuration + grantMargin + time.Second)
	l.scheduler.Tick(at, true)
	var attempts []workflow.Attempt
	for _, orders := range l.scheduler.TakeOrders() {
		for _, start := range orders.Starts {
			attempts = append(attempts, start.Attempt)
		}
	}
	if len(attempts) != 1 || attempts[0] <= term {
		t.Errorf("attempts of the recovered task in term %d: got %v, want one above those of earlier terms", term, attempts)
	}
}

// A start that is decided on while the lease of the leader ends must not be sent once the
// process leads again: the zone may have been taken out of service meanwhile.
func TestStartIsNotSentAfterTheLeaseHasEnded(t *testing.T) {
	l := startTerm(t, &slowStore{})
	l.scheduler.Attach("w", now())
	l.scheduler.ApplyReport("w", deskReport(), now())
	l.scheduler.ExtendLease("w", deskReport(), now())
	l.scheduler.Accept(&workflow.Job{ID: "j", Queue: "q", Steps: []workflow.Step{{Count: 1}}, Submitted: time.Now()}, workflow.Policy{Service: "desk"}, now())
	l.scheduler.Tick(now(), true)
	l.isLeading = func() bool { return false }
	if err := l.tick(); err != nil {
		t.Fatal(err)
	}
	l.isLeading = func() bool { return true }
	for _, orders := range l.scheduler.TakeOrders() {
		if len(orders.Starts) != 0 {
			t.Errorf("starts of the time without a lease: got %v, want none", orders.Starts)
		}
	}
}

// Orders that an agent may not have received are decided on by the next session. If the
// session went on after a failed call, its tasks would count as starting for ever.
func TestFailedOrdersEndTheSession(t *testing.T) {
	_, address := testAgent(t)
	session := attachTo(t, address, func(*wire.WorkerReport) (*wire.ReportReply, error) { return &wire.ReportReply{}, nil })
	l := startTerm(t, &slowStore{})
	l.agents["w"] = &agentConn{worker: "w", attachment: 99, session: session} // an attachment that the agent does not know
	l.sendOrders(scheduler.Orders{Worker: "w"})
	select {
	case <-session.Done():
	case <-time.After(5 * time.Second):
		t.Error("session is still open 5s after orders that the agent has rejected, want it closed")
	}
}
