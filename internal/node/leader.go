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
	"wasabihill.example/wasabihill/internal/scheduler"
	"wasabihill.example/wasabihill/internal/workflow"
	"wasabihill.example/wasabihill/pkg/units"
)

const (
	// idleTick is the interval of the rules without an event; due times and
	// leases that end are noticed this late at most.
	idleTick = 100 * time.Millisecond
	// eventQueue holds what arrives while the rules run.
	eventQueue = 1024
	// The rules rest after each run for ruleRest times as long as it took, so that
	// events gather while more happens than the rules can follow one by one.
	// Below shortestRest the wake-up costs more than the rest saves; longestRest
	// bounds what a start waits.
	ruleRest     = 3
	shortestRest = time.Millisecond
	longestRest  = 20 * time.Millisecond
	// expireEvery is the interval at which finished jobs are deleted.
	expireEvery = 5 * time.Second
	// unavailableRetry is when clients return while there is no leader; a
	// takeover takes about as long.
	unavailableRetry = time.Second
)

// leader runs the scheduler for one term. One goroutine owns the tables; the
// others send it events.
type leader struct {
	term     leadership.Term
	settings *Settings
	store    durable.Store
	feed     *operations.Follower
	leads    func() bool // this process has authority for the term now
	advisor  Advisor

	meters    meters
	events    chan func()
	scheduler *scheduler.Scheduler
	writer    *jobstore.Writer
	agents    map[units.WorkerID]*agentLink
	pending   map[workflow.JobID]*submission
	cancels   []cancellation
	group     *errgroup.Group
	ctx       context.Context
}

// submission is a job whose record is on its way to the store.
type submission struct{ waiters []chan Reply }

// cancellation is a cancelled job whose record is on its way.
type cancellation struct {
	flush  uint64
	waiter chan Reply
}

func now() scheduler.Timestamp { return scheduler.Timestamp{Boot: bootclock.Now(), Wall: time.Now()} }

// run leads until ctx ends or a later term has taken over.
func (l *leader) run() error {
	ctx := l.ctx
	l.agents = make(map[units.WorkerID]*agentLink)
	l.pending = make(map[workflow.JobID]*submission)
	l.writer = jobstore.New(l.store, uint64(l.term))
	if err := l.recover(ctx); err != nil {
		return err
	}
	l.group.Go(func() error { return l.writer.Run(ctx) })
	l.group.Go(func() error { return l.loop(ctx) })
	return l.group.Wait()
}

// recover reads the records of the earlier terms.
func (l *leader) recover(ctx context.Context) error {
	begin := time.Now()
	if err := l.writer.Fence(ctx); err != nil {
		return err
	}
	fenced := time.Now()
	items, err := l.writer.LoadSnapshot(ctx)
	if err != nil {
		return err
	}
	l.scheduler = scheduler.New(grantFor+grantMargin, l.settings.KeepFinished)
	l.scheduler.SetOperatorState(l.feed.State())
	if err := l.scheduler.Recover(items, now()); err != nil {
		return err
	}
	members, err := l.loadMembers(ctx)
	if err != nil {
		return err
	}
	for _, m := range members {
		if m.role == RoleAgent && m.address != "" {
			l.scheduler.RecoverWorker(units.WorkerID(m.name), now())
			l.connect(m)
		}
	}
	klog.InfoS("leader is ready", "term", l.term, "records", len(items), "members", len(members),
		"fence", fenced.Sub(begin), "total", time.Since(begin))
	l.group.Go(func() error {
		followMembers(ctx, l.store, func(m member) { l.event(func() { l.member(m) }) })
		return nil
	})
	return nil
}

func (l *leader) loadMembers(ctx context.Context) ([]member, error) {
	for {
		snapshot, err := l.store.ReadSnapshot(ctx, membersTopic)
		if err == nil {
			var members []member
			for _, item := range snapshot.Items {
				applyMember(item.Key, item.Value, func(m member) { members = append(members, m) })
			}
			return members, nil
		}
		if ctx.Err() != nil {
			return nil, err
		}
		pause.Jittered(ctx, storePause)
	}
}

// event hands fn to the goroutine that owns the tables. It reports false when
// the leader has ended.
func (l *leader) event(fn func()) bool {
	select {
	case l.events <- fn:
		return true
	case <-l.ctx.Done():
		return false
	}
}

// loop runs events and then, once, the rules over the tables.
func (l *leader) loop(ctx context.Context) error {
	timer := time.NewTimer(idleTick)
	defer timer.Stop()
	expire := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case fn := <-l.events:
			fn()
			l.drain()
		case <-timer.C:
		}
		timer.Reset(idleTick)
		if time.Since(expire) > expireEvery {
			expire = time.Now()
			if records := l.scheduler.RemoveExpired(now()); len(records) > 0 {
				l.writer.Write(records, nil)
			}
		}
		begin := time.Now()
		if err := l.tick(); err != nil {
			return err
		}
		if rest := min(ruleRest*time.Since(begin), longestRest); rest >= shortestRest {
			pause.For(ctx, rest)
		}
	}
}

// drain runs the events that have gathered.
func (l *leader) drain() {
	for {
		select {
		case fn := <-l.events:
			fn()
		default:
			return
		}
	}
}

// tick runs the rules, writes what has changed and sends the orders.
func (l *leader) tick() error {
	at := now()
	l.scheduler.Tick(at, l.mayStart(at))
	l.meters.rules(bootclock.Now().Sub(at.Boot))
	records, flush, err := l.scheduler.Flush()
	if err != nil {
		return err
	}
	if flush != 0 {
		l.writer.Write(records, func() {
			l.meters.flush(bootclock.Now().Sub(at.Boot))
			l.event(func() { l.committed(flush) })
		})
	}
	if !l.leads() {
		return nil
	}
	for _, orders := range l.scheduler.TakeOrders() {
		l.send(orders)
	}
	l.ask(at)
	return nil
}

// mayStart reports whether a task may start now: this process leads, and the
// operators' records are known up to a moment ago.
func (l *leader) mayStart(at scheduler.Timestamp) bool {
	current, ok := l.feed.CompleteUntil()
	return ok && l.leads() && at.Boot.Sub(current) < evidenceFor
}

func (l *leader) committed(flush uint64) {
	l.scheduler.CommitFlush(flush)
	for len(l.cancels) > 0 && l.cancels[0].flush <= flush {
		l.cancels[0].waiter <- Reply{Outcome: Found}
		l.cancels = l.cancels[1:]
	}
}

// member takes note of a process that has joined or left.
func (l *leader) member(m member) {
	if m.role != RoleAgent {
		return
	}
	id := units.WorkerID(m.name)
	if m.address == "" {
		return // an agent that has left comes back, or its leases end
	}
	if known := l.agents[id]; known != nil && known.address == m.address {
		return
	}
	l.scheduler.AddWorker(id, now())
	l.connect(m)
}

// serve answers a request of a client.
func (l *leader) serve(ctx context.Context, r Request) Reply {
	answer := make(chan Reply, 1)
	if !l.event(func() { l.handle(r, answer) }) {
		return Reply{Outcome: Unavailable, RetryAfter: unavailableRetry, Reason: "leader has ended"}
	}
	select {
	case reply := <-answer:
		return reply
	case <-ctx.Done():
	case <-l.ctx.Done():
	}
	if r.Verb == Submit || r.Verb == Cancel {
		return Reply{Outcome: Undecided, Reason: "the store has not answered"}
	}
	return Reply{Outcome: Unavailable, RetryAfter: unavailableRetry, Reason: "leader has ended"}
}

// handle runs in the goroutine that owns the tables.
func (l *leader) handle(r Request, answer chan Reply) {
	if !l.leads() {
		answer <- Reply{Outcome: Unavailable, RetryAfter: unavailableRetry, Reason: "leadership is not certain"}
		return
	}
	switch r.Verb {
	case Submit:
		l.submit(r, answer)
	case Look:
		state, known := l.scheduler.JobState(r.ID)
		if !known {
			answer <- l.unknownJob(r.ID)
			return
		}
		answer <- Reply{Outcome: Found, State: state}
	case Cancel:
		l.cancel(r, answer)
	case Count:
		answer <- Reply{Outcome: Found, Pending: l.scheduler.PendingJobs(r.Queue)}
	}
}

// unknownJob answers for a job without a durable record; one whose record is
// on its way may exist in a moment.
func (l *leader) unknownJob(id workflow.JobID) Reply {
	if l.pending[id] != nil {
		return Reply{Outcome: Unavailable, RetryAfter: unavailableRetry, Reason: "job is being accepted"}
	}
	return Reply{Outcome: NoJob}
}

func (l *leader) submit(r Request, answer chan Reply) {
	id := r.ID
	if l.scheduler.HasJob(id) {
		answer <- Reply{Outcome: Accepted, Reason: "known"}
		return
	}
	if s := l.pending[id]; s != nil {
		s.waiters = append(s.waiters, answer)
		return
	}
	if l.writer.Stalled() {
		answer <- Reply{Outcome: Refused, RetryAfter: unavailableRetry, Reason: "store does not answer"}
		return
	}
	value, err := workflow.Encode(r.Job, r.Rule)
	if err != nil {
		answer <- Reply{Outcome: Refused, Reason: err.Error()}
		return
	}
	s := &submission{waiters: []chan Reply{answer}}
	l.pending[id] = s
	record := durable.Record{Key: scheduler.JobKey(id), Value: value}
	l.writer.Write([]durable.Record{record}, func() { l.event(func() { l.accepted(r, s) }) })
}

func (l *leader) accepted(r Request, s *submission) {
	delete(l.pending, r.ID)
	klog.InfoS("job accepted", "job", r.ID, "queue", r.Queue, "priority", r.Rule.Priority, "steps", r.Job.Summary())
	l.scheduler.Accept(r.Job, r.Rule, now())
	for _, waiter := range s.waiters {
		waiter <- Reply{Outcome: Accepted}
	}
}

func (l *leader) cancel(r Request, answer chan Reply) {
	if l.pending[r.ID] != nil {
		answer <- Reply{Outcome: Unavailable, RetryAfter: unavailableRetry, Reason: "job is being accepted"}
		return
	}
	if !l.scheduler.HasJob(r.ID) {
		answer <- Reply{Outcome: NoJob}
		return
	}
	flush := l.scheduler.Cancel(r.ID, now())
	if flush == 0 {
		answer <- Reply{Outcome: Found} // final already, or cancelled before
		return
	}
	l.cancels = append(l.cancels, cancellation{flush, answer})
}

// ended reports whether err only says that the term is over.
func ended(ctx context.Context, err error) bool {
	return err == nil || ctx.Err() != nil || fault.Is(err, durable.Fenced)
}
