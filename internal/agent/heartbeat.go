package agent

import (
	"cmp"
	"slices"
	"time"

	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/environment"
	"wasabihill.example/wasabihill/pkg/units"
)

// watcherReportDelay delays the report that a watcher ended because its lease
// expired, counted from its end and from when the log became reachable again. The
// lessor may have activated the standby as the next attempt while the log was
// unreachable. That activation must be recorded before an entry process assigns
// the attempt number to another worker.
const watcherReportDelay = 10 * time.Second

// maxReportsPerHeartbeat bounds the size of a heartbeat. Further reports follow in
// the next one.
const maxReportsPerHeartbeat = 256

// sentReport identifies a report in a heartbeat. An acknowledgement applies only
// to the outcome in the heartbeat that it answers.
type sentReport struct {
	attempt attemptID
	outcome wire.Outcome
}

// composeHeartbeat returns the heartbeat for one entry process and the reports in it.
func (a *Agent) composeHeartbeat(e *entry, now time.Time) (*wire.Heartbeat, []sentReport) {
	full := e.wantRunning && a.adopted
	e.runningListSent = full
	h := &wire.Heartbeat{
		Worker: string(a.WorkerID), Epoch: uint64(a.epoch),
		Clock: a.clock(), ConfigOffset: uint64(a.config.offset), RunningFull: full,
		Draining: a.stopping || a.evacuationReason() != "", Endpoints: a.endpointsToReport(),
	}
	if full || !e.hasDescription || !a.OmitUnchanged {
		h.FailureDomain, h.Rack, h.Region, h.LinkAddress = string(a.Domain), string(a.Rack), string(a.Region), cmp.Or(a.AdvertisedLinkAddress, a.LinkAddress)
		h.Process, h.Capacity = a.ProcessName, wire.FromResources(a.capacity)
	}
	if e.wantConfig {
		h.ConfigDocument, h.ConfigAuthor = a.config.raw, a.config.author
	}
	if !a.adopted {
		h.Epoch, h.Capacity = 0, nil
		return h, nil
	}
	h.Committed, h.Evictable = wire.FromResources(a.committedResources()), wire.FromResources(a.evictableResources())
	h.LeaseTerm, h.LeaseValid, h.Registered = uint64(a.lease.term), a.lease.valid(now), a.lease.registered
	h.WantsLessor = a.lease.lessorRequested
	h.Expiries = a.reportableExpiries(now)
	h.Interference, e.interferenceSent = a.interferenceSince(e.interferenceVersion)
	if e.rank == 0 && a.PendingEvents != nil {
		h.Events = a.PendingEvents()
	}
	if full {
		h.Running = a.runningRefs(now)
	}
	sent := a.addReports(e, h, now)
	return h, sent
}

// runningRefs returns the attempts that have not ended or whose end must not be
// reported yet. It omits standbys that are not being activated.
func (a *Agent) runningRefs(now time.Time) []*wire.TaskRef {
	var refs []*wire.TaskRef
	for _, t := range a.tasks {
		if (t.phase != phaseEnded || a.isReportDelayed(t, now)) && (t.holder == "" || t.activateAs != 0) {
			refs = append(refs, t.ref())
		}
	}
	return refs
}

// addReports adds the unacknowledged reports to h, oldest first, and returns them.
func (a *Agent) addReports(e *entry, h *wire.Heartbeat, now time.Time) []sentReport {
	var pending []*task
	for _, t := range a.tasks {
		if t.phase != phaseRunning && t.phase != phaseEnded || t.suppressReport || t.acknowledged || a.isReportDelayed(t, now) || !a.shouldReport(e, t, now) {
			continue
		}
		pending = append(pending, t)
	}
	slices.SortFunc(pending, func(x, y *task) int {
		return cmp.Or(x.reportPendingSince.Compare(y.reportPendingSince), cmp.Compare(x.name.Job, y.name.Job), cmp.Compare(x.name.Index, y.name.Index))
	})
	pending = pending[:min(len(pending), maxReportsPerHeartbeat)]
	sent := make([]sentReport, len(pending))
	for i, t := range pending {
		sent[i] = sentReport{attemptID{t.name, t.attempt}, t.outcomeToReport()}
		h.Reports = append(h.Reports, t.newReport())
	}
	return sent
}

// isReportDelayed reports whether the end of the task must not be reported yet because
// of watcherReportDelay.
func (a *Agent) isReportDelayed(t *task, now time.Time) bool {
	if t.isBatch() || t.outcomeToReport() != wire.Outcome_OUTCOME_EXPIRED {
		return false
	}
	return now.Sub(t.phaseSince) < watcherReportDelay || a.logReachableSince.IsZero() || now.Sub(a.logReachableSince) < watcherReportDelay
}

// newReport returns the report of the outcome that is reported next.
func (t *task) newReport() *wire.TaskReport {
	r := &wire.TaskReport{Task: t.ref(), Outcome: t.outcomeToReport()}
	if t.phase == phaseEnded && !t.startUnrecorded {
		r.Checkpoint, r.Reason, r.RunMilliseconds = t.checkpoint, t.reason, t.runTime.Milliseconds()
		if !t.peakUsage.IsZero() {
			r.Used = wire.FromResources(t.peakUsage)
		}
	}
	return r
}

// applyReply applies the reply to a heartbeat that was sent at the given time.
func (a *Agent) applyReply(e *entry, reply *wire.HeartbeatReply, document *environment.Document, parseErr error, sent time.Time, reports []sentReport) {
	now := time.Now()
	e.name, e.answeredAt, e.logReachable = reply.Entry, sent, reply.LogReachable
	e.logReadAt = sent.Add(-time.Duration(min(max(reply.ConfigStalenessMilliseconds, 0), 1<<30)) * time.Millisecond)
	e.interferenceVersion = e.interferenceSent
	e.hasDescription = e.hasDescription || e.runningListSent
	e.wantConfig = reply.WantConfig
	e.wantRunning = reply.WantRunning || e.wantRunning && !e.runningListSent
	a.observeClock(reply.Clock)
	a.acknowledgeReports(reply.ReportsAcknowledged, reports, now)
	a.acknowledgeExpiries(reply.ExpiriesAcknowledged)
	if a.AcknowledgeEvents != nil && e.rank == 0 && reply.EventsAcknowledged > 0 {
		a.AcknowledgeEvents(reply.EventsAcknowledged)
	}
	a.applyConfiguration(reply, document, parseErr, sent)
	a.applyRegistration(reply, sent, now)
	if units.Epoch(reply.RegisteredEpoch) == a.epoch {
		a.applyLessees(reply.Lessees, sent, now)
	}
	a.applyStandbys(reply.Standbys, now)
	a.updateEntries(reply.Entries, now)
}

// acknowledgeReports marks the reports that an entry process has acknowledged.
func (a *Agent) acknowledgeReports(acknowledged []*wire.TaskRef, reports []sentReport, now time.Time) {
	for _, ref := range acknowledged {
		key := attemptID{ref.Task(), units.Attempt(ref.GetAttempt())}
		t := a.tasks[key.task]
		if t == nil || t.attempt != key.number || !slices.Contains(reports, sentReport{key, t.outcomeToReport()}) {
			continue
		}
		t.startUnrecorded, t.acknowledged = false, t.outcomeToReport() == t.outcome
		a.reconcile(t, now)
	}
}

// maxReplyAge bounds the age of the last reply of an entry process that counts
// as responsive and whose report about the log counts as current.
const maxReplyAge = 2 * time.Second

// trackLogReachability updates since when the log has been reachable without
// interruption.
func (a *Agent) trackLogReachability(now time.Time) {
	switch {
	case !a.logReachable(now):
		a.logReachableSince = time.Time{}
	case a.logReachableSince.IsZero():
		a.logReachableSince = now
	}
}

// maxLogReadAge bounds the age of the newest read of the log that shows that the
// log is reachable at present. A follower at the tail reads several times a second,
// whereas entry processes report the log as unreachable only after 3 s.
const maxLogReadAge = time.Second

// logReadRecently reports whether an entry process has read the log within
// maxLogReadAge.
func (a *Agent) logReadRecently(now time.Time) bool {
	for _, e := range a.entries {
		if !e.answeredAt.IsZero() && now.Sub(e.logReadAt) < maxLogReadAge {
			return true
		}
	}
	return false
}

// logReachable reports whether an entry process has recently reported that it
// reaches the log.
func (a *Agent) logReachable(now time.Time) bool { return a.anyEntry(now, true) }

// logDown reports whether entry processes answer and none of them reaches
// the log. It is false without recent replies, when the state of the log is unknown.
func (a *Agent) logDown(now time.Time) bool { return a.anyEntry(now, false) && !a.anyEntry(now, true) }

// anyEntry reports whether any entry process has recently reported that the log is
// reachable or unreachable, as given.
func (a *Agent) anyEntry(now time.Time, reachable bool) bool {
	for _, e := range a.entries {
		if !e.answeredAt.IsZero() && now.Sub(e.answeredAt) < maxReplyAge && e.logReachable == reachable {
			return true
		}
	}
	return false
}
