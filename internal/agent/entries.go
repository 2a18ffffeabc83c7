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
	// heartbeatSpacing is the least time between two heartbeats of an agent on
	// average. Above four entries each gets them less often, twelve every 1.3 s:
	// at full rate they cost more than twice the traffic that a node may use, and
	// an endpoint stays eligible while an entry hears of it within 2 s.
	minHeartbeatSpacing = 110 * time.Millisecond
	// fewEntries is up to how many entries every one of them gets each report
	// at once.
	maxBroadcastEntries = 5
	// heartbeatTimeout is when a silent session is given up and redialled.
	heartbeatTimeout = 1500 * time.Millisecond
	minRedialBackoff = 100 * time.Millisecond
	// longestBackoff lets an agent find a returned entry within its lease.
	maxRedialBackoff = 3 * time.Second
	// forgetEntry is how long an entry that is neither a seed nor listed nor
	// answering is kept; entries count as dead after 15 s themselves, and need
	// not list the live ones in every reply.
	entryRetention = 35 * time.Second
	maxEntries     = 64
	// urgentInterval is the least time between heartbeats that are sent early.
	earlyHeartbeatDelay = 100 * time.Millisecond
)

// entry is one entry process that the agent keeps a session with.
type entry struct {
	address string
	name    string // of the entry process, once it has answered
	seed    bool
	rank    int // by hash of worker and address, 0 first to get what must be acted on
	cancel  context.CancelFunc
	wake    chan struct{} // asks for a heartbeat before the interval is over

	session                 Session
	listedAt                time.Time
	answeredAt              time.Time // send time of the last heartbeat that was answered
	logReachable            bool
	logReadAt               time.Time // when the entry last read the tail of the log, at the earliest
	wantRunning             bool      // the next heartbeat lists all running tasks
	wantConfig              bool      // the next heartbeat carries the document
	runningListSent         bool      // the heartbeat that is out lists them
	descriptionAcknowledged bool      // has answered a heartbeat with the fields that rarely change
	interferenceVersion     uint64    // version that the entry has
	interferenceSent        uint64    // version in the heartbeat that is out
}

// addEntry starts the goroutine that keeps a session with the address.
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

// rankEntries orders the entries by rendezvous hashing, those that answer first.
func (a *Agent) rankEntries(now time.Time) {
	ordered := make([]*entry, 0, len(a.entries))
	for _, e := range a.entries {
		ordered = append(ordered, e)
	}
	unresponsive := func(e *entry) int {
		if now.Sub(e.answeredAt) < maxAnswerAge {
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

func (a *Agent) rendezvousWeight(e *entry) uint64 {
	return xxhash.Sum64String(string(a.WorkerID) + "\x00" + e.address)
}

// learnEntries takes in the live entries that a reply lists.
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

// beatEarly sends a heartbeat to every entry without waiting for the interval:
// the end of a task frees room that the entries can use at once, and an endpoint
// that leaves must get no new requests.
func (a *Agent) requestHeartbeats() {
	for _, e := range a.entries {
		e.requestHeartbeat()
	}
}

func (e *entry) requestHeartbeat() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// reportElsewhere is how long the report of a task goes only to the entry that
// launched it. Others act on a report only after 3 s, and sent to all twelve
// entries the reports of one start a second cost more than the heartbeats.
const launcherOnlyPeriod = 2 * time.Second

// launcher returns the entry that launched the task, or nil when all entries
// are to hear of it: there are few, or that one has not answered recently.
func (a *Agent) launchingEntry(t *task, now time.Time) *entry {
	if len(a.entries) <= maxBroadcastEntries || t.launchedBy == "" {
		return nil
	}
	for _, e := range a.entries {
		if e.name == t.launchedBy && e.session != nil && now.Sub(e.answeredAt) < maxAnswerAge {
			return e
		}
	}
	return nil
}

// reportsTo reports whether a heartbeat to e carries the report of t.
func (a *Agent) shouldReport(e *entry, t *task, now time.Time) bool {
	launcher := a.launchingEntry(t, now)
	return launcher == nil || launcher == e || now.Sub(t.reportPendingSince) > launcherOnlyPeriod
}

// beatAfterEnd sends the end of a task early to the entry that launched it; the
// others learn of the free room with their next heartbeat.
func (a *Agent) requestHeartbeatAfterEnd(t *task, now time.Time) {
	launcher := a.launchingEntry(t, now)
	if launcher == nil {
		a.requestHeartbeats()
		return
	}
	launcher.requestHeartbeat()
}

// known returns the row of a listed entry: by its address, or by its name where
// a seed address reaches it under another one.
func (a *Agent) findEntry(l *wire.EntryAddress, now time.Time) *entry {
	if e := a.entries[l.Address]; e != nil {
		return e
	}
	for _, e := range a.entries {
		if l.Entry != "" && e.name == l.Entry && now.Sub(e.answeredAt) < maxAnswerAge {
			return e
		}
	}
	return nil
}

// dropEntries ends the sessions of entries that are gone.
func (a *Agent) removeGoneEntries(now time.Time) {
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

// keepSession dials the entry with backoff and jitter and sends heartbeats
// until ctx ends.
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
				return // drain ends the session when its requests are answered
			}
			session.Close()
		}
		if !pause.For(ctx, backoff/2+rand.N(backoff)) {
			return
		}
		backoff = min(2*backoff, maxRedialBackoff)
	}
}

// beatUntilSilent sends heartbeats on one session until one is not answered, and reports
// whether any was.
func (a *Agent) sendHeartbeats(ctx context.Context, e *entry, session Session) (answered bool) {
	if !a.post(func() {
		e.session, e.wantRunning, e.descriptionAcknowledged, e.interferenceVersion = session, true, false, 0
	}) {
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

// beat is one heartbeat on its way.
type outgoingHeartbeat struct {
	message  *wire.Heartbeat
	reports  []sentReport
	sent     time.Time
	interval time.Duration // until the next one
}

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
