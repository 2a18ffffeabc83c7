package entry

import (
	"context"
	"time"

	"wasabihill.example/wasabihill/internal/dispatch"
	"wasabihill.example/wasabihill/internal/ledger"
	"wasabihill.example/wasabihill/internal/link"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

const (
	// callTimeout bounds one launch or stop call. The worker answers a start within
	// milliseconds, and a call that times out is repeated.
	callTimeout = 2 * time.Second
	// callRetryDelay is the delay after a failed call to an agent.
	callRetryDelay = 500 * time.Millisecond
	// maxTasksPerCall bounds the tasks of one launch call, so that its reply does
	// not wait for too many starts.
	maxTasksPerCall = 64
)

// launchTasks sends the assigned attempts of the jobs that this process owns to
// their agents, and requests the stop of attempts of cancelled jobs. A call is
// repeated until it is answered; agents give a repeated call the same reply.
func (c *control) launchTasks(now time.Time) {
	if c.catchingUp(now) && !c.logReachable(now) {
		return
	}
	type batch struct {
		worker *workerState
		launch *wire.Launch
		stop   *wire.Stop
	}
	var batches []batch
	c.jobs.View(func(l *ledger.Ledger) {
		for h := range l.WorkerEpochs() {
			w := c.workers[h.Worker]
			if w == nil || now.Before(w.callInFlightUntil) || !w.reachable(now) || now.Before(w.retryAt) || units.Epoch(w.heartbeat.GetEpoch()) < h.Epoch {
				continue
			}
			launch, stop := c.callsForEpoch(l, h, w)
			if len(launch.Tasks) > 0 || len(stop.Tasks) > 0 {
				batches = append(batches, batch{w, launch, stop})
			}
		}
	})
	for _, b := range batches {
		if now.Before(b.worker.callInFlightUntil) {
			continue // a call for an older epoch of the worker has just been sent
		}
		b.worker.callInFlightUntil = now.Add(2 * callTimeout)
		go c.Entry.callAgent(b.worker.id, b.worker.session, b.launch, b.stop)
	}
}

// callsForHolder returns the launch and the stop call for the attempts on
// worker epoch h. Stop calls have the current epoch of the worker, which has adopted
// the attempts of earlier ones.
func (c *control) callsForEpoch(l *ledger.Ledger, h ledger.WorkerEpoch, w *workerState) (*wire.Launch, *wire.Stop) {
	_, offset := c.Document()
	launch := &wire.Launch{Entry: string(c.Settings.ID), Worker: string(h.Worker), Epoch: uint64(h.Epoch), ConfigOffset: uint64(offset)}
	stop := &wire.Stop{Worker: string(h.Worker), Epoch: w.heartbeat.GetEpoch(), Reason: "cancelled"}
	for _, task := range l.TasksOn(h) {
		if !c.ownership.Load().owns(string(task.Job)) {
			continue
		}
		row := l.Task(task)
		ref := wire.NewTaskRef(task, row.Attempt)
		switch {
		case row.State == ledger.Assigned && units.Epoch(w.heartbeat.GetEpoch()) == h.Epoch && len(launch.Tasks) < maxTasksPerCall:
			job := l.Job(task.Job)
			launch.Tasks = append(launch.Tasks, &wire.LaunchTask{
				Task: ref, Spec: job.LaunchSpec(task.Index), Cause: c.causes.Get(task.String()), MayEvict: c.planner.evictionAllowed[dispatch.TaskAttempt{Task: task, Attempt: row.Attempt}],
			})
		case row.State == ledger.Stopping:
			stop.Tasks = append(stop.Tasks, ref)
		}
	}
	return launch, stop
}

// callAgent sends a launch and a stop call and passes the results to the control
// loop. It runs in its own goroutine.
func (e *Entry) callAgent(id units.WorkerID, session *link.Session, launch *wire.Launch, stop *wire.Stop) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var reply wire.LaunchReply
	var failed error
	if len(launch.Tasks) > 0 {
		launch.Clock = e.recorder.AdvanceClock()
		failed = session.Call(ctx, "/link/launch", launch, &reply)
		e.recorder.UpdateClock(reply.GetClock())
	}
	if len(stop.Tasks) > 0 {
		var stopped wire.StopReply
		stop.Clock = e.recorder.AdvanceClock()
		if err := session.Call(ctx, "/link/stop", stop, &stopped); err != nil {
			failed = err
		}
	}
	done, cancelDone := context.WithTimeout(context.Background(), callTimeout)
	defer cancelDone()
	_ = e.runOnLoop(done, func(c *control) { c.applyCallResults(id, &reply, failed, time.Now()) })
}

// applyCallResults proposes the entries for the results of a launch call.
func (c *control) applyCallResults(id units.WorkerID, reply *wire.LaunchReply, failed error, now time.Time) {
	w := c.workers[id]
	if w == nil {
		return
	}
	w.callInFlightUntil = time.Time{}
	if failed != nil {
		w.retryAt = now.Add(callRetryDelay)
	}
	c.counters.launches.Inc(int64(len(reply.GetResults())))
	c.jobs.View(func(l *ledger.Ledger) {
		for _, result := range reply.GetResults() {
			report := &wire.TaskReport{Task: result.GetTask(), Outcome: result.GetOutcome(), Reason: result.GetReason()}
			if result.GetOutcome() == wire.Outcome_OUTCOME_REFUSED {
				c.counters.rejections.Inc(1)
			}
			if !isRecorded(l, id, report) {
				c.proposeReport(l, w, report, now)
			}
		}
	})
}
