package dispatch

import (
	"wasabihill.example/wasabihill/internal/ledger"
	"wasabihill.example/wasabihill/pkg/units"
)

const (
	// The declared size counts within a band around the learned one and is cut
	// to it outside. The band is 2/n^2 wide for n samples: three times the
	// learned size after one, half as much again after two, a fiftieth after ten.
	// A declared size that is ten times too large would otherwise keep a kind
	// from running often enough to be learned.
	learnedBandFactor = 2
	// Processors can be shared for a moment and the tasks of a worker peak at
	// different times, so the typical use is enough; memory cannot be shared,
	// hence nearly the top plus one part in 16.
	processorsPermille  = 600
	memoryPermille      = 970
	memoryMarginDivisor = 16
	// Learned memory is never below this, for runs that are measured too early.
	minLearnedMemory = 64 * units.MiB
	// headroomShare of a worker's processors stays free of batch beside an
	// endpoint, one part in so many: a request that arrives in a burst must not
	// wait for a throttle to act. Above busySlots more is left, because the
	// endpoint is about to exceed what it reserved.
	headroomDivisor  = 32
	highEndpointLoad = 0.75
)

// learnedSize caches the quantiles of a kind until it learns more.
type learnedSize struct {
	updated units.Offset
	samples uint32
	lower   units.Resources
	upper   units.Resources
}

// size is what an attempt of the task commits.
func (d *Dispatcher) commitSize(j *ledger.Job, t *ledger.Task) units.Resources {
	if j.IsWatcher() || j.JobKind == "" {
		return j.Size
	}
	l := d.sizeOfKind(j.JobKind)
	if l.samples == 0 {
		return j.Size
	}
	s := maxResources(l.lower, minResources(j.Size, l.upper))
	if t.Failures > 0 { // it may have failed for want of memory
		s = maxResources(s, j.Size)
	}
	s = d.capLearnedSize(s, j.Size)
	s.Accelerators = j.Size.Accelerators // not learned: a task uses all or none
	return s
}

func (d *Dispatcher) sizeOfKind(kind units.JobKind) learnedSize {
	k := d.input.Ledger.KindUsage(kind)
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

// cap keeps a learned size within some worker, or at the declared size when
// that is larger: a quantile rounded up must not make a task unplaceable.
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
