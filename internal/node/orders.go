package node

import (
	"context"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/internal/interference"
	"wasabihill.example/wasabihill/internal/link"
	"wasabihill.example/wasabihill/internal/runner"
	"wasabihill.example/wasabihill/internal/scheduler"
	"wasabihill.example/wasabihill/internal/wire"
)

// The leader's orders for its agents. Orders that are too large for one message go in several.

// maxOrdersBytes limits the stops, the starts and the descriptions in one message. It is a part of what a
// session takes, so that an agent has a message within the timeout of a call.
const maxOrdersBytes = link.MaxMessageBytes / 4

// ordersMessage is one message of orders, with the starts in it.
type ordersMessage struct {
	*wire.Orders
	starts []runner.StartOrder
}

// ordersSplitter spreads the orders for one agent over messages.
type ordersSplitter struct {
	orders   scheduler.Orders
	messages []ordersMessage // at least one
	size     int             // of the stops, the starts and the descriptions in the last message
}

// splitOrders returns the messages for the orders, at least one. No stop waits for a start.
func splitOrders(o scheduler.Orders) []ordersMessage {
	s := ordersSplitter{orders: o}
	s.addMessage()
	s.messages[0].Pairs = estimatesToWire(o.Estimates)
	for _, stop := range o.Stops {
		order := &wire.StopOrder{Task: stop.Task.String(), Attempt: int64(stop.Attempt)}
		m := s.messageFor(order)
		m.Stops = append(m.Stops, order)
	}
	for _, start := range o.Starts {
		order := startToWire(start)
		m := s.messageFor(order)
		m.Starts, m.starts = append(m.Starts, order), append(m.starts, start)
	}
	for _, description := range o.Descriptions {
		order := startToWire(description)
		m := s.messageFor(order)
		m.Descriptions = append(m.Descriptions, order)
	}
	return s.messages
}

func (s *ordersSplitter) addMessage() {
	o := s.orders
	message := &wire.Orders{Runner: o.RunnerID, Recorded: o.DurableEnds, RecordedBornUnixMs: o.RunnerStartUnixMs}
	s.messages, s.size = append(s.messages, ordersMessage{Orders: message}), 0
}

// messageFor returns the message that has room for the order.
func (s *ordersSplitter) messageFor(order proto.Message) *ordersMessage {
	size := proto.Size(order)
	if s.size > 0 && s.size+size > maxOrdersBytes {
		s.addMessage()
	}
	s.size += size
	return &s.messages[len(s.messages)-1]
}

func startToWire(s runner.StartOrder) *wire.StartOrder {
	return &wire.StartOrder{
		Task: s.Task.String(), Attempt: int64(s.Attempt), Spec: s.Spec, Checkpoint: s.Checkpoint, Ticket: s.Ticket,
		Fills: s.BestEffort, LatencyTargetMs: s.LatencyTarget.Milliseconds(), Image: s.Image, Millicores: int64(s.Processors),
	}
}

func estimatesToWire(estimates []interference.Estimate) []*wire.PairEstimate {
	pairs := make([]*wire.PairEstimate, len(estimates))
	for i, e := range estimates {
		pairs[i] = &wire.PairEstimate{Serving: e.LatencyCriticalImage, Filling: e.BestEffortImage, LossPerCore: e.LossPerCore, Variance: e.Variance}
	}
	return pairs
}

// sendOrders sends orders to an agent in the background.
func (l *leader) sendOrders(orders scheduler.Orders) {
	a := l.agents[orders.Worker]
	if a == nil || a.session == nil {
		return
	}
	l.metrics.countOrders(len(orders.Starts), len(orders.Stops))
	session, messages := a.session, splitOrders(orders)
	for _, m := range messages {
		m.Term, m.Attachment = uint64(l.term), a.attachment
	}
	go func() {
		for _, m := range messages {
			if !l.sendMessage(a, session, m) {
				session.Close() // the reports of a new attachment show which orders were applied
				return
			}
		}
	}()
}

// sendMessage sends one message of orders and reports whether the agent has accepted it.
func (l *leader) sendMessage(a *agentConn, session *link.Session, m ordersMessage) bool {
	if !l.maySend(len(m.starts)) {
		klog.InfoS("orders are not sent: the permission for them has ended; replacing the session", "worker", a.worker, "starts", len(m.starts))
		return false
	}
	ctx, cancel := context.WithTimeout(l.ctx, callTimeout)
	defer cancel()
	reply := &wire.OrdersReply{}
	if err := session.Call(ctx, pathOrders, m.Orders, reply); err != nil {
		l.metrics.countFailedCall()
		klog.InfoS("sending orders to the agent failed; replacing the session", "worker", a.worker, "err", err)
		return false
	}
	l.enqueue(func() {
		if a.session == session {
			l.scheduler.ConfirmStarts(a.worker, m.starts, reply.GetSequence(), now())
		}
	})
	return true
}

// maySend reports whether orders with that many starts may still be sent. This process may have been
// suspended since the rules decided on them.
func (l *leader) maySend(starts int) bool {
	if starts > 0 {
		return l.mayStart(now())
	}
	return l.isLeading()
}
