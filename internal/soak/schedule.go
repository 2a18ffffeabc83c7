package soak

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"wasabihill.example/wasabihill/internal/pause"
)

// scheduledFault is one fault of a schedule. Equal seeds give equal schedules.
type scheduledFault struct {
	kind     *faultKind
	host     int // index in the fleet's hosts; everyHost or currentLeader
	at       time.Duration
	duration time.Duration
}

// injectedFault is a fault that was injected. It is encoded as JSON under its field
// names.
type injectedFault struct {
	Kind    string
	Host    string // empty for all hosts
	Planned bool   // an operator action
	Began   time.Time
	Ended   time.Time
}

const (
	// faultsPerSecond lets two or three faults overlap most of the time.
	faultsPerSecond  = 0.9
	minFaultDuration = 300 * time.Millisecond
	// processRecoveryTime separates two faults that stop the same process, so that
	// most faults hit a process that has resumed work.
	processRecoveryTime = time.Second
)

// schedule returns the random faults of a run, sorted by time.
func schedule(r *Run) []scheduledFault {
	random := rand.New(rand.NewPCG(r.Seed, 1))
	var list []scheduledFault
	chosen := slices.DeleteFunc(slices.Clone(r.Catalog.kinds()), func(k faultKind) bool { return !r.chooses(k.name) })
	if len(chosen) == 0 {
		return nil
	}
	for range int(cmp.Or(r.Rate, faultsPerSecond) * r.Faults.Seconds()) {
		k := &chosen[random.IntN(len(chosen))]
		p := scheduledFault{kind: k, host: everyHost, at: time.Duration(random.Int64N(int64(r.Faults)))}
		p.duration = minFaultDuration + time.Duration(random.Int64N(int64(k.maxDuration)))
		p.duration = min(p.duration, r.Faults-p.at)
		switch k.target {
		case entries:
			p.host = random.IntN(r.Entries)
		case agents:
			p.host = r.Entries + random.IntN(r.Agents)
		case anyHost:
			p.host = random.IntN(r.Entries + r.Agents)
		}
		if k.target < oneHost {
			list = append(list, p)
		} else {
			list = append(list, r.onMachines(p, random)...)
		}
	}
	slices.SortFunc(list, func(a, b scheduledFault) int { return int(a.at - b.at) })
	return dropOverlapping(list)
}

// dropOverlapping drops faults that stop a process and begin while another such
// fault affects the same process.
func dropOverlapping(list []scheduledFault) []scheduledFault {
	recoveredAt := make(map[int]time.Duration) // when the process has resumed work, by host
	var kept []scheduledFault
	for _, p := range list {
		if p.kind.stopsProcess {
			affected := max(p.host, everyHost) // it is not known yet which host is the leader's
			busy := max(recoveredAt[affected], recoveredAt[everyHost])
			if affected == everyHost {
				for _, until := range recoveredAt {
					busy = max(busy, until)
				}
			}
			if p.at < busy {
				continue
			}
			recoveredAt[affected] = p.at + p.duration + processRecoveryTime
			if p.kind.name == terminateKind || p.kind.name == successorKind || p.kind.target >= oneHost {
				recoveredAt[affected] += gracePeriod // the latest time at which it, or the one before, has stopped
			}
		}
		kept = append(kept, p)
	}
	return kept
}

// inject injects a fault, clears it after its duration and records both times.
func (r *Run) inject(ctx context.Context, p scheduledFault) {
	var targets []*host
	name := ""
	if p.host == currentLeader {
		h := r.fleet.leader()
		targets, name = []*host{h}, h.name
	} else if p.host >= 0 {
		h := r.fleet.hosts()[p.host]
		targets, name = []*host{h}, h.name
	} else {
		targets = r.fleet.hosts()
	}
	n := r.record(injectedFault{Kind: p.kind.name, Host: name, Planned: p.kind.planned, Began: time.Now()})
	for _, h := range targets {
		if p.kind.begin != nil {
			p.kind.begin(r, h)
		}
	}
	pause.For(ctx, p.duration)
	for _, h := range targets {
		if p.kind.end != nil {
			p.kind.end(r, h)
		}
	}
	r.mu.Lock()
	r.injected[n].Ended = time.Now()
	r.mu.Unlock()
}

func (r *Run) record(f injectedFault) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.injected = append(r.injected, f)
	return len(r.injected) - 1
}
