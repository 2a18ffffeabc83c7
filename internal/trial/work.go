package trial

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"wasabihill.example/wasabihill/internal/ledger"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

// kind is the actual behaviour of the tasks of a job kind.
type kind struct {
	name           string
	cores          float64
	memory         float64
	work           float64 // seconds
	slowdown       float64 // added to the latency ratio of the endpoint on the same worker
	declaredFactor float64 // declared size divided by actual size
	wrongFactor    float64 // the same in the scenario with wrong sizes
}

// kinds returns twelve random kinds, three of which interfere strongly. Declared
// sizes are 1 to 2.5 times the actual size, and 0.1 to 10 times in the scenario
// with wrong sizes.
func kinds(r *rand.Rand, f Cluster) []kind {
	var all []kind
	perCore := float64(f.Capacity.Memory-f.Endpoint.Memory) / float64(f.Capacity.Processors-f.Endpoint.Processors) * 1000
	for i := range 12 {
		cores := f.TaskCores * (0.5 + r.Float64())
		k := kind{name: fmt.Sprint("kind-", i), cores: cores, memory: cores * perCore * (0.4 + 0.5*r.Float64()),
			work: 30 + 90*r.Float64(), slowdown: 0.003, declaredFactor: 1 + 1.5*r.Float64(), wrongFactor: math.Pow(10, 2*r.Float64()-1)}
		if i%4 == 3 {
			k.slowdown = 0.25 + 0.35*r.Float64()
		}
		all = append(all, k)
	}
	return all
}

// submitArrivals submits jobs so that the offered work matches the load of the
// scenario.
func (x *simulation) submitArrivals() {
	perWorker := float64(x.cluster.Capacity.Processors-x.cluster.Endpoint.Processors) / 1000
	x.workDue += x.scenario.Load * perWorker * float64(x.cluster.Workers) * step.Seconds()
	for x.workDue > 0 {
		k := &x.kinds[x.arrivalRand.IntN(len(x.kinds))]
		if k.slowdown > 0.1 && x.arrivalRand.IntN(3) > 0 {
			continue // strongly interfering kinds are rarer outside the bursts
		}
		x.submit(k, 1+x.arrivalRand.IntN(8))
	}
}

// submitWave submits a burst of one strongly interfering kind.
func (x *simulation) submitWave() {
	k := &x.kinds[3+4*x.arrivalRand.IntN(3)]
	for range 10 {
		x.submit(k, 8)
	}
}

// submit submits one job. All versions draw the same random numbers and so get
// the same work.
func (x *simulation) submit(k *kind, tasks int) {
	x.nextJob++
	id := units.JobID(fmt.Sprint("job-", x.nextJob))
	jitter := 0.9 + 0.2*x.arrivalRand.Float64()
	s := &jobSpec{kind: k, cores: k.cores * jitter, memory: k.memory * jitter, work: k.work * (0.8 + 0.4*x.arrivalRand.Float64()), submittedAt: x.elapsed}
	priority := []wire.Priority{wire.Priority_PRIORITY_LOW, wire.Priority_PRIORITY_NORMAL, wire.Priority_PRIORITY_HIGH}[x.arrivalRand.IntN(3)]
	if x.nextJob%40 == 0 {
		s.urgent, priority, tasks = true, wire.Priority_PRIORITY_URGENT, 1
	}
	x.jobs[id] = s
	x.workDue -= s.cores * s.work * float64(tasks)
	name := teamName(x.arrivalRand.IntN(3))
	entry := ledger.EncodeSubmitted(&wire.JobSubmitted{Job: string(id), Team: string(name), Tasks: uint32(tasks), Spec: &wire.TaskSpec{
		Kind: wire.TaskKind_TASK_KIND_BATCH, Priority: priority, JobKind: k.name, Size: wire.FromResources(x.declaredSize(s)),
		RunMilliseconds: int64(s.work * 1000)}})
	if x.logReachable() { // while the log is unreachable no job is accepted; the caller retries afterwards
		x.apply(entry)
		return
	}
	x.events[outageTo] = append(x.events[outageTo], func() { s.submittedAt = x.elapsed; x.apply(entry) })
}

// declaredSize returns the size that the owner of a job declares. Submission
// rejects a size above the capacity that a worker has left beside its endpoint,
// so the declared size is limited to it.
func (x *simulation) declaredSize(s *jobSpec) units.Resources {
	factor := s.kind.declaredFactor
	switch {
	case x.version == Ideal:
		factor = 1
	case x.scenario.WrongSizes:
		factor = s.kind.wrongFactor
	}
	most := x.cluster.Capacity.Sub(x.cluster.Endpoint)
	return units.Resources{Processors: min(most.Processors*7/8, units.Millicores(s.cores*factor*1000)),
		Memory: min(most.Memory, units.Bytes(s.memory*factor))}
}

// requestLoad returns the load of an endpoint by requests, as a share of its
// reservation.
func (x *simulation) requestLoad(m *machine) float64 {
	if !x.scenario.LoadShift {
		return 0.4
	}
	// The peak moves to another domain every two minutes. It exceeds the
	// reservation and so uses processors that batch leaves free.
	if domainName(int(x.elapsed/(2*time.Minute))%3) == m.domain {
		return 1.4
	}
	return 0.4
}
