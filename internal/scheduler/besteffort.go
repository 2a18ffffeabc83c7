package scheduler

import (
	"math"
	"time"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/interference"
	"wasabihill.example/wasabihill/pkg/units"
)

// Tasks that fill take the processors that others leave idle. How many that
// are is learned from what they get: a worker on which they get less than they
// ask for has no more. More of them than that would only share the same
// processors, and every step would end later.

const (
	// firstServingUse is the share of their request that serving tasks are
	// assumed to use on a worker that has not shown otherwise.
	initialUtilization = 0.5
	// lowestServingUse and highestServingUse bound what is learned.
	minUtilization = 0.2
	maxUtilization = 1.0
	// useFollow is the weight of a new reading.
	utilizationSmoothing = 0.4
	// useFade lowers the learned share per second while nothing contradicts it.
	utilizationDecay = 0.05
	// saturated is the share of what they ask for below which tasks that fill
	// show that no processors are left. What one task takes differs from its
	// request by about a third, so it counts only when several ask for at least
	// saturationCores.
	saturationShare = 0.7
	saturationCores = 6.0
	// steadyAfter is how long a task must have run at its pace for its reading
	// to show what it gets.
	steadyDelay = 1200 * time.Millisecond
	// settled is how long a start or another pace needs to show in the readings
	// in full: their window and the way of a report.
	readingDelay = 800 * time.Millisecond
	// learnEvery is the window of the workers' readings.
	learnInterval = 500 * time.Millisecond
	// latencyRoom is the share of its target that a serving task may be
	// predicted to reach beside one more task that fills, and lowestRate the
	// rate at which it does.
	maxLatencyShare = 0.82
	minRate         = 1 / maxLatencyShare
	// unseenLoss is the most that several tasks may be predicted to take from the
	// rate of a serving task before a reading shows it: a burst of equal tasks
	// repeats the error of one estimate. One task may always start.
	maxUnobservedLoss = 0.8
	// estimatesEvery is how often an agent receives what is known of its images.
	estimatesInterval = 2 * time.Second
)

// use is what the tasks of a worker really take.
type usage struct {
	utilization     float64           // learned share of the request of serving tasks; 0 before the first reading
	lastReading     bootclock.Instant // of the last reading
	readings        []interference.Serving
	rates           []float64              // of latency, as the readings show them
	endedTasks      []interference.Filling // tasks that fill and have left since the last reading
	predictedRates  []float64              // rate of each serving task once it shows all that has started
	unobservedLoss  []float64              // what expected has less than rates
	headroomByImage map[string]headroom    // by image, as expected says
	// sensitivity is the rate that one core of an image takes here on average.
	sensitivity   float64
	estimatesSent bootclock.Instant // when the agent last received the estimates
}

// learn takes in the readings of a report.
func (s *Scheduler) learnUsage(w *worker, now Timestamp) {
	elapsed := now.Boot.Sub(w.usage.lastReading)
	if elapsed < learnInterval {
		return
	}
	w.usage.lastReading = now.Boot
	filling := w.usage.endedTasks
	w.usage.endedTasks = nil
	var got, steadyGot, steadyAsked, servingRequest, others float64
	w.usage.readings = w.usage.readings[:0]
	for _, t := range w.tasks {
		request := t.step.cores()
		switch {
		case t.step.BestEffort:
			if t.confirmed && t.load > 0 {
				cores := float64(t.load) / 1000
				got += cores
				if now.Boot.Sub(t.paceSince) > steadyDelay {
					steadyGot += cores
					steadyAsked += request * float64(t.pace) / 100
				}
				filling = append(filling, interference.Filling{Image: t.step.Image, Cores: cores})
			}
		case t.step.LatencyTarget > 0:
			servingRequest += request
			if t.confirmed {
				w.usage.readings = append(w.usage.readings, interference.Serving{Task: t.id, Image: t.step.Image,
					Latency: float64(t.load), Target: float64(t.step.LatencyTarget.Milliseconds())})
			}
		default:
			others += request
		}
	}
	if w.speed.slow(now) {
		w.usage.rates = s.model.Rates(now.Boot, w.usage.readings, filling)
	} else {
		w.usage.rates = s.model.Observe(now.Boot, w.usage.readings, filling)
	}
	s.predictRates(w, now)
	w.usage.sensitivity = s.meanLossPerCore(w)
	w.usage.updateUtilization(w.cores()-others-got, servingRequest, steadyAsked > saturationCores && steadyGot < saturationShare*steadyAsked, elapsed)
}

// follow corrects the learned share: left is what serving tasks use at most,
// and what they do use when the worker is full.
func (u *usage) updateUtilization(left, request float64, full bool, elapsed time.Duration) {
	if u.utilization == 0 {
		u.utilization = initialUtilization
	}
	if request <= 0 {
		return
	}
	share := left / request
	if full {
		u.utilization += utilizationSmoothing * (share - u.utilization)
	} else {
		u.utilization = min(u.utilization-utilizationDecay*min(elapsed.Seconds(), 1), share)
	}
	u.utilization = min(max(u.utilization, minUtilization), maxUtilization)
}

func (st *step) cores() float64 { return float64(st.Size.Processors) / 1000 }

func (w *worker) cores() float64 { return float64(w.capacity.Processors) / 1000 }

// spare returns the processors that tasks which fill may still ask for.
func (w *worker) bestEffortCores() float64 {
	serving := float64(w.latencyCriticalProcessors) / 1000 * max(w.usage.utilization, minUtilization)
	return w.cores() - float64(w.otherProcessors)/1000 - serving
}

// expect predicts the rates once they show all tasks that fill. Readings are
// averages over a while, so a task that has just started, or runs at another
// pace than a moment ago, shows in them in part. A burst that is placed over
// several reports would otherwise be harmless until all of it runs.
func (s *Scheduler) predictRates(w *worker, now Timestamp) {
	clear(w.usage.headroomByImage)
	w.usage.predictedRates = append(w.usage.predictedRates[:0], w.usage.rates...)
	w.usage.unobservedLoss = append(w.usage.unobservedLoss[:0], make([]float64, len(w.usage.rates))...)
	for _, t := range w.tasks {
		if !t.step.BestEffort || t.confirmed && now.Boot.Sub(t.paceSince) > readingDelay {
			continue
		}
		cores := t.step.cores()
		if t.confirmed {
			cores = cores*float64(t.pace)/100 - float64(t.load)/1000
		}
		s.predictLoss(w, t.step.Image, max(cores, 0))
	}
}

func (s *Scheduler) predictLoss(w *worker, image string, cores float64) {
	clear(w.usage.headroomByImage)
	for i, reading := range w.usage.readings {
		loss := s.model.PerCore(reading.Image, image) * cores
		w.usage.predictedRates[i] -= loss
		w.usage.unobservedLoss[i] += loss
	}
}

// sensitivityOf returns how much images that fill harm the serving tasks of w on
// average.
func (s *Scheduler) meanLossPerCore(w *worker) float64 {
	images := s.model.Filling()
	if len(images) == 0 {
		return 0
	}
	sum := 0.0
	for _, image := range images {
		sum += s.headroomFor(w, image).lossPerCore
	}
	return sum / float64(len(images))
}

// fillRoom is what the serving tasks of a worker bear of an image that fills.
type headroom struct {
	cores       float64 // of the image, before a serving task nears its target
	lossPerCore float64 // rate that one core takes from the serving task that suffers most
}

// roomFor returns the worker's room for an image. It is kept while nothing
// changes there, because one burst asks for it once for each waiting task.
func (s *Scheduler) headroomFor(w *worker, image string) headroom {
	if r, ok := w.usage.headroomByImage[image]; ok {
		return r
	}
	r := headroom{cores: math.Inf(1)}
	for i, reading := range w.usage.readings {
		left := w.usage.predictedRates[i] - minRate
		if unseen := w.usage.unobservedLoss[i]; unseen > 0 {
			left = min(left, maxUnobservedLoss-unseen)
		}
		switch perCore := s.model.PerCore(reading.Image, image); {
		case perCore > 0:
			r.cores = min(r.cores, left/perCore)
			r.lossPerCore = max(r.lossPerCore, perCore)
		case left < 0:
			r.cores = 0
		}
	}
	if w.usage.headroomByImage == nil {
		w.usage.headroomByImage = make(map[string]headroom)
	}
	w.usage.headroomByImage[image] = r
	return r
}

// mayFill reports whether another task of the step gets processors on w and
// leaves the serving tasks there their latency.
func (s *Scheduler) mayPlaceBestEffort(w *worker, st *step) bool {
	spare, cores := w.bestEffortCores(), st.cores()
	if spare < cores && (w.bestEffort > 0 || spare < cores/2) {
		return false
	}
	return cores <= s.headroomFor(w, st.Image).cores
}

// Estimates returns what the agent of a worker should know of the images that
// run there, and nothing when it received that a moment ago.
func (s *Scheduler) Estimates(id units.WorkerID, now Timestamp) []interference.Estimate {
	w := s.workers[id]
	if w == nil || w.latencyCritical == 0 || w.bestEffort == 0 || now.Boot.Sub(w.usage.estimatesSent) < estimatesInterval {
		return nil
	}
	w.usage.estimatesSent = now.Boot
	return s.estimates(w)
}

func (s *Scheduler) estimates(w *worker) []interference.Estimate {
	serving, filling := make(map[string]bool), make(map[string]bool)
	for _, t := range w.tasks {
		if t.step.BestEffort {
			filling[t.step.Image] = true
		} else if t.step.LatencyTarget > 0 {
			serving[t.step.Image] = true
		}
	}
	return s.model.Estimates(serving, filling)
}
