package entry

import (
	"context"
	"slices"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/internal/ledger"
	"wasabihill.example/wasabihill/internal/link"
	"wasabihill.example/wasabihill/internal/roster"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

const (
	tickInterval     = 50 * time.Millisecond
	announceInterval = 5 * time.Second
	// proposalWait is how long a proposed entry is given to appear in the fold
	// before it is proposed again; a group commit takes well under a second
	// while the log answers.
	proposalRetryDelay = 2 * time.Second
	// heardWithin is the age of a heartbeat up to which a worker gets new tasks:
	// two missed heartbeats of 500 ms and one late one.
	maxHeartbeatAge = 2 * time.Second
)

// workerRow is what this process knows of a worker from heartbeats.
type workerState struct {
	id              units.WorkerID
	session         *link.Session
	heartbeat       *wire.Heartbeat // the newest
	lastHeartbeatAt time.Time
	// running holds the attempts of the newest full list; valid for epoch
	// runningEpoch only.
	runningAttempts   map[units.Task]units.Attempt
	runningEpoch      units.Epoch
	runningListedAt   time.Time // when that list arrived
	reportedSilent    bool      // already reported as silent
	callInFlightUntil time.Time // until when a launch or stop call may be on its way
	retryAt           time.Time
	sentEntryList     *ownership // whose list of entry processes the agent has, and since when
	sentEntryListAt   time.Time
}

func (w *workerState) holder() ledger.Holder {
	return ledger.Holder{Worker: w.id, Epoch: units.Epoch(w.heartbeat.GetEpoch())}
}

func (w *workerState) reachable(now time.Time) bool {
	return w.session != nil && now.Sub(w.lastHeartbeatAt) < maxHeartbeatAge
}

// control is the state of the control loop. One goroutine owns it.
type control struct {
	*Entry
	workers                 map[units.WorkerID]*workerState
	liveness                roster.Liveness
	liveEntries             []roster.Entry
	membersOutbox           outbox
	jobsOutbox              outbox
	nextAnnounceAt          time.Time                        // next announcement
	nextWatcherCheckAt      time.Time                        // next comparison of the document's watchers with the ledger
	lessorEndedSince        map[roster.Holder]time.Time      // workers whose lessor has ended, since when that is known
	requestedSince          map[roster.Holder]time.Time      // epochs that wait for a registration or a lessor, since when
	unknownJobSince         map[units.JobID]time.Time        // jobs in reports that the ledger does not hold, first seen
	missingAttempts         map[attemptKey]missingAttempt    // attempts that newest full lists do not hold
	nextReconcileAt         time.Time                        // next comparison of full lists with the ledger
	registeredWorkers       map[units.WorkerID]roster.Worker // as of registeredAt in the members stream
	registeredWorkersOffset units.Offset
	nextLessorCheckAt       time.Time // next look for workers whose lessor has ended
	planner                 planner
	counters                controlCounters
	logWasReachable         bool
}

type controlCounters struct {
	heartbeats, proposals, launches, rejections, releases, expiries tally.Counter
	workers, waiting, open                                          tally.Gauge
}

func newControl(e *Entry) *control {
	s := e.MetricsScope.SubScope("entry")
	return &control{
		Entry:            e,
		workers:          make(map[units.WorkerID]*workerState),
		membersOutbox:    newOutbox(e.writers.members),
		jobsOutbox:       newOutbox(e.writers.jobs),
		lessorEndedSince: make(map[roster.Holder]time.Time),
		requestedSince:   make(map[roster.Holder]time.Time),
		unknownJobSince:  make(map[units.JobID]time.Time),
		planner:          newPlanner(),
		logWasReachable:  true,
		counters: controlCounters{
			heartbeats: s.Counter("heartbeats"), proposals: s.Counter("proposals"),
			launches: s.Counter("launches"), rejections: s.Counter("launch_rejections"),
			releases: s.Counter("releases"), expiries: s.Counter("lease_expiries"),
			workers: s.Gauge("workers"), waiting: s.Gauge("tasks_waiting"), open: s.Gauge("tasks_open"),
		},
	}
}

// run owns the control state until ctx ends.
func (c *control) run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case call := <-c.loopCalls:
			call(c)
		case <-ticker.C:
			c.tick(ctx, time.Now())
		}
	}
}

// systems run in this order each tick: what is known first, then what follows
// from it.
var tickSteps = []struct {
	name string
	run  func(*control, time.Time)
}{
	{"membership", (*control).updateMembership},
	{"document", (*control).updateDocument},
	{"silence", (*control).findSilentWorkers},
	{"expiry", (*control).expireLesseesOfEndedLessors},
	{"release", (*control).releaseEndedEpochs},
	{"reconcile", (*control).reconcile},
	{"watchers", (*control).reconcileWatchers},
	{"placement", (*control).placeTasks},
	{"launch", (*control).launchTasks},
}

func (c *control) tick(ctx context.Context, now time.Time) {
	if c.config.Applied() == 0 && c.config.Staleness(now) > time.Hour {
		return // nothing has been read yet
	}
	for _, s := range tickSteps {
		s.run(c, now)
	}
	c.membersOutbox.flush(ctx)
	c.jobsOutbox.flush(ctx)
	c.counters.workers.Update(float64(len(c.workers)))
	c.recordLogState(now)
}

// reportLog records each change between a reachable and an unreachable log.
func (c *control) recordLogState(now time.Time) {
	reachable := c.logReachable(now)
	if reachable == c.logWasReachable {
		return
	}
	c.logWasReachable = reachable
	kind, text := "logUnreachable", "no batch task starts until the log answers; requests and running tasks go on"
	if reachable {
		kind, text = "logReachable", "the log answers again"
	}
	klog.InfoS("log service changed state", "reachable", reachable)
	c.event("log", kind, c.config.Stream, text, "")
}

// updateMembership announces this process and follows which others are alive.
func (c *control) updateMembership(now time.Time) {
	c.members.View(func(r *roster.Roster) {
		c.liveness.Update(r, now)
		c.liveEntries = c.liveness.Live(r, now)
	})
	ids := make([]units.EntryID, 0, len(c.liveEntries)+1)
	for _, l := range c.liveEntries {
		ids = append(ids, l.ID)
	}
	if !slices.Contains(ids, c.Settings.ID) {
		ids = append(ids, c.Settings.ID)
		slices.Sort(ids)
	}
	if current := c.ownership.Load(); !slices.Equal(current.live, ids) {
		c.ownership.Store(newOwnership(c.Settings.ID, ids))
		klog.InfoS("entry processes changed", "live", ids)
		c.event("entry", "members", string(c.Settings.ID), joinIDs(ids), "")
	}
	if !now.Before(c.nextAnnounceAt) && !c.draining.Load() {
		c.nextAnnounceAt = now.Add(announceInterval)
		c.membersOutbox.add("announce", now, roster.EncodeEntryAnnounced(roster.Entry{
			ID: c.Settings.ID, LinkAddress: c.Settings.AdvertisedLinkAddress.String(),
			Domain: c.Settings.FailureDomain, Region: c.Settings.Region,
		}))
	}
}

func joinIDs(ids []units.EntryID) string {
	text := ""
	for i, id := range ids {
		if i > 0 {
			text += ", "
		}
		text += string(id)
	}
	return text
}

// findSilentWorkers reports workers whose heartbeats stopped and forgets those
// that have been silent for long.
func (c *control) findSilentWorkers(now time.Time) {
	for id, w := range c.workers {
		switch age := now.Sub(w.lastHeartbeatAt); {
		case age > silentWorkerRetention:
			delete(c.workers, id)
			c.descriptions.remove(id)
		case age > maxHeartbeatAge && !w.reportedSilent:
			w.reportedSilent = true
			c.event("worker", "silent", string(id), "no heartbeat for "+maxHeartbeatAge.String(), "")
		}
	}
}

// forgetSilentAfter bounds the table when worker ids are never used again.
const silentWorkerRetention = 10 * time.Minute
