package node

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/durable"
	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/jobstore"
	"wasabihill.example/wasabihill/internal/leadership"
	"wasabihill.example/wasabihill/internal/operations"
	"wasabihill.example/wasabihill/internal/pause"
	"wasabihill.example/wasabihill/internal/runner"
	"wasabihill.example/wasabihill/internal/scheduler"
	"wasabihill.example/wasabihill/internal/workflow"
	"wasabihill.example/wasabihill/pkg/units"
)

const (
	// idleInterval is the interval at which the rules run without an event. It
	// bounds the delay with which due times and expired leases are detected.
	idleInterval = 100 * time.Millisecond
	// eventQueueSize bounds the events that are queued while the rules run.
	eventQueueSize = 1024
	// After each run of the rules the loop pauses for rulePauseFactor times the
	// duration of the run, so that events accumulate when they arrive faster
	// than the rules can process them one by one. A pause below minRulePause is
	// skipped, because the wake-up would cost more than the pause saves;
	// maxRulePause bounds the delay of a start.
	rulePauseFactor = 3
	minRulePause    = time.Millisecond
	maxRulePause    = 20 * time.Millisecond
	// expireInterval is the interval at which records of finished jobs are
	// deleted.
	expireInterval = 5 * time.Second
	// unavailableRetryAfter is the delay before clients retry while there is no
	// leader. A failover takes about as long.
	unavailableRetryAfter = time.Second
)

// leader runs the scheduler for one term. Only one of its goroutines accesses
// scheduler, agents, absences, submissions and cancellations; the others send it events.
type leader struct {
	term       leadership.Term
	previous   leadership.Term // term of the leader before; 0 if unknown
	settings   *Settings
	store      durable.Store
	operations *operations.Follower
	isLeading  func() bool // reports whether this process leads now
	// storeReachable reports whether the store has answered recently.
	storeReachable func() bool
	advisor        Advisor

	metrics       metrics
	events        chan func()
	scheduler     *scheduler.Scheduler
	writer        *jobstore.Writer
	agents        map[units.WorkerID]*agentConn
	absences      map[units.WorkerID]*recordedAbsence
	knownAbsent   map[units.WorkerID]bool // recorded by the previous leader
	readyAt       bootclock.Instant       // end of the recovery
	submissions   map[workflow.JobID]*submission
	cancellations []cancellation
	// commitFrom is the number of the first flush that may be committed. Earlier ones lack a
	// record that the store does not accept; that flush contains what takes its place.
	commitFrom uint64
	starvation time.Duration // longest starvation of a task in this term
	group      *errgroup.Group
	ctx        context.Context
}

// submission is a job whose record is being written to the store.
type submission struct{ waiters []chan Reply }

// cancellation is a cancelled job whose record is being written to the store.
type cancellation struct {
	flush  uint64
	waiter chan Reply
}

func now() scheduler.Timestamp { return scheduler.Timestamp{Boot: bootclock.Now(), Wall: time.Now()} }

// run leads until ctx ends or a later term has begun.
func (l *leader) run() error {
	ctx := l.ctx
	l.agents = make(map[units.WorkerID]*agentConn)
	l.absences = make(map[units.WorkerID]*recordedAbsence)
	l.knownAbsent = make(map[units.WorkerID]bool)
	l.submissions = make(map[workflow.JobID]*submission)
	l.writer = jobstore.New(l.store, uint64(l.term))
	l.writer.Limits = l.settings.StoreLimits.WithDefaults()
	l.writer.OnRejected = func(key string) { l.enqueue(func() { l.recordRejected(key) }) }
	if err := contain(l.metrics, func() error { return l.recover(ctx) }); err != nil {
		return err
	}
	l.group.Go(func() error { return l.writer.Run(ctx) })
	// After a panic the tables may be inconsistent, so the term ends, and the next leader
	// restores them from the records. The process goes on to serve its clients.
	l.group.Go(func() error { return contain(l.metrics, func() error { return l.loop(ctx) }) })
	return l.group.Wait()
}

// recover restores the scheduler from the records of the earlier terms.
func (l *leader) recover(ctx context.Context) error {
	// Earlier leaders have granted no lease since the term was won, so the leases of
	// their agents are counted from here and not from the end of the recovery.
	termBegin := now()
	begin := time.Now()
	members, awaitMembers := l.loadMembersBeside(ctx)
	defer awaitMembers()
	if err := l.writer.Fence(ctx); err != nil {
		return err
	}
	fenced := time.Now()
	items, err := l.writer.LoadSnapshot(ctx)
	if err != nil {
		return err
	}
	l.scheduler = scheduler.New(grantDuration+grantMargin, l.settings.FinishedJobRetention)
	l.scheduler.Term = uint64(l.term)
	l.scheduler.MaxRecordBytes = l.writer.Limits.RecordBytes
	l.scheduler.MaxStrayLeaseDuration = runner.LongestLease(l.settings.MaxLease)
	l.scheduler.SetOperatorState(l.operations.State())
	l.metrics.countMalformed(l.scheduler.Recover(items, now()))
	if err := awaitMembers(); err != nil {
		return err
	}
	absent := leasesLeft(items, l.previous, max(l.scheduler.MaxLeaseDuration, l.scheduler.MaxStrayLeaseDuration))
	for _, m := range *members {
		if m.role == RoleAgent && m.address != "" {
			id := units.WorkerID(m.name)
			left, ok := absent[id]
			l.knownAbsent[id] = ok
			if !ok {
				left = l.scheduler.MaxLeaseDuration
			}
			l.scheduler.RecoverWorker(id, left, termBegin)
			l.connectAgent(m)
		}
	}
	l.readyAt = bootclock.Now()
	klog.InfoS("leader is ready", "term", l.term, "records", len(items), "members", len(*members), "absent", len(absent),
		"fence", fenced.Sub(begin), "total", time.Since(begin))
	l.group.Go(func() error {
		followMembers(ctx, l.store, memberFollower{apply: func(m member) { l.enqueue(func() { l.handleMember(m) }) }})
		return nil
	})
	return nil
}

// loadMembersBeside loads the members beside the other records, so that a slow store delays
// the recovery less. The members are valid after wait has returned nil.
func (l *leader) loadMembersBeside(ctx context.Context) (members *[]member, wait func() error) {
	members = new([]member)
	loaded := make(chan struct{})
	var err error
	go func() {
		defer close(loaded)
		*members, err = l.loadMembers(ctx)
	}()
	return members, func() error {
		<-loaded
		return err
	}
}

func (l *leader) loadMembers(ctx context.Context) ([]member, error) {
	for {
		snapshot, err := l.store.ReadSnapshot(ctx, membersTopic)
		if err == nil {
			var members []member
			for _, item := range snapshot.Items {
				applyMember(item.Key, item.Value, item.Offset, func(m member) { members = append(members, m) })
			}
			return members, nil
		}
		if ctx.Err() != nil {
			return nil, err
		}
		pause.Jittered(ctx, storeRetryDelay)
	}
}

// enqueue queues fn for the goroutine that runs the scheduler. It returns false
// when the term has ended.
func (l *leader) enqueue(fn func()) bool {
	select {
	case l.events <- fn:
		return true
	case <-l.ctx.Done():
		return false
	}
}

// loop applies events and runs the rules until ctx ends.
func (l *leader) loop(ctx context.Context) error {
	timer := time.NewTimer(idleInterval)
	defer timer.Stop()
	lastExpire := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case fn := <-l.events:
			fn()
			l.runQueuedEvents()
		case <-timer.C:
		}
		timer.Reset(idleInterval)
		if time.Since(lastExpire) > expireInterval {
			lastExpire = time.Now()
			if records := l.scheduler.RemoveExpired(now()); len(records) > 0 {
				l.writer.Write(records, nil)
			}
		}
		begin := time.Now()
		if err := l.tick(); err != nil {
			return err
		}
		if delay := min(rulePauseFactor*time.Since(begin), maxRulePause); delay >= minRulePause {
			pause.For(ctx, delay)
		}
	}
}

// runQueuedEvents runs the events that are queued now.
func (l *leader) runQueuedEvents() {
	for {
		select {
		case fn := <-l.events:
			fn()
		default:
			return
		}
	}
}

// tick runs the scheduler's rules, writes the changed records and sends the
// orders.
func (l *leader) tick() error {
	at := now()
	l.scheduler.Tick(at, l.mayStart(at))
	l.metrics.recordRules(bootclock.Now().Sub(at.Boot))
	if starved := l.scheduler.LongestStarvation(); starved > l.starvation {
		l.starvation = starved
		l.metrics.recordStarvation(starved)
	}
	if err := l.writeRecords(at); err != nil {
		return err
	}
	if !l.isLeading() {
		l.scheduler.WithdrawStarts()
		return nil
	}
	for _, orders := range l.scheduler.TakeOrders() {
		l.sendOrders(orders)
	}
	l.requestAdvice(at)
	return nil
}

// writeRecords writes the scheduler's changed records and those of absent agents.
func (l *leader) writeRecords(at scheduler.Timestamp) error {
	records, flush, err := l.scheduler.Flush(at)
	if err != nil {
		return err
	}
	if flush != 0 {
		l.writer.Write(records, func() {
			l.metrics.recordFlush(bootclock.Now().Sub(at.Boot))
			l.enqueue(func() { l.flushCommitted(flush) })
		})
	}
	l.recordAbsences(at)
	return nil
}

// mayStart reports whether tasks may start now: this process leads, and its
// copy of the operators' records is recent.
func (l *leader) mayStart(at scheduler.Timestamp) bool {
	current, ok := l.operations.CompleteUntil()
	return ok && l.isLeading() && at.Boot.Sub(current) < maxOperationsAge
}

// flushCommitted records that the flush is durable and answers the
// cancellations that it covers.
func (l *leader) flushCommitted(flush uint64) {
	if flush < l.commitFrom {
		return
	}
	l.scheduler.CommitFlush(flush)
	for len(l.cancellations) > 0 && l.cancellations[0].flush <= flush {
		l.cancellations[0].waiter <- Reply{Outcome: Found}
		l.cancellations = l.cancellations[1:]
	}
}

// recordRejected lets a job fail, alone, of which the store does not accept a record.
func (l *leader) recordRejected(key string) {
	l.metrics.countRejectedRecord()
	if l.submissionRejected(key) {
		return
	}
	l.commitFrom = max(l.commitFrom, l.scheduler.RecordRejected(key, now()))
}

// handleMember connects to an agent that has registered or changed its address.
func (l *leader) handleMember(m member) {
	if m.role != RoleAgent {
		return
	}
	id := units.WorkerID(m.name)
	if m.address == "" {
		return // the agent registers again, or its leases expire
	}
	if existing := l.agents[id]; existing != nil && existing.address == m.address {
		return
	}
	l.scheduler.AddWorker(id, now())
	l.scheduler.Detach(id) // the end of the session to another address no longer does
	l.connectAgent(m)
}

// isTermEnd reports whether err is nil or results from the end of the term.
func isTermEnd(ctx context.Context, err error) bool {
	return err == nil || ctx.Err() != nil || fault.Is(err, durable.Fenced)
}
