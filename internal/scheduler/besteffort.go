package scheduler

import (
	"math"
	"time"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/interference"
	"wasabihill.example/wasabihill/pkg/units"
)

// Best-effort tasks use the processors that other tasks leave free. The number of
// free processors is learned from what best-effort tasks get: if they get less
// than they request, the worker has no more. Additional best-effort tasks would
// only share the same processors, and every step would finish later.

const (
	// initialUtilization is the share of their requested processors that
	// latency-critical tasks are assumed to use on a worker without readings.
	initialUtilization = 0.5
	// minUtilization and maxUtilization limit the learned share.
	minUtilization = 0.2
	maxUtilization = 1.0
	// utilizationSmoothing is the weight of a new reading.
	utilizationSmoothing = 0.4
	// utilizationDecay is subtracted from the learned share per second while the
	// worker is not saturated.
	utilizationDecay = 0.05
	// A worker is saturated if its best-effort tasks get less than saturationShare of
	// their requested processors. A single task's usage differs from its request by
	// about a third, so this counts only if they request more than saturationCores
	// together.
	saturationShare = 0.7
	saturationCores = 6.0
	// steadyDelay is how long a task must have run at its pace before its reading
	// shows what it gets.
	steadyDelay = 1200 * time.Millisecond
	// readingDelay is how long it takes until the readings fully reflect a start or a
	// change of pace: the averaging window plus the delivery of a report.
	readingDelay = 800 * time.Millisecond
	// learnInterval is the averaging window of the workers' readings.
	learnInterval = 500 * time.Millisecond
	// maxLatencyShare is the highest predicted latency of a latency-critical task, as
	// a share of its target, at which another best-effort task may be placed beside
	// it. minRate is the corresponding service rate (target / latency).
	maxLatencyShare = 0.82
	minRate         = 1 / maxLatencyShare
	// maxUnobservedLoss limits the predicted loss of a latency-critical task's rate
	// that no reading has confirmed yet, since a burst of equal tasks multiplies the
	// error of one estimate. A single task may always start.
	maxUnobservedLoss = 0.8
	// estimatesInterval is how often an agent receives the interference estimates of
	// its images.
	estimatesInterval = 2 * time.Second
)

// usage is the measured and predicted resource usage of a worker's tasks.
type usage struct {
	utilization     float64 // learned share of their requested processors that latency-critical tasks use; 0 before the first reading
	lastReading     bootclock.Instant
	readings        []interference.LatencyReading
	rates           []float64                   // service rate of each of readings, as observed
	endedTasks      []interference.UsageReading // best-effort tasks released since the last reading
	predictedRates  []float64                   // service rate of each of readings once all started tasks show in it
	unobservedLoss  []float64                   // part of rates that is missing in predictedRates
	headroomByImage map[string]headroom         // by best-effort image, from predictedRates
	// sensitivity is the mean rate that one core of a best-effort image takes from the
	// latency-critical tasks here.
	sensitivity   float64
	estimatesSent bootclock.Instant // when the estimates were last sent to the agent
}

// learnUsage updates the worker's usage and the interference model from the readings
// of a report.
func (s *Scheduler) learnUsage(w *worker, now Timestamp) {
	elapsed := now.Boot.Sub(w.usage.lastReading)
	if elapsed < learnInterval {
		return
	}
	w.usage.lastReading = now.Boot
	bestEffort := w.usage.endedTasks
	w.usage.endedTasks = nil
	var used, steadyUsed, steadyRequested, latencyCriticalRequest, otherRequest float64
	w.usage.readings = w.usage.readings[:0]
	for _, t := range w.tasks {
		request := t.step.cores()
		switch {
		case t.step.BestEffort:
			if t.isListed() && t.load > 0 {
				cores := float64(t.load) / 1000
				used += cores
				if now.Boot.Sub(t.paceSince) > steadyDelay {
					steadyUsed += cores
					steadyRequested += request * float64(t.pace) / 100
				}
				bestEffort = append(bestEffort, interference.UsageReading{Image: t.step.Image, Cores: cores})
			}
		case t.step.LatencyTarget > 0:
			latencyCriticalRequest += request
			if t.isListed() {
				w.usage.readings = append(w.usage.readings, interference.LatencyReading{Task: t.id, Image: t.step.Image,
					Latency: float64(t.load), Target: float64(t.step.LatencyTarget.Milliseconds())})
			}
		default:
			otherRequest += request
		}
	}
	if w.speed.slow(now) {
		w.usage.rates = s.model.Rates(now.Boot, w.usage.readings, bestEffort)
	} else {
		w.usage.rates = s.model.Observe(now.Boot, w.usage.readings, bestEffort)
	}
	s.predictRates(w, now)
	w.usage.sensitivity = s.meanLossPerCore(w)
	w.usage.updateUtilization(w.cores()-otherRequest-used, latencyCriticalRequest, steadyRequested > saturationCores && steadyUsed < saturationShare*steadyRequested, elapsed)
}

// updateUtilization corrects the learned share. The available cores are an upper bound
// on what latency-critical tasks use, and equal it if the worker is saturated.
func (u *usage) updateUtilization(available, requested float64, saturated bool, elapsed time.Duration) {
	if u.utilization == 0 {
		u.utilization = initialUtilization
	}
	if requested <= 0 {
		return
	}
	share := available / requested
	if saturated {
		u.utilization += utilizationSmoothing * (share - u.utilization)
	} else {
		u.utilization = min(u.utilization-utilizationDecay*min(elapsed.Seconds(), 1), share)
	}
	u.utilization = min(max(u.utilization, minUtilization), maxUtilization)
}

func (st *step) cores() float64 { return float64(st.Size.Processors) / 1000 }

func (w *worker) cores() float64 { return float64(w.capacity.Processors) / 1000 }

// bestEffortCores returns the cores that further best-effort tasks may request.
func (w *worker) bestEffortCores() float64 {
	latencyCritical := float64(w.latencyCriticalProcessors) / 1000 * max(w.usage.utilization, minUtilization)
	return w.cores() - float64(w.otherProcessors)/1000 - latencyCritical
}

// predictRates predicts the service rates once all best-effort tasks show in the
// readings. Readings are averages, so a task that has just started or changed its
// pace is only partly visible. Without the prediction, a burst that is placed over
// several reports would seem to cause no interference until all of it runs.
func (s *Scheduler) predictRates(w *worker, now Timestamp) {
	clear(w.usage.headroomByImage)
	w.usage.predictedRates = append(w.usage.predictedRates[:0], w.usage.rates...)
	w.usage.unobservedLoss = append(w.usage.unobservedLoss[:0], make([]float64, len(w.usage.rates))...)
	for _, t := range w.tasks {
		if !t.step.BestEffort || t.isListed() && now.Boot.Sub(t.paceSince) > readingDelay {
			continue
		}
		cores := t.step.cores()
		if t.isListed() {
			cores = cores*float64(t.pace)/100 - float64(t.load)/1000
		}
		s.predictLoss(w, t.step.Image, max(cores, 0))
	}
}

// predictLoss subtracts the expected effect of the given cores of the image from the
// predicted rates.
func (s *Scheduler) predictLoss(w *worker, image string, cores float64) {
	clear(w.usage.headroomByImage)
	for i, reading := range w.usage.readings {
		loss := s.model.LossPerCore(reading.Image, image) * cores
		w.usage.predictedRates[i] -= loss
		w.usage.unobservedLoss[i] += loss
	}
}

// meanLossPerCore returns the rate that one core of a best-effort image takes from
// the latency-critical tasks of w, averaged over the images.
func (s *Scheduler) meanLossPerCore(w *worker) float64 {
	images := s.model.BestEffortImages()
	if len(images) == 0 {
		return 0
	}
	sum := 0.0
	for _, image := range images {
		sum += s.headroomFor(w, image).lossPerCore
	}
	return sum / float64(len(images))
}

// headroom is how much of a best-effort image the latency-critical tasks of a worker
// tolerate.
type headroom struct {
	cores       float64 // cores of the image that fit before a latency-critical task nears its target
	lossPerCore float64 // rate that one core takes from the task that it slows down most
}

// headroomFor returns the worker's headroom for an image. The result is cached until
// the predicted rates change, because placing a burst queries it for every task.
func (s *Scheduler) headroomFor(w *worker, image string) headroom {
	if h, ok := w.usage.headroomByImage[image]; ok {
		return h
	}
	h := headroom{cores: math.Inf(1)}
	for i, reading := range w.usage.readings {
		left := w.usage.predictedRates[i] - minRate
		if unobserved := w.usage.unobservedLoss[i]; unobserved > 0 {
			left = min(left, maxUnobservedLoss-unobserved)
		}
		switch perCore := s.model.LossPerCore(reading.Image, image); {
		case perCore > 0:
			h.cores = min(h.cores, left/perCore)
			h.lossPerCore = max(h.lossPerCore, perCore)
		case left < 0:
			h.cores = 0
		}
	}
	if w.usage.headroomByImage == nil {
		w.usage.headroomByImage = make(map[string]headroom)
	}
	w.usage.headroomByImage[image] = h
	return h
}

// mayPlaceBestEffort reports whether another task of the step would get processors on
// w without pushing the latency-critical tasks there beyond their latency limit.
func (s *Scheduler) mayPlaceBestEffort(w *worker, st *step) bool {
	free, cores := w.bestEffortCores(), st.cores()
	if free < cores && (w.bestEffort > 0 || free < cores/2) {
		return false
	}
	return cores <= s.headroomFor(w, st.Image).cores
}

// Estimates returns the interference estimates of the images that run on a worker.
// It returns nil if the worker does not run both latency-critical and best-effort
// tasks, or if its agent received the estimates within estimatesInterval.
func (s *Scheduler) Estimates(id units.WorkerID, now Timestamp) []interference.Estimate {
	w := s.workers[id]
	if w == nil || w.latencyCritical == 0 || w.bestEffort == 0 || now.Boot.Sub(w.usage.estimatesSent) < estimatesInterval {
		return nil
	}
	w.usage.estimatesSent = now.Boot
	return s.estimates(w)
}

func (s *Scheduler) estimates(w *worker) []interference.Estimate {
	latencyCritical, bestEffort := make(map[string]bool), make(map[string]bool)
	for _, t := range w.tasks {
		if t.step.BestEffort {
			bestEffort[t.step.Image] = true
		} else if t.step.LatencyTarget > 0 {
			latencyCritical[t.step.Image] = true
		}
	}
	return s.model.Estimates(latencyCritical, bestEffort)
}
