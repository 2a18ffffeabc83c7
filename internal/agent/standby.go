package agent

import (
	"time"

	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

// standbyRetention is how long a standby is kept that no entry process lists. It
// exceeds the lag between two entry processes, so that a list from one of them
// does not drop the standbys that the other has just listed.
const standbyRetention = 10 * time.Second

// applyStandbys admits the standbys that an entry process lists. Their resources
// are committed in advance, so that an activation depends neither on the log nor
// on free resources.
func (a *Agent) applyStandbys(listed []*wire.Standby, now time.Time) {
	for _, s := range listed {
		name, number := s.GetTask().Task(), units.Attempt(s.GetTask().GetAttempt())
		t := a.tasks[name]
		if t != nil && t.phase == phaseStandby && t.activateAs == 0 && number >= t.attempt {
			t.holder, t.holderEpoch, t.listedAt = units.WorkerID(s.Holder), units.Epoch(s.HolderEpoch), now
			t.setHolderAttempt(number)
			continue
		}
		if t != nil || a.evacuationReason() != "" || a.stopping || a.decisions.superseded(name, number) || a.decisions.contains(name, number) {
			continue
		}
		t = &task{name: name, attempt: number, spec: s.GetSpec(), size: s.GetSpec().GetSize().Units(), listedAt: now,
			holder: units.WorkerID(s.Holder), holderEpoch: units.Epoch(s.HolderEpoch), launchDeadline: now.Add(launchTimeout)}
		if t.spec == nil || t.holder == "" {
			continue
		}
		if a.startBlocker(now) != "" || !t.size.Fits(a.capacity.Sub(a.committedResources())) {
			continue // listed again in the next reply
		}
		a.tasks[name] = t
		a.callStart(t, now)
	}
}

// setHolderAttempt records that the holder runs a later attempt than the one that
// the standby was admitted under. The worker keeps the earlier attempt until the
// standby is activated.
func (t *task) setHolderAttempt(number units.Attempt) { t.holderAttempt = max(t.holderAttempt, number) }

// nextAttempt returns the attempt that follows the one that the holder runs.
func (t *task) nextAttempt() units.Attempt { return max(t.attempt, t.holderAttempt) + 1 }

// handleStandbyLaunch handles the launch of an attempt whose standby is on this
// worker. It reports false if the launch must be handled like any other.
func (a *Agent) handleStandbyLaunch(l *wire.Launch, t *task, number units.Attempt, results chan<- *wire.LaunchResult, now time.Time) bool {
	switch {
	case t.phase == phaseEnded:
		return false
	case number <= t.attempt && t.activateAs == 0 && t.phase == phaseStandby:
		return true // the holder runs this attempt and reports its outcome
	case t.phase != phaseStandby || t.intent != intentKeep:
		return true // undecided; the entry process repeats the launch
	case units.Epoch(l.Epoch) != a.epoch || t.activateAs != 0 && t.activateAs != number:
		return true
	case a.startBlocker(now) != "":
		return true
	}
	t.activateAs = number
	t.resultChannels = append(t.resultChannels, results)
	a.reconcile(t, now)
	return true
}

// tickStandbys activates the standbys of a holder whose lease has expired while
// the log is unreachable. The expiry cannot be recorded then, so the next attempt
// cannot be assigned to another worker. It stops standbys that no entry process
// lists any more.
func (a *Agent) tickStandbys(now time.Time) {
	for _, t := range a.tasks {
		if t.phase != phaseStandby || t.intent != intentKeep || t.activateAs != 0 {
			continue
		}
		l := a.lessees[t.holder]
		if l != nil && l.epoch == t.holderEpoch && l.expired && !l.expirySent && l.listedByAll(now) && a.logDown(now) && a.canActivateStandbys(now) {
			t.activateAs = t.nextAttempt()
			a.event("standbyActivated", t.name.String(), "the holder's lease expired while the log is unreachable")
			continue
		}
		if now.Sub(t.listedAt) > standbyRetention && a.logReachable(now) {
			t.intent, t.reason = intentStop, "no longer a standby"
		}
	}
}
