package agent

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/link"
	"wasabihill.example/wasabihill/internal/pause"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/environment"
)

const (
	heartbeatInterval = 500 * time.Millisecond
	// minHeartbeatSpacing is the least average time between two heartbeats of an
	// agent. With more than four entry processes each of them receives heartbeats
	// less often, twelve every 1.3 s. At the full rate twelve cost more than twice
	// the traffic that a node may use, and an endpoint stays eligible while an
	// entry process receives a heartbeat about it within 2 s.
	minHeartbeatSpacing = 110 * time.Millisecond
	// maxBroadcastEntries is the number of entry processes up to which each report
	// goes to all of them at once.
	maxBroadcastEntries = 5
	// heartbeatTimeout bounds one heartbeat call and one dial. A session that
	// exceeds it is closed and redialed.
	heartbeatTimeout = 1500 * time.Millisecond
	minRedialBackoff = 100 * time.Millisecond
	// maxRedialBackoff is short enough for an agent to reconnect to a restarted
	// entry process within its lease.
	maxRedialBackoff = 3 * time.Second
	// entryRetention is how long an entry process is kept that is not a seed, is
	// not listed and does not answer. Entry processes consider each other failed
	// after 15 s and need not list the live ones in every reply.
	entryRetention = 35 * time.Second
	maxEntries     = 64
	// earlyHeartbeatDelay delays a heartbeat that is requested early and thus
	// bounds the rate of such heartbeats.
	earlyHeartbeatDelay = 100 * time.Millisecond
)

// entry is an entry process that the agent maintains a session with.
type entry struct {
	address string
	name    string // empty until it has answered
	seed    bool
	rank    int // position by rendezvous hashing; the events go to rank 0
	cancel  context.CancelFunc
	wake    chan struct{} // requests a heartbeat before the interval ends

	session             Session
	listedAt            time.Time
	answeredAt          time.Time // send time of the last heartbeat that was answered
	logReachable        bool
	logReadAt           time.Time // earliest time of its last read at the tail of the log
	wantRunning         bool      // the next heartbeat lists all running tasks
	wantConfig          bool      // the next heartbeat carries the document
	runningListSent     bool      // the heartbeat in flight lists them
	hasDescription      bool      // it has answered a heartbeat that listed the running tasks and so described the worker
	interferenceVersion uint64    // version that it has received
	interferenceSent    uint64    // version in the heartbeat in flight
}

// addEntry starts the goroutine that maintains a session with the address.
func (a *Agent) addEntry(address string, seed bool) {
	if a.entries[address] != nil || address == "" || len(a.entries) >= maxEntries {
		return
	}
	ctx, cancel := context.WithCancel(a.ctx)
	e := &entry{address: address, seed: seed, cancel: cancel, wake: make(chan struct{}, 1), listedAt: time.Now()}
	a.entries[address] = e
	a.rankEntries(time.Now())
	a.spawn(func() { a.maintainSession(ctx, e) })
}

// rankEntries ranks the entry processes by rendezvous hashing, those that have
// answered recently first.
func (a *Agent) rankEntries(now time.Time) {
	ordered := make([]*entry, 0, len(a.entries))
	for _, e := range a.entries {
		ordered = append(ordered, e)
	}
	unresponsive := func(e *entry) int {
		if now.Sub(e.answeredAt) < maxReplyAge {
			return 0
		}
		return 1
	}
	slices.SortFunc(ordered, func(x, y *entry) int {
		return cmp.Or(cmp.Compare(unresponsive(x), unresponsive(y)), cmp.Compare(a.rendezvousWeight(y), a.rendezvousWeight(x)), cmp.Compare(x.address, y.address))
	})
	for i, e := range ordered {
		e.rank = i
	}
}

// rendezvousWeight is the weight of the entry process for this worker in rendezvous
// hashing.
func (a *Agent) rendezvousWeight(e *entry) uint64 {
	return xxhash.Sum64String(string(a.WorkerID) + "\x00" + e.address)
}

// updateEntries adds the live entry processes that a reply lists.
func (a *Agent) updateEntries(listed []*wire.EntryAddress, now time.Time) {
	for _, l := range listed {
		if e := a.findEntry(l, now); e != nil {
			e.listedAt = now
			continue
		}
		if !a.stopping {
			a.addEntry(l.Address, false)
		}
	}
}

// requestHeartbeats requests an early heartbeat to every entry process. The end
// of a task frees resources that they can use at once, and a leaving endpoint
// must receive no new requests.
func (a *Agent) requestHeartbeats() {
	for _, e := range a.entries {
		e.requestHeartbeat()
	}
}

// requestHeartbeat requests an early heartbeat to e.
func (e *entry) requestHeartbeat() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// launcherOnlyPeriod is how long the report of a task goes only to the entry
// process that launched it. The others act on a report only after 3 s, and at one
// start per second the reports to all twelve entry processes cost more than the
// heartbeats.
const launcherOnlyPeriod = 2 * time.Second

// launchingEntry returns the entry process that launched the task. It returns nil
// if the report must go to all of them, because there are few or because the
// launching one has not answered recently.
func (a *Agent) launchingEntry(t *task, now time.Time) *entry {
	if len(a.entries) <= maxBroadcastEntries || t.launchedBy == "" {
		return nil
	}
	for _, e := range a.entries {
		if e.name == t.launchedBy && e.session != nil && now.Sub(e.answeredAt) < maxReplyAge {
			return e
		}
	}
	return nil
}

// shouldReport reports whether a heartbeat to e carries the report of t.
func (a *Agent) shouldReport(e *entry, t *task, now time.Time) bool {
	launcher := a.launchingEntry(t, now)
	return launcher == nil || launcher == e || now.Sub(t.reportPendingSince) > launcherOnlyPeriod
}

// requestHeartbeatAfterEnd requests an early heartbeat to the entry process that
// launched the ended task. The others receive the freed resources with their next
// regular heartbeat.
func (a *Agent) requestHeartbeatAfterEnd(t *task, now time.Time) {
	launcher := a.launchingEntry(t, now)
	if launcher == nil {
		a.requestHeartbeats()
		return
	}
	launcher.requestHeartbeat()
}

// findEntry returns the state of a listed entry process. It matches the address,
// or the name if a seed address reaches the same process under another address.
func (a *Agent) findEntry(l *wire.EntryAddress, now time.Time) *entry {
	if e := a.entries[l.Address]; e != nil {
		return e
	}
	for _, e := range a.entries {
		if l.Entry != "" && e.name == l.Entry && now.Sub(e.answeredAt) < maxReplyAge {
			return e
		}
	}
	return nil
}

// removeStaleEntries removes the entry processes that are not seeds and have been
// neither listed nor responsive for entryRetention, and ends their sessions.
func (a *Agent) removeStaleEntries(now time.Time) {
	for address, e := range a.entries {
		if !e.seed && now.Sub(e.listedAt) > entryRetention && now.Sub(e.answeredAt) > entryRetention {
			e.cancel()
			delete(a.entries, address)
		}
	}
	a.rankEntries(now)
}

func (a *Agent) openSessions() []Session {
	var open []Session
	for _, e := range a.entries {
		if e.session != nil {
			open = append(open, e.session)
		}
	}
	return open
}

// maintainSession dials the entry process with backoff and jitter and sends
// heartbeats until ctx ends.
func (a *Agent) maintainSession(ctx context.Context, e *entry) {
	backoff := minRedialBackoff
	for ctx.Err() == nil {
		dialing, cancel := context.WithTimeout(ctx, heartbeatTimeout)
		session, err := a.dial(dialing, e.address)
		cancel()
		if err == nil {
			if a.sendHeartbeats(ctx, e, session) {
				backoff = minRedialBackoff
			}
			if a.drainingSessions.Load() {
				return // drain closes the session once its requests are answered
			}
			session.Close()
		}
		if !pause.For(ctx, backoff/2+rand.N(backoff)) {
			return
		}
		backoff = min(2*backoff, maxRedialBackoff)
	}
}

// sendHeartbeats sends heartbeats on one session until one of them is not
// answered. It reports whether any of them was.
func (a *Agent) sendHeartbeats(ctx context.Context, e *entry, session Session) (answered bool) {
	if !a.post(func() { e.session, e.wantRunning, e.hasDescription, e.interferenceVersion = session, true, false, 0 }) {
		return false
	}
	defer a.post(func() {
		if e.session == session {
			e.session = nil
		}
	})
	for ctx.Err() == nil && !isClosed(session.Done()) {
		interval, err := a.sendHeartbeat(ctx, e, session)
		if err != nil && !fault.Is(err, link.Rejected) {
			return answered
		}
		answered = answered || err == nil
		timer := time.NewTimer(interval - interval/10 + rand.N(interval/5))
		select {
		case <-timer.C:
		case <-e.wake:
			pause.For(ctx, earlyHeartbeatDelay)
		case <-session.Done():
		case <-ctx.Done():
		}
		timer.Stop()
	}
	return answered
}

// outgoingHeartbeat is a heartbeat in flight.
type outgoingHeartbeat struct {
	message  *wire.Heartbeat
	reports  []sentReport
	sent     time.Time
	interval time.Duration // until the next heartbeat
}

// sendHeartbeat sends one heartbeat, applies its reply, and returns the interval until
// the next heartbeat.
func (a *Agent) sendHeartbeat(ctx context.Context, e *entry, session Session) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	b, err := runOnLoop(ctx, a, func() (outgoingHeartbeat, error) {
		b := outgoingHeartbeat{sent: time.Now(), interval: max(heartbeatInterval, minHeartbeatSpacing*time.Duration(len(a.entries)))}
		b.message, b.reports = a.composeHeartbeat(e, b.sent)
		return b, nil
	})
	if err != nil {
		return heartbeatInterval, err
	}
	reply := &wire.HeartbeatReply{}
	if err := session.Call(ctx, "/link/heartbeat", b.message, reply); err != nil {
		return b.interval, err
	}
	var document *environment.Document
	var parseErr error
	if len(reply.ConfigDocument) > 0 {
		document, parseErr = a.parse(reply.ConfigOffset, reply.ConfigDocument)
	}
	_, err = runOnLoop(ctx, a, func() (struct{}, error) {
		a.applyReply(e, reply, document, parseErr, b.sent, b.reports)
		return struct{}{}, nil
	})
	return b.interval, err
}
