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
	tickEvery     = 50 * time.Millisecond
	announceEvery = 5 * time.Second
	// proposalWait is how long a proposed entry is given to appear in the fold
	// before it is proposed again; a group commit takes well under a second
	// while the log answers.
	proposalWait = 2 * time.Second
	// heardWithin is the age of a heartbeat up to which a worker gets new tasks:
	// two missed heartbeats of 500 ms and one late one.
	heardWithin = 2 * time.Second
)

// workerRow is what this process knows of a worker from heartbeats.
type workerRow struct {
	id      units.WorkerID
	session *link.Session
	beat    *wire.Heartbeat // the newest
	heard   time.Time
	// running holds the attempts of the newest full list; valid for epoch
	// runningEpoch only.
	running      map[units.Task]units.Attempt
	runningEpoch units.Epoch
	runningAt    time.Time // when that list arrived
	silent       bool      // already reported as silent
	launching    time.Time // until when a launch or stop call may be on its way
	retryAt      time.Time
	listed       *owners // whose list of entry processes the agent has, and since when
	listedAt     time.Time
}

func (w *workerRow) holder() ledger.Holder {
	return ledger.Holder{Worker: w.id, Epoch: units.Epoch(w.beat.GetEpoch())}
}

func (w *workerRow) reachable(now time.Time) bool {
	return w.session != nil && now.Sub(w.heard) < heardWithin
}

// control is the state of the control loop. One goroutine owns it.
type control struct {
	*Entry
	workers      map[units.WorkerID]*workerRow
	liveness     roster.Liveness
	live         []roster.Entry
	membersOut   outbox
	jobsOut      outbox
	announceAt   time.Time                        // next announcement
	watchersAt   time.Time                        // next comparison of the document's watchers with the ledger
	chain        map[roster.Holder]time.Time      // workers whose lessor has ended, since when that is known
	asking       map[roster.Holder]time.Time      // epochs that wait for a registration or a lessor, since when
	unknown      map[units.JobID]time.Time        // jobs in reports that the ledger does not hold, first seen
	missing      map[attemptKey]missingAttempt    // attempts that newest full lists do not hold
	reconcileAt  time.Time                        // next comparison of full lists with the ledger
	registered   map[units.WorkerID]roster.Worker // as of registeredAt in the members stream
	registeredAt units.Offset
	chainAt      time.Time // next look for workers whose lessor has ended
	planner      planner
	counters     controlCounters
	logUp        bool
}

type controlCounters struct {
	heartbeats, proposals, launches, rejections, releases, expiries tally.Counter
	workers, waiting, open                                          tally.Gauge
}

func newControl(e *Entry) *control {
	s := e.MetricsScope.SubScope("entry")
	return &control{
		Entry:      e,
		workers:    make(map[units.WorkerID]*workerRow),
		membersOut: newOutbox(e.writers.members),
		jobsOut:    newOutbox(e.writers.jobs),
		chain:      make(map[roster.Holder]time.Time),
		asking:     make(map[roster.Holder]time.Time),
		unknown:    make(map[units.JobID]time.Time),
		planner:    newPlanner(),
		logUp:      true,
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
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case call := <-c.calls:
			call(c)
		case <-ticker.C:
			c.tick(ctx, time.Now())
		}
	}
}

// systems run in this order each tick: what is known first, then what follows
// from it.
var systems = []struct {
	name string
	run  func(*control, time.Time)
}{
	{"membership", (*control).updateMembership},
	{"document", (*control).updateDocument},
	{"silence", (*control).findSilentWorkers},
	{"expiry", (*control).expireChains},
	{"release", (*control).releaseEndedEpochs},
	{"reconcile", (*control).reconcile},
	{"watchers", (*control).reconcileWatchers},
	{"placement", (*control).place},
	{"launch", (*control).launch},
}

func (c *control) tick(ctx context.Context, now time.Time) {
	if c.config.Applied() == 0 && c.config.Staleness(now) > time.Hour {
		return // nothing has been read yet
	}
	for _, s := range systems {
		s.run(c, now)
	}
	c.membersOut.flush(ctx)
	c.jobsOut.flush(ctx)
	c.counters.workers.Update(float64(len(c.workers)))
	c.reportLog(now)
}

// reportLog records each change between a reachable and an unreachable log.
func (c *control) reportLog(now time.Time) {
	up := c.logReachable(now)
	if up == c.logUp {
		return
	}
	c.logUp = up
	kind, text := "logUnreachable", "no batch task starts until the log answers; requests and running tasks go on"
	if up {
		kind, text = "logReachable", "the log answers again"
	}
	klog.InfoS("log service changed state", "reachable", up)
	c.event("log", kind, c.config.Stream, text, "")
}

// updateMembership announces this process and follows which others are alive.
func (c *control) updateMembership(now time.Time) {
	c.members.View(func(r *roster.Roster) {
		c.liveness.Update(r, now)
		c.live = c.liveness.Live(r, now)
	})
	ids := make([]units.EntryID, 0, len(c.live)+1)
	for _, l := range c.live {
		ids = append(ids, l.ID)
	}
	if !slices.Contains(ids, c.Settings.ID) {
		ids = append(ids, c.Settings.ID)
		slices.Sort(ids)
	}
	if current := c.owners.Load(); !slices.Equal(current.live, ids) {
		c.owners.Store(newOwners(c.Settings.ID, ids))
		klog.InfoS("entry processes changed", "live", ids)
		c.event("entry", "members", string(c.Settings.ID), joinIDs(ids), "")
	}
	if !now.Before(c.announceAt) && !c.draining.Load() {
		c.announceAt = now.Add(announceEvery)
		c.membersOut.add("announce", now, roster.EncodeEntryAnnounced(roster.Entry{
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
		switch age := now.Sub(w.heard); {
		case age > forgetSilentAfter:
			delete(c.workers, id)
			c.descriptions.forget(id)
		case age > heardWithin && !w.silent:
			w.silent = true
			c.event("worker", "silent", string(id), "no heartbeat for "+heardWithin.String(), "")
		}
	}
}

// forgetSilentAfter bounds the table when worker ids are never used again.
const forgetSilentAfter = 10 * time.Minute
