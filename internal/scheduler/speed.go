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
	progressWindow = 250 * time.Millisecond
	// leastProgress in percent stands for a task that has made none.
	leastProgress = 0.5
	// slowLog is the logarithm of the speed, relative to the other workers, below
	// which a worker counts as slow: two fifths. Sound ones differ by a quarter.
	slowLog = -0.9
	// speedFollow is the weight of a new reading in the speed of a worker.
	speedFollow = 0.25
	// usualFollow is the weight of a new reading in the usual speed of a queue,
	// and usualClip bounds it, so that slow workers do not become the usual.
	usualFollow = 0.02
	usualClip   = 0.5
	// slowReadings of slowJobs jobs are needed: the tasks of one job share the
	// error of its estimate.
	slowReadings = 4
	slowJobs     = 2
	// speedKept is after how long without a reading the speed is forgotten.
	speedKept = 2 * time.Second
	// slowBackoff is how long a slow worker is avoided; it doubles up to
	// longestBackoff while the worker stays slow.
	slowBackoff = time.Second
	// moveGain is how many times longer a task must be predicted to run where it
	// is before it is moved, and moveCost what the move itself takes.
	moveGain = 1.5
	moveCost = 300 * time.Millisecond
)

// speed is how fast a worker runs the tasks that end.
type speed struct {
	log      float64 // logarithm of the speed relative to the usual one
	readings int
	jobs     [slowJobs]workflow.JobID // the last ones that were read, each once
	read     bootclock.Instant        // of the last reading
	streak   int                      // times in a row that it was found slow
}

// progressReading is the last reading of a task's progress that was used.
type progressReading struct {
	percent int
	at      bootclock.Instant // 0 before the first
}

// measure takes in a reading of the progress of a task that runs at full pace.
func (s *Scheduler) measure(w *worker, t *task, percent, pace int, now Timestamp) {
	last := t.lastProgress
	if t.step.LongRunning || t.step.BestEffort || pace < 100 || t.stopSent != 0 {
		return
	}
	elapsed := now.Boot.Sub(last.at)
	if last.at != 0 && elapsed < progressWindow {
		return
	}
	t.lastProgress = progressReading{percent, now.Boot}
	if last.at == 0 || t.step.Estimate <= 0 {
		return
	}
	done := max(float64(percent-last.percent), leastProgress) / 100
	reading := math.Log(done * t.step.Estimate.Seconds() / elapsed.Seconds())
	usual := s.usualSpeed[t.job.Queue]
	s.usualSpeed[t.job.Queue] = usual + usualFollow*min(max(reading-usual, -usualClip), usualClip)
	w.speed.take(reading-usual, t.job.ID, now)
	if w.speed.slow(now) && !now.Boot.Before(w.avoidUntil) {
		w.avoid(now, min(slowBackoff<<min(w.speed.streak, 4), longestBackoff))
		w.speed.streak++
		klog.InfoS("worker is slow", "worker", w.id, "speed", math.Exp(w.speed.log), "readings", w.speed.readings, "avoidedUntil", w.avoidUntil.Sub(now.Boot))
	}
}

// take follows the readings of a worker.
func (v *speed) take(reading float64, job workflow.JobID, now Timestamp) {
	if now.Boot.Sub(v.read) > speedKept {
		*v = speed{streak: v.streak}
	}
	v.read = now.Boot
	v.readings++
	v.log += max(speedFollow, 1/float64(v.readings)) * (reading - v.log)
	if v.jobs[0] != job {
		v.jobs[1], v.jobs[0] = v.jobs[0], job
	}
	if v.log > slowLog/2 {
		v.streak = 0
	}
}

// slow reports whether several jobs have progressed far too slowly lately.
func (v *speed) slow(now Timestamp) bool {
	return v.log < slowLog && v.readings >= slowReadings && v.jobs[slowJobs-1] != "" && now.Boot.Sub(v.read) <= speedKept
}

// lags reports whether a task would end earlier if it were stopped and started on
// another worker now.
func (t *task) lags(now Timestamp) bool {
	w := t.worker
	if !w.speed.slow(now) {
		return false
	}
	if t.step.LongRunning || t.step.Gang || !t.confirmed || t.stopSent != 0 || t.done {
		return false
	}
	left := time.Duration(float64(t.step.Estimate) * float64(100-t.percent) / 100)
	elsewhere := t.step.Estimate
	if t.step.Checkpointing {
		elsewhere = left
	}
	here := time.Duration(float64(left) / math.Exp(w.speed.log))
	return here > time.Duration(moveGain*float64(elsewhere))+moveCost
}
