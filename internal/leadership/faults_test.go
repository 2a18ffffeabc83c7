package leadership_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/durable"
	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/leadership"
	"wasabihill.example/wasabihill/internal/standin/metastore"
	"wasabihill.example/wasabihill/pkg/units"
	"wasabihill.example/wasabihill/platform"
)

var (
	faultSeed     = flag.Uint64("leadership.seed", 1, "seed of the first schedule of faults")
	faultSeeds    = flag.Int("leadership.seeds", 4, "number of schedules of faults, played at the same time on a cluster that grows and on one that does not")
	faultDuration = flag.Duration("leadership.duration", 12*time.Second, "duration of a schedule of faults")
)

// storeMode is how a faultyStore treats calls.
type storeMode int

const (
	storeServes storeMode = iota
	storeDown             // calls are not executed and get no reply
	storeLosesReplies
	storeIsLate // appends are executed later, some with a late reply and some with none
	storeModes  // number of modes
)

// faultyStore is one process's connection to the store.
type faultyStore struct {
	durable.Store
	mu   sync.Mutex
	mode storeMode
	rand *rand.Rand
}

func (s *faultyStore) set(mode storeMode) {
	s.mu.Lock()
	s.mode = mode
	s.mu.Unlock()
}

// draw returns the mode and how late a call is.
func (s *faultyStore) draw() (mode storeMode, delay time.Duration, replies bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mode, time.Duration(s.rand.Int64N(int64(3 * time.Second))), s.rand.IntN(2) == 0
}

var errNoReply = fault.New("append", durable.Unknown, "no reply")

func (s *faultyStore) Append(ctx context.Context, in durable.AppendRequest) (units.Offset, error) {
	mode, delay, replies := s.draw()
	switch mode {
	case storeDown:
		time.Sleep(50 * time.Millisecond)
		return 0, errNoReply
	case storeLosesReplies:
		_, _ = s.Store.Append(ctx, in) // its result is lost
		return 0, errNoReply
	case storeIsLate:
		return s.appendLate(ctx, in, delay, replies)
	}
	return s.Store.Append(ctx, in)
}

// appendLate executes an append after the delay, even if the caller waits no longer.
func (s *faultyStore) appendLate(ctx context.Context, in durable.AppendRequest, delay time.Duration, replies bool) (units.Offset, error) {
	type result struct {
		offset units.Offset
		err    error
	}
	done := make(chan result, 1)
	go func() {
		time.Sleep(delay)
		offset, err := s.Store.Append(context.Background(), in)
		done <- result{offset, err}
	}()
	if !replies {
		time.Sleep(50 * time.Millisecond)
		return 0, errNoReply
	}
	select {
	case r := <-done:
		return r.offset, r.err
	case <-ctx.Done():
		return 0, errNoReply
	}
}

func (s *faultyStore) Read(ctx context.Context, t durable.Topic, keyed bool, from units.Offset, wait time.Duration) (durable.Batch, error) {
	if mode, _, _ := s.draw(); mode != storeServes {
		time.Sleep(50 * time.Millisecond)
		return durable.Batch{}, fault.New("read", durable.Unavailable, "no reply")
	}
	return s.Store.Read(ctx, t, keyed, from, wait)
}

// member is a process that takes part in the election. Its elector is replaced at a restart.
type member struct {
	cluster *cluster
	name    string
	store   *faultyStore
	server  *metastore.Server
	// registered is the offset of the process's record among the members.
	registered units.Offset
	readEnd    atomic.Uint64 // the process has read the members below

	connected atomic.Bool // the leader that this process knows leads

	mu      sync.Mutex
	elector *leadership.Elector // nil while the process is down
	stop    func()
}

func (m *member) running() *leadership.Elector {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.elector
}

// Registered implements leadership.Membership.
func (m *member) Registered() units.Offset { return m.registered }

// ReadEnd implements leadership.Membership.
func (m *member) ReadEnd() units.Offset { return units.Offset(m.readEnd.Load()) }

// Confirm implements leadership.Membership: no record is removed.
func (m *member) Confirm(context.Context) bool { return true }

// serves reports whether the store serves the process.
func (s *faultyStore) serves() bool {
	mode, _, _ := s.draw()
	return mode == storeServes
}

// start starts an incarnation of the process.
func (m *member) start(first bool) {
	e := &leadership.Elector{Store: m.store, Name: m.name, Address: m.name, FirstStart: first}
	if m.cluster.grows {
		e.Membership = m
	}
	e.RunLeader = func(ctx context.Context, _ leadership.Term) { <-ctx.Done() }
	e.RequestPromises = func(_ context.Context, term leadership.Term) (bootclock.Instant, bool) {
		return m.requestPromises(e, term)
	}
	e.NobodyLeads = func(context.Context) bool { return m.nobodyLeads() }
	e.Connected = m.connected.Load
	e.LeaderExited = func(_ context.Context, leader leadership.Leader) bool {
		other := m.cluster.running(leader.Name)
		return other != nil && !other.ConfirmOrRenounce(leader.Term)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	m.mu.Lock()
	m.elector = e
	m.stop = func() {
		cancel()
		wait.Wait()
	}
	m.mu.Unlock()
	wait.Go(func() { _ = e.Run(ctx) }) // ends with ctx
}

// nobodyLeads does what an entry process does.
func (m *member) nobodyLeads() bool {
	if m.ReadEnd() <= m.registered {
		return false
	}
	for _, other := range m.cluster.all() {
		if other == m || other.registered >= m.ReadEnd() {
			continue
		}
		if asked := other.running(); asked == nil || asked.MayLead() {
			return false
		}
	}
	return true
}

// requestPromises does what an entry process does.
func (m *member) requestPromises(e *leadership.Elector, term leadership.Term) (bootclock.Instant, bool) {
	sent := bootclock.Now()
	for _, other := range m.cluster.all() {
		if other == m || other.registered >= m.ReadEnd() {
			continue
		}
		asked := other.running()
		if asked == nil {
			return 0, false
		}
		asked.ObserveKnown(term, other.registered+1)
		promised, _, highest := asked.Promise(term)
		if !promised {
			e.ObserveTerm(highest)
			return 0, false
		}
		if highest == 0 && !e.Leads(term) {
			return 0, false
		}
	}
	return sent.Add(leadership.PromiseDuration), true
}

// kill ends the process. It can append nothing any more, also no release.
func (m *member) kill() {
	m.mu.Lock()
	stop := m.stop
	m.elector = nil
	m.mu.Unlock()
	m.store.set(storeDown)
	stop()
}

// cluster is a number of processes that elect a leader.
type cluster struct {
	log   *metastore.Log
	seed  uint64
	grows bool // processes register and are added; otherwise each knows all
	rand  *rand.Rand
	steps []step // still to come of an outage

	mu      sync.Mutex
	members []*member
}

const (
	// firstMembers is the number of processes that start at first.
	firstMembers = 3
	// maxMembers limits the processes, added ones included.
	maxMembers = 5
)

// all returns the processes.
func (c *cluster) all() []*member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.members)
}

// add registers a process that has not started.
func (c *cluster) add() *member {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := len(c.members)
	server := c.log.NewServer()
	store := &faultyStore{Store: platform.NewStoreClient(server.Address), rand: rand.New(rand.NewPCG(c.seed, uint64(i+1)))}
	m := &member{cluster: c, name: fmt.Sprintf("m%d", i), store: store, server: server, registered: units.Offset(i)}
	c.members = append(c.members, m)
	return m
}

// readMembers lets each process that the store serves read the members. Others keep what they know.
func (c *cluster) readMembers() {
	members := c.all()
	for _, m := range members {
		if m.store.serves() {
			m.readEnd.Store(uint64(len(members)))
		}
	}
}

// step is a change at a time.
type step struct {
	at     time.Time
	change func()
}

func newCluster(t *testing.T, seed uint64, grows bool) *cluster {
	c := &cluster{log: metastore.NewLog(), seed: seed, grows: grows, rand: rand.New(rand.NewPCG(seed, 0))}
	for range firstMembers {
		c.add()
	}
	c.readMembers()
	for _, m := range c.all() {
		m.start(true)
	}
	t.Cleanup(func() {
		for _, m := range c.all() {
			if m.running() != nil {
				m.kill()
			}
			m.server.Close()
		}
	})
	return c
}

// running returns the elector of the process of that name, or nil.
func (c *cluster) running(name string) *leadership.Elector {
	for _, m := range c.all() {
		if m.name == name {
			return m.running()
		}
	}
	return nil
}

// connect tells every process whether the leader that it knows leads.
func (c *cluster) connect() {
	for _, m := range c.all() {
		if e := m.running(); e != nil {
			leader := e.Leader()
			other := c.running(leader.Name)
			m.connected.Store(other != nil && other.Leads(leader.Term))
		}
	}
}

// disrupt changes the store's mode for a process, restarts one, deletes records or begins an
// outage. In a cluster that grows, some outages add a process.
func (c *cluster) disrupt() {
	if c.grows && c.rand.IntN(5) == 0 {
		c.planAddition()
		return
	}
	members := c.all()
	m := members[c.rand.IntN(len(members))]
	switch c.rand.IntN(8) {
	case 0:
		c.restart(m)
	case 1:
		c.log.DeleteHistory()
	case 2, 3, 4:
		c.planOutage()
	default:
		m.store.set(storeMode(c.rand.IntN(int(storeModes))))
	}
}

func (c *cluster) restart(m *member) {
	if m.running() != nil {
		m.kill()
	}
	m.store.set(storeMode(c.rand.IntN(int(storeModes))))
	m.start(false)
}

// planAddition lets the store turn all processes away and adds one that it serves. The store may
// forget its records meanwhile, and may have executed a claim of another process.
func (c *cluster) planAddition() {
	if len(c.all()) >= maxMembers {
		c.planOutage()
		return
	}
	after := time.Now()
	plan := func(wait time.Duration, change func()) {
		after = after.Add(wait)
		c.steps = append(c.steps, step{after, change})
	}
	modes := []storeMode{storeDown, storeLosesReplies, storeIsLate}
	for _, m := range c.all() {
		m.store.set(modes[c.rand.IntN(len(modes))])
	}
	plan(c.draw(0, 2500*time.Millisecond), func() {
		for _, m := range c.all() {
			m.store.set(storeDown)
		}
	})
	if c.rand.IntN(2) == 0 {
		plan(c.draw(0, time.Second), c.log.DeleteHistory)
	}
	plan(c.draw(0, time.Second), func() { c.add().start(false) })
	plan(c.draw(3*time.Second, 6*time.Second), func() {})
	for _, m := range c.all() {
		plan(c.draw(0, time.Second), func() { m.store.set(storeServes) })
	}
}

// planOutage lets an outage begin at the leader: the others still have the store, late or
// not, when they claim the leadership, and lose it then. Afterwards the store is back for
// one process after the other, some of which are restarted before.
func (c *cluster) planOutage() {
	after := time.Now()
	plan := func(wait time.Duration, change func()) {
		after = after.Add(wait)
		c.steps = append(c.steps, step{after, change})
	}
	for _, m := range c.all() {
		if e := m.running(); e != nil && e.Leads(e.Leader().Term) {
			m.store.set(storeDown)
		} else {
			m.store.set([]storeMode{storeServes, storeIsLate}[c.rand.IntN(2)])
		}
	}
	plan(c.draw(500*time.Millisecond, 2500*time.Millisecond), func() {
		for _, m := range c.all() {
			m.store.set(storeDown)
		}
	})
	plan(c.draw(500*time.Millisecond, 2500*time.Millisecond), func() {})
	members := c.all()
	for _, i := range c.rand.Perm(len(members)) {
		if c.rand.IntN(4) == 0 {
			plan(0, func() { c.restart(members[i]) })
		}
		plan(c.draw(0, time.Second), func() { members[i].store.set(storeServes) })
	}
}

// draw returns a duration of at least least and less than most.
func (c *cluster) draw(least, most time.Duration) time.Duration {
	return least + time.Duration(c.rand.Int64N(int64(most-least)))
}

// advance makes the planned changes whose time has come.
func (c *cluster) advance() {
	for len(c.steps) > 0 && time.Now().After(c.steps[0].at) {
		change := c.steps[0].change
		c.steps = c.steps[1:]
		change()
	}
}

// leaders returns the processes that lead at the same time.
func (c *cluster) leaders() []string {
	type leader struct {
		name    string
		elector *leadership.Elector
		term    leadership.Term
	}
	var first []leader
	for _, m := range c.all() {
		if e := m.running(); e != nil {
			if l := (leader{m.name, e, e.Leader().Term}); e.Leads(l.term) {
				first = append(first, l)
			}
		}
	}
	var names []string
	for _, l := range first { // what led before and after the first pass led at its end
		if l.elector.Leads(l.term) {
			names = append(names, fmt.Sprintf("%s (term %d)", l.name, l.term))
		}
	}
	return names
}

// Two processes must never lead at the same time, whatever happens to the store, to the
// replies and to the processes: both would start tasks and grant leases.
func TestOneLeaderAtATimeDespiteFaults(t *testing.T) {
	for i := range 2 * *faultSeeds {
		seed, grows := *faultSeed+uint64(i/2), i%2 == 1
		t.Run(fmt.Sprintf("seed %d grows %t", seed, grows), func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, seed, grows)
			end := time.Now().Add(*faultDuration)
			next, led := time.Now().Add(time.Second), false
			for time.Now().Before(end) {
				c.readMembers()
				c.connect()
				leaders := c.leaders()
				if len(leaders) > 1 {
					t.Fatalf("seed %d: got leaders %v at the same time, want at most one", seed, leaders)
				}
				led = led || len(leaders) == 1
				c.advance()
				if len(c.steps) == 0 && time.Now().After(next) {
					c.disrupt()
					next = time.Now().Add(c.draw(0, 1500*time.Millisecond))
				}
				time.Sleep(time.Millisecond)
			}
			if !led {
				t.Errorf("seed %d: nobody led", seed)
			}
		})
	}
}
