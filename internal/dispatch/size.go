package dispatch

import (
	"wasabihill.example/wasabihill/internal/ledger"
	"wasabihill.example/wasabihill/pkg/units"
)

const (
	// The declared size is limited to a band that begins at the learned size. The
	// band is learnedBandFactor/n^2 of the learned size wide for n samples: up to
	// three times the learned size after one sample, 1.5 times after two, 1.02
	// times after ten. Without it, a declared size that is ten times too large
	// would keep a kind from running often enough to be learned.
	learnedBandFactor = 2
	// Processors can be shared briefly and the tasks of a worker peak at different
	// times, so a typical usage suffices. Memory cannot be shared, so a high
	// quantile plus 1/memoryMarginDivisor is used.
	processorsPermille  = 600
	memoryPermille      = 970
	memoryMarginDivisor = 16
	// minLearnedMemory is the minimum learned memory; runs that are measured too
	// early report too little.
	minLearnedMemory = 64 * units.MiB
	// Batch tasks leave 1/headroomDivisor of the processors free on workers with
	// endpoints, because requests that arrive in a burst must not wait until a
	// throttle takes effect. Above highEndpointLoad they leave more, because the
	// endpoint is about to exceed its reservation.
	headroomDivisor  = 32
	highEndpointLoad = 0.75
)

// learnedSize caches the size limits of a job kind until its usage statistics
// change.
type learnedSize struct {
	updated units.Offset
	samples uint32
	lower   units.Resources
	upper   units.Resources
}

// commitSize returns the resources that an attempt of the task commits.
func (d *Dispatcher) commitSize(j *ledger.Job, t *ledger.Task) units.Resources {
	if j.IsWatcher() || j.JobKind == "" {
		return j.Size
	}
	l := d.sizeOfKind(j.JobKind)
	if l.samples == 0 {
		return j.Size
	}
	s := maxResources(l.lower, minResources(j.Size, l.upper))
	if t.Failures > 0 { // it may have run out of memory
		s = maxResources(s, j.Size)
	}
	s = d.capLearnedSize(s, j.Size)
	s.Accelerators = j.Size.Accelerators // not learned: a task uses all of them or none
	return s
}

func (d *Dispatcher) sizeOfKind(kind units.JobKind) learnedSize {
	k := d.in.Ledger.KindUsage(kind)
	if k == nil {
		return learnedSize{}
	}
	l, ok := d.learnedSizes[kind]
	if ok && l.updated == k.UpdatedOffset {
		return l
	}
	if len(d.learnedSizes) > 8192 {
		clear(d.learnedSizes)
	}
	memory := units.Bytes(k.Memory.Quantile(memoryPermille)) * units.KiB
	least := units.Resources{Processors: max(1, units.Millicores(k.Processors.Quantile(processorsPermille))),
		Memory: max(minLearnedMemory, memory+memory/memoryMarginDivisor)}
	n := float64(max(1, k.Memory.Samples))
	l = learnedSize{updated: k.UpdatedOffset, samples: k.Memory.Samples, lower: least, upper: scaleResources(least, 1+learnedBandFactor/(n*n))}
	d.learnedSizes[kind] = l
	return l
}

// capLearnedSize limits a learned size to the largest capacity of the workers or
// the declared size, whichever is larger. Otherwise a quantile that is rounded up
// could make a task unplaceable.
func (d *Dispatcher) capLearnedSize(learned, declared units.Resources) units.Resources {
	var most units.Resources
	for _, s := range d.capacities {
		most = maxResources(most, s)
	}
	most = maxResources(most, declared)
	return units.Resources{Processors: min(learned.Processors, most.Processors), Memory: min(learned.Memory, most.Memory)}
}

func maxResources(a, b units.Resources) units.Resources {
	return units.Resources{Processors: max(a.Processors, b.Processors), Memory: max(a.Memory, b.Memory), Accelerators: max(a.Accelerators, b.Accelerators)}
}

func minResources(a, b units.Resources) units.Resources {
	return units.Resources{Processors: min(a.Processors, b.Processors), Memory: min(a.Memory, b.Memory), Accelerators: min(a.Accelerators, b.Accelerators)}
}
