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
	// proposalRetryDelay is the time after which a proposed entry that has not been
	// applied is proposed again. A group commit takes well under a second while
	// the log is reachable.
	proposalRetryDelay = 2 * time.Second
	// maxHeartbeatAge is the age of the last heartbeat up to which a worker is
	// reachable and gets new tasks. It covers two missed heartbeats of 500 ms and
	// a late one.
	maxHeartbeatAge = 2 * time.Second
)

// workerState is the state of a worker from its heartbeats.
type workerState struct {
	id              units.WorkerID
	session         *link.Session
	heartbeat       *wire.Heartbeat // the newest
	lastHeartbeatAt time.Time
	// runningAttempts has the attempts of the newest full list. It is valid for
	// runningEpoch only.
	runningAttempts   map[units.Task]units.Attempt
	runningEpoch      units.Epoch
	runningListedAt   time.Time // when that list arrived
	unresponsive      bool      // its heartbeats have stopped, and an event has recorded that
	callInFlightUntil time.Time // a launch or stop call may be in flight until then
	retryAt           time.Time
	sentEntryList     *ownership // ownership whose entry processes were listed to the agent last
	sentEntryListAt   time.Time
}

func (w *workerState) workerEpoch() ledger.WorkerEpoch {
	return ledger.WorkerEpoch{Worker: w.id, Epoch: units.Epoch(w.heartbeat.GetEpoch())}
}

func (w *workerState) reachable(now time.Time) bool {
	return w.session != nil && now.Sub(w.lastHeartbeatAt) < maxHeartbeatAge
}

// control is the state of the control loop. Only its goroutine accesses it.
type control struct {
	*Entry
	workers                 map[units.WorkerID]*workerState
	liveness                roster.EntryLiveness
	liveEntries             []roster.Entry
	membersOutbox           outbox
	jobsOutbox              outbox
	nextAnnounceAt          time.Time                        // of this process
	nextWatcherCheckAt      time.Time                        // comparison of the document's watchers with the ledger
	lessorEndedSince        map[roster.WorkerEpoch]time.Time // time since when the lessor of a worker has been seen to have ended
	requestedSince          map[roster.WorkerEpoch]time.Time // time of the first request of an epoch for a registration or a lessor
	unknownJobSince         map[units.JobID]time.Time        // time of the first report about a job that the ledger does not have
	missingAttempts         map[attemptKey]missingAttempt    // attempts that the newest full lists do not contain
	nextReconcileAt         time.Time                        // comparison of full lists with the ledger
	registeredWorkers       map[units.WorkerID]roster.Worker // as of registeredWorkersOffset in the members stream
	registeredWorkersOffset units.Offset
	nextLessorCheckAt       time.Time // search for workers whose lessor has ended
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
		lessorEndedSince: make(map[roster.WorkerEpoch]time.Time),
		requestedSince:   make(map[roster.WorkerEpoch]time.Time),
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

// run runs the control loop until ctx ends.
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

// tickSteps are the steps of a tick in their order: the state is updated first,
// then the actions that follow from it are taken.
var tickSteps = []struct {
	name string
	run  func(*control, time.Time)
}{
	{"membership", (*control).updateMembership},
	{"document", (*control).updateDocument},
	{"silence", (*control).findUnresponsiveWorkers},
	{"expiry", (*control).expireLesseesOfEndedLessors},
	{"release", (*control).releaseEndedEpochs},
	{"reconcile", (*control).reconcile},
	{"watchers", (*control).reconcileWatchers},
	{"placement", (*control).placeTasks},
	{"launch", (*control).launchTasks},
}

// tick runs the steps of the control loop and appends the proposed entries.
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

// recordLogState records an event when the log becomes reachable or unreachable.
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

// updateMembership announces this process and updates which entry processes are
// live.
func (c *control) updateMembership(now time.Time) {
	c.members.View(func(r *roster.Roster) {
		c.liveness.Update(r, now)
		c.liveEntries = c.liveness.LiveEntries(r, now)
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

// joinIDs returns the IDs separated by commas.
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

// findSilentWorkers records an event for each worker whose heartbeats have stopped
// and removes workers that have been unresponsive for silentWorkerRetention.
func (c *control) findUnresponsiveWorkers(now time.Time) {
	for id, w := range c.workers {
		switch age := now.Sub(w.lastHeartbeatAt); {
		case age > unresponsiveRetention:
			delete(c.workers, id)
			c.descriptions.remove(id)
		case age > maxHeartbeatAge && !w.unresponsive:
			w.unresponsive = true
			c.event("worker", "silent", string(id), "no heartbeat for "+maxHeartbeatAge.String(), "")
		}
	}
}

// silentWorkerRetention bounds the table of workers if worker IDs are not reused.
const unresponsiveRetention = 10 * time.Minute
