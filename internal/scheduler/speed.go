package scheduler

import (
	"math"
	"time"

	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/workflow"
)

// A worker that turns slow, or on which tasks stand still, stays healthy by its
// own account and has the most free room, so it attracts all urgent work. What
// shows it is the progress of its tasks: the scheduler compares that with their
// estimates and with what the queue's tasks reach on all workers, avoids a worker
// on which several jobs progress far too slowly, and moves off what would end
// earlier elsewhere.

const (
	// progressWindow is the least time between two readings of a task's progress,
	// which is given in whole percent.
	minProgressInterval = 250 * time.Millisecond
	// leastProgress in percent stands for a task that has made none.
	minProgressPercent = 0.5
	// slowLog is the logarithm of the speed, relative to the other workers, below
	// which a worker counts as slow: two fifths. Sound ones differ by a quarter.
	slowThreshold = -0.9
	// speedFollow is the weight of a new reading in the speed of a worker.
	speedSmoothing = 0.25
	// usualFollow is the weight of a new reading in the usual speed of a queue,
	// and usualClip bounds it, so that slow workers do not become the usual.
	queueSpeedSmoothing = 0.02
	maxQueueSpeedError  = 0.5
	// slowReadings of slowJobs jobs are needed: the tasks of one job share the
	// error of its estimate.
	minSlowReadings = 4
	minSlowJobs     = 2
	// speedKept is after how long without a reading the speed is forgotten.
	speedExpiry = 2 * time.Second
	// slowBackoff is how long a slow worker is avoided; it doubles up to
	// longestBackoff while the worker stays slow.
	slowWorkerBackoff = time.Second
	// moveGain is how many times longer a task must be predicted to run where it
	// is before it is moved, and moveCost what the move itself takes.
	minRelocationGain = 1.5
	relocationCost    = 300 * time.Millisecond
)

// speed is how fast a worker runs the tasks that end.
type speed struct {
	log         float64 // logarithm of the speed relative to the usual one
	readings    int
	jobs        [minSlowJobs]workflow.JobID // the last ones that were read, each once
	lastReading bootclock.Instant           // of the last reading
	timesSlow   int                         // times in a row that it was found slow
}

// progressReading is the last reading of a task's progress that was used.
type progressReading struct {
	percent int
	at      bootclock.Instant // 0 before the first
}

// measure takes in a reading of the progress of a task that runs at full pace.
func (s *Scheduler) updateSpeed(w *worker, t *task, percent, pace int, now Timestamp) {
	last := t.lastProgress
	if t.step.LongRunning || t.step.BestEffort || pace < 100 || t.stopOrderedAt != 0 {
		return
	}
	elapsed := now.Boot.Sub(last.at)
	if last.at != 0 && elapsed < minProgressInterval {
		return
	}
	t.lastProgress = progressReading{percent, now.Boot}
	if last.at == 0 || t.step.Estimate <= 0 {
		return
	}
	done := max(float64(percent-last.percent), minProgressPercent) / 100
	reading := math.Log(done * t.step.Estimate.Seconds() / elapsed.Seconds())
	usual := s.queueSpeed[t.job.Queue]
	s.queueSpeed[t.job.Queue] = usual + queueSpeedSmoothing*min(max(reading-usual, -maxQueueSpeedError), maxQueueSpeedError)
	w.speed.add(reading-usual, t.job.ID, now)
	if w.speed.slow(now) && !now.Boot.Before(w.retryAt) {
		w.avoid(now, min(slowWorkerBackoff<<min(w.speed.timesSlow, 4), maxBackoff))
		w.speed.timesSlow++
		klog.InfoS("worker is slow", "worker", w.id, "speed", math.Exp(w.speed.log), "readings", w.speed.readings, "avoidedUntil", w.retryAt.Sub(now.Boot))
	}
}

// take follows the readings of a worker.
func (v *speed) add(reading float64, job workflow.JobID, now Timestamp) {
	if now.Boot.Sub(v.lastReading) > speedExpiry {
		*v = speed{timesSlow: v.timesSlow}
	}
	v.lastReading = now.Boot
	v.readings++
	v.log += max(speedSmoothing, 1/float64(v.readings)) * (reading - v.log)
	if v.jobs[0] != job {
		v.jobs[1], v.jobs[0] = v.jobs[0], job
	}
	if v.log > slowThreshold/2 {
		v.timesSlow = 0
	}
}

// slow reports whether several jobs have progressed far too slowly lately.
func (v *speed) slow(now Timestamp) bool {
	return v.log < slowThreshold && v.readings >= minSlowReadings && v.jobs[minSlowJobs-1] != "" && now.Boot.Sub(v.lastReading) <= speedExpiry
}

// lags reports whether a task would end earlier if it were stopped and started on
// another worker now.
func (t *task) runsFasterElsewhere(now Timestamp) bool {
	w := t.worker
	if !w.speed.slow(now) {
		return false
	}
	if t.step.LongRunning || t.step.Gang || !t.confirmed || t.stopOrderedAt != 0 || t.done {
		return false
	}
	left := time.Duration(float64(t.step.Estimate) * float64(100-t.percent) / 100)
	elsewhere := t.step.Estimate
	if t.step.Checkpointing {
		elsewhere = left
	}
	here := time.Duration(float64(left) / math.Exp(w.speed.log))
	return here > time.Duration(minRelocationGain*float64(elsewhere))+relocationCost
}
