package wire

import "wasabihill.example/wasabihill/pkg/units"

// FromResources encodes r.
func FromResources(r units.Resources) *Resources {
	return &Resources{ProcessorsMillicores: int64(r.Processors), MemoryBytes: int64(r.Memory), Accelerators: r.Accelerators}
}

// Units decodes r. A nil r decodes to zero resources.
func (r *Resources) Units() units.Resources {
	return units.Resources{
		Processors:   units.Millicores(r.GetProcessorsMillicores()),
		Memory:       units.Bytes(r.GetMemoryBytes()),
		Accelerators: r.GetAccelerators(),
	}
}

// NewTaskRef encodes attempt a of t.
func NewTaskRef(t units.Task, a units.Attempt) *TaskRef {
	return &TaskRef{Job: string(t.Job), Index: t.Index, Attempt: uint32(a)}
}

// Task decodes the task that r identifies.
func (r *TaskRef) Task() units.Task {
	return units.Task{Job: units.JobID(r.GetJob()), Index: r.GetIndex()}
}

// Units decodes p. The numeric values of both types are equal.
func (p Priority) Units() units.Priority { return units.Priority(p) }

// FromPriority encodes p.
func FromPriority(p units.Priority) Priority { return Priority(p) }
