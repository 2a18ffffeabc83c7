package entry

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/internal/link"
	"wasabihill.example/wasabihill/internal/roster"
	"wasabihill.example/wasabihill/internal/timeline"
	"wasabihill.example/wasabihill/internal/wire"
)

const (
	// peerTimeout bounds the request to another entry process. After it the response
	// lacks the events of that process.
	peerTimeout = time.Second
	// maxPeerEvents keeps a reply below the size limit of a link message.
	maxPeerEvents = 10_000
)

// Events implements administration.Backend. It queries all entry processes, because
// an agent sends its events to only one of them.
func (b backend) Events(ctx context.Context, accept func(timeline.Event) bool, limit int) ([]timeline.Event, error) {
	b.collectOwnEvents()
	var peers []roster.Entry
	if err := b.runOnLoop(ctx, func(c *control) { peers = append(peers, c.liveEntries...) }); err != nil {
		return nil, err
	}
	var wait sync.WaitGroup
	for _, peer := range peers {
		if peer.ID != b.Settings.ID {
			wait.Go(func() { b.collectEventsFrom(ctx, peer, limit) })
		}
	}
	wait.Wait()
	return b.collector.Events(accept, limit), nil
}

// collectOwnEvents adds the events of this process to the collected ones.
func (e *Entry) collectOwnEvents() {
	e.collector.Add(e.recorder.EventsAfter(e.collector.LastSequence(e.runID), e.Settings.Limits.TimelineEvents)...)
}

// collectEventsFrom adds the events that another entry process has collected.
func (e *Entry) collectEventsFrom(ctx context.Context, peer roster.Entry, limit int) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	session, err := link.Dial(ctx, peer.LinkAddress, nil)
	if err != nil {
		klog.V(1).InfoS("cannot connect to an entry process; its events are missing from the response", "entry", peer.ID, "err", err)
		return
	}
	defer session.Close()
	var reply wire.EventsReply
	if err := session.Call(ctx, "/link/events", &wire.EventsRequest{Limit: uint32(min(limit, maxPeerEvents))}, &reply); err != nil {
		klog.V(1).InfoS("cannot read the events of an entry process; they are missing from the response", "entry", peer.ID, "err", err)
		return
	}
	e.collector.Add(timeline.FromWire(reply.GetEvents())...)
}

// serveEvents answers POST /link/events.
func (e *Entry) serveEvents(_ context.Context, q *wire.EventsRequest) (*wire.EventsReply, error) {
	e.collectOwnEvents()
	events := e.collector.Events(nil, int(min(q.GetLimit(), maxPeerEvents)))
	return &wire.EventsReply{Events: timeline.ToWire(events)}, nil
}
