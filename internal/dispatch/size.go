package dispatch

import (
	"wasabihill.example/wasabihill/internal/ledger"
	"wasabihill.example/wasabihill/pkg/units"
)

const (
	// From enoughSamples on the learned size replaces the declared one, with a
	// margin of one part in as many as there are samples on top: the largest of
	// a few says little about the next. With fewer, but at least someSamples,
	// the larger of learned and declared counts.
	enoughSamples = 6
	someSamples   = 3
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
	// wait for a throttle to act.
	headroomShare = 16
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
	switch {
	case l.samples < someSamples:
		return j.Size
	case l.samples < enoughSamples || t.Failures > 0:
		return larger(j.Size, d.cap(l.size, j.Size))
	}
	s := d.cap(l.size, j.Size)
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
	memory := units.Bytes(k.Memory.Quantile(memoryPermille)) * units.KiB
	l = learnedSize{updated: k.Updated, samples: k.Memory.Samples, size: units.Resources{
		Processors: max(1, units.Millicores(k.Processors.Quantile(processorsPermille))),
		Memory:     max(leastMemory, memory+memory/memoryMargin+memory/units.Bytes(max(1, k.Memory.Samples)))}}
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
