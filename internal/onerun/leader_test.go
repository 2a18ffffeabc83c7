package onerun

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/durable"
	"wasabihill.example/wasabihill/internal/operations"
	"wasabihill.example/wasabihill/internal/scheduler"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/internal/workflow"
	"wasabihill.example/wasabihill/pkg/units"
)

const (
	service      units.ServiceName = "desk"
	idleInterval                   = 100 * time.Millisecond
	redialDelay                    = 200 * time.Millisecond
)

// records are the durable records of all leaders. The store takes those of the last term only.
type records struct {
	mu    sync.Mutex
	term  uint64
	items map[string][]byte
}

func (r *records) write(term uint64, list []durable.Record) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if term < r.term {
		return false
	}
	for _, record := range list {
		if record.Value == nil {
			delete(r.items, record.Key)
			continue
		}
		r.items[record.Key] = record.Value
	}
	return true
}

// fence ends the writes of earlier terms and returns what they have written.
func (r *records) fence(term uint64) []durable.Item {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.term = term
	var items []durable.Item
	for key, value := range r.items {
		items = append(items, durable.Item{Key: key, Value: value})
	}
	return items
}

// leader does what the leader of internal/node does.
type leader struct {
	world     *world
	records   *records
	term      uint64
	scheduler *scheduler.Scheduler
	events    chan func()
	writes    chan func()
	ended     chan struct{} // closed when it leads no longer
	stalled   atomic.Int64  // until when its rules don't run, as an instant
	conns     map[string]*conn
	policy    workflow.Policy
}

func timestamp() scheduler.Timestamp {
	return scheduler.Timestamp{Boot: bootclock.Now(), Wall: time.Now()}
}

// lead begins the term of a leader, which recovers what the one before has recorded.
func lead(w *world, r *records, term uint64) *leader {
	l := &leader{world: w, records: r, term: term, events: make(chan func(), 1024), writes: make(chan func(), 1024), ended: make(chan struct{}),
		conns: make(map[string]*conn), policy: workflow.Policy{Service: service, MaxAttempts: 1000, Stretch: 2, LatencyAllowance: time.Second}}
	begin := timestamp()
	time.Sleep(w.rand.between(0, 2*time.Second)) // the recovery
	l.scheduler = scheduler.New(grantDuration+grantMargin, 2*time.Minute)
	l.scheduler.Term = term
	configuration := &operations.Configuration{Version: 1, Routes: []operations.Route{{Queue: "q", Host: "a", Prefix: "/q/", Policy: l.policy}}}
	configuration.Index()
	l.scheduler.SetOperatorState(operations.State{Configuration: configuration})
	l.scheduler.Recover(r.fence(term), timestamp())
	klog.InfoS("WORLD leader begins", "term", term)
	for _, m := range w.machines {
		l.scheduler.RecoverWorker(units.WorkerID(m.name), l.scheduler.MaxLeaseDuration, begin)
		l.conns[m.name] = &conn{leader: l, machine: m}
		go l.conns[m.name].run()
	}
	go l.loop()
	go func() {
		for {
			select {
			case fn := <-l.writes:
				fn()
			case <-l.ended:
				return
			}
		}
	}()
	return l
}

func (l *leader) isLeading() bool {
	select {
	case <-l.ended:
		return false
	default:
		return true
	}
}

// enqueue queues fn for the goroutine that runs the scheduler.
func (l *leader) enqueue(fn func()) bool {
	select {
	case l.events <- fn:
		return true
	case <-l.ended:
		return false
	}
}

func (l *leader) loop() {
	timer := time.NewTimer(idleInterval)
	defer timer.Stop()
	for {
		select {
		case <-l.ended:
			return
		case fn := <-l.events:
			fn()
		case <-timer.C:
		}
		timer.Reset(idleInterval)
		if left := time.Duration(l.stalled.Load()) - time.Duration(bootclock.Now()); left > 0 {
			time.Sleep(left)
		}
		l.tick()
	}
}

func (l *leader) tick() {
	l.scheduler.Tick(timestamp(), l.isLeading())
	list, flush, err := l.scheduler.Flush(timestamp())
	if err != nil {
		panic(err)
	}
	if flush != 0 {
		delay := l.world.rand.between(time.Millisecond, 20*time.Millisecond)
		if l.world.rand.chance(l.world.faults.outages) {
			delay = l.world.rand.between(0, 8*time.Second)
		}
		select {
		case l.writes <- func() {
			time.Sleep(delay)
			if l.records.write(l.term, list) {
				l.enqueue(func() { l.scheduler.CommitFlush(flush) })
			}
		}:
		case <-l.ended:
		}
	}
	if !l.isLeading() {
		l.scheduler.WithdrawStarts()
		return
	}
	for _, orders := range l.scheduler.TakeOrders() {
		l.conns[string(orders.Worker)].sendOrders(orders)
	}
}

// submit hands in a job with the given number of tasks, which last if the job is to fill.
func (l *leader) submit(lasts bool, number, tasks int) {
	kind := "b"
	if lasts {
		kind = "f"
	}
	j := &workflow.Job{ID: workflow.JobID(fmt.Sprintf("%s%015x", kind, number)), Queue: "q", Spec: "s", Submitted: time.Now(),
		Steps: []workflow.Step{{Count: tasks, Size: units.Resources{Processors: 500, Memory: units.GiB}, Estimate: 2 * time.Second, LongRunning: lasts}}}
	value, err := workflow.Encode(j, l.policy)
	if err != nil {
		panic(err)
	}
	if l.records.write(l.term, []durable.Record{{Key: scheduler.JobKey(j.ID), Value: value}}) {
		l.enqueue(func() { l.scheduler.Accept(j, l.policy, timestamp()) })
	}
}

// conn is a leader's connection to one agent. The goroutine of the scheduler guards its fields.
type conn struct {
	leader     *leader
	machine    *machine
	attachment uint64
	session    *session
}

func (c *conn) run() {
	l := c.leader
	for l.isLeading() {
		numbers := make(chan uint64, 1)
		if !l.enqueue(func() { c.attachment++; numbers <- c.attachment }) {
			return
		}
		var number uint64
		select {
		case number = <-numbers:
		case <-l.ended:
			return
		}
		c.attach(number)
		time.Sleep(l.world.rand.between(redialDelay/2, redialDelay))
	}
}

// attach opens a session and returns when it has ended.
func (c *conn) attach(number uint64) {
	l, id := c.leader, units.WorkerID(c.machine.name)
	s := dial(c, number)
	if s == nil {
		return
	}
	defer s.close()
	l.enqueue(func() { c.session = s; l.scheduler.Attach(id, timestamp()) })
	if _, ok := exchange(s, s.toAgent, func() (*wire.OrdersReply, bool) {
		return &wire.OrdersReply{}, s.agent.handleAttach(s, l.term, number)
	}); ok {
		select {
		case <-s.closed:
		case <-l.ended:
		}
	}
	l.enqueue(func() {
		if c.session == s {
			c.session = nil
			l.scheduler.Detach(id)
		}
	})
}

func (c *conn) sendOrders(orders scheduler.Orders) {
	s, attachment, l := c.session, c.attachment, c.leader
	if s == nil {
		return
	}
	go func() {
		if !l.isLeading() {
			s.close()
			return
		}
		reply, ok := exchange(s, s.toAgent, func() (*wire.OrdersReply, bool) {
			sequence, ok := s.agent.handleOrders(l.term, attachment, orders)
			return &wire.OrdersReply{Sequence: sequence}, ok
		})
		if !ok {
			s.close()
			return
		}
		l.enqueue(func() {
			if c.session == s {
				l.scheduler.ConfirmStarts(orders.Worker, orders.Starts, reply.GetSequence(), timestamp())
			}
		})
	}()
}

// applyReport returns no reply if the term has ended.
func (c *conn) applyReport(s *session, in *wire.WorkerReport) (*wire.ReportReply, bool) {
	type result struct {
		reply *wire.ReportReply
		ok    bool
	}
	l, id, results := c.leader, units.WorkerID(c.machine.name), make(chan result, 1)
	l.enqueue(func() {
		if in.GetAttachment() != s.attachment || c.attachment != s.attachment {
			results <- result{&wire.ReportReply{}, false}
			return
		}
		at := timestamp()
		l.scheduler.ApplyReport(id, in, at)
		l.world.learned(c.machine, in)
		granted := l.isLeading() && scheduler.MayExtendLease(in)
		if granted {
			l.scheduler.ExtendLease(id, in, at)
		}
		born, number := l.scheduler.DurableEnds(id)
		results <- result{&wire.ReportReply{Granted: granted, Recorded: number, RecordedBornUnixMs: born}, true}
	})
	select {
	case r := <-results:
		return r.reply, r.ok
	case <-l.ended:
		return &wire.ReportReply{}, false
	}
}
