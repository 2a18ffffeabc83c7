package scheduler

import (
	"math"
	"time"

	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/workflow"
)

// A worker that becomes slow, or whose tasks stall, still reports itself as healthy
// and has the most free capacity, so it would attract all urgent tasks. The
// scheduler detects it by the progress of its tasks, relative to their estimates
// and to the mean speed of their queue on all workers. It avoids a worker on which
// several jobs progress far too slowly, and relocates the tasks that would finish
// earlier elsewhere.

const (
	// minProgressInterval is the minimum time between two readings of a task's
	// progress, which is reported in whole percent.
	minProgressInterval = 250 * time.Millisecond
	// minProgressPercent is assumed for a task without progress, since the logarithm
	// of zero is not finite.
	minProgressPercent = 0.5
	// slowThreshold is the logarithm of the speed, relative to the other workers,
	// below which a worker counts as slow: 40 percent. Healthy workers differ by 25 percent.
	slowThreshold = -0.9
	// speedSmoothing is the weight of a new reading in the speed of a worker.
	speedSmoothing = 0.25
	// queueSpeedSmoothing is the weight of a new reading in the speed of a queue.
	// maxQueueSpeedError limits the deviation of a reading, so that slow workers
	// barely change the speed of the queue.
	queueSpeedSmoothing = 0.02
	maxQueueSpeedError  = 0.5
	// A worker counts as slow only after minSlowReadings readings from minSlowJobs
	// jobs, because the tasks of one job share the error of its estimate.
	minSlowReadings = 4
	minSlowJobs     = 2
	// speedExpiry is the time without readings after which the speed is discarded.
	speedExpiry = 2 * time.Second
	// slowWorkerBackoff is how long a slow worker is avoided. It doubles up to
	// maxBackoff while the worker stays slow.
	slowWorkerBackoff = time.Second
	// A task is relocated if its predicted remaining time on its worker exceeds
	// minRelocationGain times that on another worker plus relocationCost, the time
	// that the relocation takes.
	minRelocationGain = 1.5
	relocationCost    = 300 * time.Millisecond
)

// speed estimates how fast a worker runs tasks that have an end.
type speed struct {
	log         float64 // logarithm of the speed relative to the queues' speeds
	readings    int
	jobs        [minSlowJobs]workflow.JobID // most recent jobs with readings, without repetition
	lastReading bootclock.Instant
	timesSlow   int // consecutive times that the worker was found slow
}

// progressReading is the last reading of a task's progress that was evaluated.
type progressReading struct {
	percent int
	at      bootclock.Instant // 0 before the first
}

// updateSpeed updates the speeds of the worker and the queue from the progress of a
// task. Only tasks that run at full pace are evaluated.
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
	queueSpeed := s.queueSpeed[t.job.Queue]
	s.queueSpeed[t.job.Queue] = queueSpeed + queueSpeedSmoothing*min(max(reading-queueSpeed, -maxQueueSpeedError), maxQueueSpeedError)
	w.speed.add(reading-queueSpeed, t.job.ID, now)
	if w.speed.slow(now) && !now.Boot.Before(w.retryAt) {
		w.avoid(now, min(slowWorkerBackoff<<min(w.speed.timesSlow, 4), maxBackoff))
		w.speed.timesSlow++
		klog.InfoS("worker is slow", "worker", w.id, "speed", math.Exp(w.speed.log), "readings", w.speed.readings, "avoidedUntil", w.retryAt.Sub(now.Boot))
	}
}

// add updates the speed with a reading from a task of the job.
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

// slow reports whether several jobs have recently progressed far too slowly.
func (v *speed) slow(now Timestamp) bool {
	return v.log < slowThreshold && v.readings >= minSlowReadings && v.jobs[minSlowJobs-1] != "" && now.Boot.Sub(v.lastReading) <= speedExpiry
}

// runsFasterElsewhere reports whether the task would finish earlier if it were
// stopped now and started on another worker.
func (t *task) runsFasterElsewhere(now Timestamp) bool {
	w := t.worker
	if !w.speed.slow(now) {
		return false
	}
	if t.step.LongRunning || t.step.Gang || !t.isListed() || t.stopOrderedAt != 0 || t.done {
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
