package dispatch

import (
	"wasabihill.example/wasabihill/internal/ledger"
	"wasabihill.example/wasabihill/pkg/units"
)

const (
	// From someSamples on the learned size replaces the declared one, with a
	// margin of 2/n^2 for n samples on top: half as much again after two, a
	// fiftieth after ten. The largest of a few says little about the next, but a
	// declared size that is ten times too large would keep a kind from running
	// often enough to be learned.
	someSamples = 2
	// Processors can be shared for a moment and the tasks of a worker peak at
	// different times, so the typical use is enough; memory cannot be shared,
	// hence nearly the top plus one part in 16.
	processorsPermille = 600
	memoryPermille     = 970
	memoryMargin       = 16
	// Learned memory is never below this, for runs that are measured too early.
	leastMemory = 64 * units.MiB
	// headroomShare of a worker's processors stays free of batch beside an
	// endpoint, one part in so many: a request that arrives in a burst must not
	// wait for a throttle to act. Above busySlots more is left, because the
	// endpoint is about to exceed what it reserved.
	headroomShare = 32
	busySlots     = 0.75
)

// learnedSize caches the quantiles of a kind until it learns more.
type learnedSize struct {
	updated units.Offset
	samples uint32
	size    units.Resources
}

// size is what an attempt of the task commits.
func (d *Dispatcher) size(j *ledger.Job, t *ledger.Task) units.Resources {
	if j.IsWatcher() || j.JobKind == "" {
		return j.Size
	}
	l := d.learnedSize(j.JobKind)
	if l.samples < someSamples {
		return j.Size
	}
	s := d.cap(l.size, j.Size)
	if t.Failures > 0 { // it may have failed for want of memory
		s = larger(s, j.Size)
	}
	s.Accelerators = j.Size.Accelerators // not learned: a task uses all or none
	return s
}

func (d *Dispatcher) learnedSize(kind units.JobKind) learnedSize {
	k := d.in.Ledger.Learned(kind)
	if k == nil {
		return learnedSize{}
	}
	l, ok := d.learned[kind]
	if ok && l.updated == k.Updated {
		return l
	}
	if len(d.learned) > 8192 {
		clear(d.learned)
	}
	n := int64(k.Memory.Samples)
	margin := func(v int64) int64 { return v + 2*v/max(1, n*n) }
	memory := int64(units.Bytes(k.Memory.Quantile(memoryPermille)) * units.KiB)
	l = learnedSize{updated: k.Updated, samples: k.Memory.Samples, size: units.Resources{
		Processors: max(1, units.Millicores(margin(int64(k.Processors.Quantile(processorsPermille))))),
		Memory:     max(leastMemory, units.Bytes(margin(memory+memory/memoryMargin)))}}
	d.learned[kind] = l
	return l
}

// cap keeps a learned size within some worker, or at the declared size when
// that is larger: a quantile rounded up must not make a task unplaceable.
func (d *Dispatcher) cap(learned, declared units.Resources) units.Resources {
	var most units.Resources
	for _, s := range d.sizes {
		most = larger(most, s)
	}
	most = larger(most, declared)
	return units.Resources{Processors: min(learned.Processors, most.Processors), Memory: min(learned.Memory, most.Memory)}
}

func larger(a, b units.Resources) units.Resources {
	return units.Resources{Processors: max(a.Processors, b.Processors), Memory: max(a.Memory, b.Memory), Accelerators: max(a.Accelerators, b.Accelerators)}
}
