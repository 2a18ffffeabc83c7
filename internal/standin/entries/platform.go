package entries

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"wasabihill.example/wasabihill/internal/standin/worker"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/environment"
	"wasabihill.example/wasabihill/pkg/units"
)

// Platform is the state that all entry processes share. It records the rules
// that the agents violate.
type Platform struct {
	mu                  sync.Mutex
	random              *rand.Rand
	registrations       map[string]*registration
	tasks               map[units.Task]*taskState
	order               []units.Task
	encodedDocument     []byte
	documentOffset      uint64
	logUnreachable      bool
	lastLogRead         time.Time // last time that the entries had read the log to its end
	agentHandlers       map[string]http.Handler
	network             *Network
	violations          []string
	rejected            map[taskAttempt]bool
	outages             []outage
	guardsEnabled       bool
	configurationFrozen bool // the entries do not receive new configurations
	// ReleaseSilentWorkers makes Dispatch release the tasks of workers without a
	// heartbeat for 5 s, although their leases have not expired.
	ReleaseSilentWorkers bool
	lastHeartbeat        map[string]time.Time // by worker
}

// outage is a period in which a failure domain was out of service.
type outage struct {
	domain   string
	from, to time.Time // to is zero while it lasts
}

// taskAttempt identifies an attempt of a task.
type taskAttempt struct {
	task   units.Task
	number units.Attempt
}

// registration is the recorded registration of a worker, with its lease term and
// its lessor.
type registration struct {
	epoch, term, lessorEpoch uint64
	lessor                   string
	expired                  bool
}

// taskState is the recorded state of a task.
type taskState struct {
	spec           *wire.TaskSpec
	attempt        uint32
	worker         string // "" while pending
	epoch          uint64
	started, ended bool
}

// NewPlatform returns a platform without workers and tasks. It launches tasks over
// n; seed determines the choice of workers.
func NewPlatform(seed uint64, n *Network) *Platform {
	p := &Platform{
		random: rand.New(rand.NewPCG(seed, 1)), registrations: map[string]*registration{}, tasks: map[units.Task]*taskState{},
		agentHandlers: map[string]http.Handler{}, network: n, rejected: map[taskAttempt]bool{}, lastHeartbeat: map[string]time.Time{}, lastLogRead: time.Now(),
	}
	p.Publish(nil, nil)
	return p
}

// Publish publishes a new configuration document with the failure domains a, b
// and c, of which the listed ones are out of service, and the drained workers.
func (p *Platform) Publish(outOfService []string, drained []units.WorkerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	document := &environment.Document{
		Environment: "trial", DrainedWorkers: drained, Guards: environment.Guards{Enabled: p.guardsEnabled, LatencyRatio: 1.2},
		Teams:         []environment.Team{{Name: "moulds", Quota: units.Resources{Processors: 64000, Memory: 64 * units.GiB}}},
		LargestWorker: units.Resources{Processors: 64000, Memory: 64 * units.GiB},
		Services: []environment.Service{{Name: "desk", Team: "moulds", Priority: units.PriorityUrgent, LatencyTarget: 50 * time.Millisecond,
			PerEndpoint: units.Resources{Processors: 1000, Memory: units.GiB}, Slots: 8, Connections: 64}},
	}
	for _, name := range []string{"a", "b", "c"} {
		state := environment.DomainIn
		if slices.Contains(outOfService, name) {
			state = environment.DomainOut
		}
		p.recordOutage(name, state == environment.DomainOut)
		document.FailureDomains = append(document.FailureDomains, environment.FailureDomain{Name: units.DomainName(name), Region: "r", State: state})
	}
	if !p.configurationFrozen {
		p.encodedDocument, p.documentOffset = environment.Encode(document), p.documentOffset+1
	}
}

// recordOutage records the start or the end of an outage of a domain.
func (p *Platform) recordOutage(domain string, out bool) {
	for i := range p.outages {
		if o := &p.outages[i]; o.domain == domain && o.to.IsZero() {
			if out {
				return
			}
			o.to = time.Now()
		}
	}
	if out {
		p.outages = append(p.outages, outage{domain: domain, from: time.Now()})
	}
}

// Submit adds a task of job "job".
func (p *Platform) Submit(index uint32, spec *wire.TaskSpec) {
	p.mu.Lock()
	defer p.mu.Unlock()
	name := units.Task{Job: "job", Index: index}
	p.tasks[name] = &taskState{spec: spec}
	p.order = append(p.order, name)
}

// AddViolation records the violation of a rule. It keeps the first 20.
func (p *Platform) AddViolation(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addViolation(format, args...)
}

// addViolation is AddViolation while p.mu is held.
func (p *Platform) addViolation(format string, args ...any) {
	if len(p.violations) < 20 {
		p.violations = append(p.violations, fmt.Sprintf(format, args...))
	}
}

// Done reports whether every batch task has ended.
func (p *Platform) Done() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.tasks {
		if !r.ended && r.spec.Kind != wire.TaskKind_TASK_KIND_WATCHER {
			return false
		}
	}
	return true
}

// SetLogReachable sets whether the entries can reach the log.
func (p *Platform) SetLogReachable(reachable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.logUnreachable = !reachable
}

// SetConfigurationFrozen sets whether the entries have lost the stream of
// configurations.
func (p *Platform) SetConfigurationFrozen(frozen bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.configurationFrozen = frozen
}

// Document returns the newest configuration document in its encoded form.
func (p *Platform) Document() []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.encodedDocument
}

// AgentHandler returns the handler of calls to a worker's agent on its newest
// session.
func (p *Platform) AgentHandler(worker string) http.Handler {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.agentHandlers[worker]
}

// Attempt returns the current attempt of a task and the worker to which it is
// assigned, or "" if the task is pending.
func (p *Platform) Attempt(t units.Task) (units.Attempt, string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return units.Attempt(p.tasks[t].attempt), p.tasks[t].worker
}

// Violations returns the recorded violations and those found in the runs: overlapping
// runs of a task, a rejected attempt that ran, and a start in a domain that had
// been out of service for more than 3 s.
func (p *Platform) Violations(runs []worker.Run, domains map[string]units.DomainName) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	problems := append(worker.Overlaps(runs), p.violations...)
	for _, r := range runs {
		name, err := units.ParseTask(r.Task)
		if err != nil || p.rejected[taskAttempt{name, r.Attempt}] {
			problems = append(problems, fmt.Sprintf("task %s: attempt %d was refused but ran on %s", r.Task, r.Attempt, r.Worker))
		}
		domain := string(domains[string(r.Worker)])
		for _, o := range p.outages {
			if o.domain == domain && r.Start.After(o.from.Add(3*time.Second)) && (o.to.IsZero() || r.Start.Before(o.to)) {
				problems = append(problems, fmt.Sprintf("task %s started in domain %s %s after it was taken out", r.Task, domain, r.Start.Sub(o.from)))
			}
		}
	}
	return problems
}

// EnableGuards publishes a document with the guards enabled.
func (p *Platform) EnableGuards() {
	p.mu.Lock()
	p.guardsEnabled = true
	p.mu.Unlock()
	p.Publish(nil, nil)
}
