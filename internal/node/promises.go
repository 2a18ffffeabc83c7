package node

import (
	"context"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/leadership"
	"wasabihill.example/wasabihill/internal/link"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

// What the entry processes ask each other about the leadership: whether the leader's process
// has ended, and promises not to claim.

// handleVacancy reports whether this process leads the given term or has just
// claimed it. Otherwise the process renounces that term. If it is asked for any term, it reports
// whether this process may lead one.
func (e *Entry) handleVacancy(_ context.Context, in *wire.VacancyRequest) (*wire.VacancyReply, error) {
	if in.GetAny() {
		return &wire.VacancyReply{Name: e.Settings.Name, Any: true, Leads: e.elector.MayLead()}, nil
	}
	return &wire.VacancyReply{Name: e.Settings.Name, Leads: e.elector.ConfirmOrRenounce(leadership.Term(in.GetTerm()))}, nil
}

// leaderExited queries the process at the leader's address. It returns true when a
// process of the leader's name answers that it does not lead the leader's term, as
// after a restart, and false without a reply.
func (e *Entry) leaderExited(ctx context.Context, leader leadership.Leader) bool {
	ctx, cancel := context.WithTimeout(ctx, vacancyTimeout)
	defer cancel()
	session, err := link.Dial(ctx, leader.Address, nil)
	if err != nil {
		return false
	}
	defer session.Close()
	reply := &wire.VacancyReply{}
	if err := session.Call(ctx, pathVacancy, &wire.VacancyRequest{Term: uint64(leader.Term)}, reply); err != nil {
		return false
	}
	return reply.GetName() == leader.Name && !reply.GetLeads()
}

// nobodyLeads reports whether all other registered entry processes have answered that they
// neither lead nor are about to. It is false until this process has read the members that
// registered before it.
func (e *Entry) nobodyLeads(ctx context.Context) bool {
	if e.membership.ReadEnd() <= e.membership.Registered() {
		return false
	}
	e.mu.Lock()
	others := e.peers.registered()
	e.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, vacancyTimeout)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	for name, address := range others {
		group.Go(func() error { return requestVacancy(ctx, name, address) })
	}
	err := group.Wait()
	if err != nil {
		klog.InfoS("it is not known who leads", "others", len(others), "err", err)
	}
	return err == nil
}

// requestVacancy returns an error unless the named process at the address answers that it
// neither leads nor is about to.
func requestVacancy(ctx context.Context, name, address string) error {
	session, err := link.Dial(ctx, address, nil)
	if err != nil {
		return err
	}
	defer session.Close()
	reply := &wire.VacancyReply{}
	if err := session.Call(ctx, pathVacancy, &wire.VacancyRequest{Any: true}, reply); err != nil {
		return err
	}
	if reply.GetName() != name || !reply.GetAny() || reply.GetLeads() {
		return fault.New("vacancy", link.Rejected, "%s: process %q, may lead %t", address, reply.GetName(), reply.GetLeads())
	}
	return nil
}

// handlePromise answers another process's request for a promise not to claim the
// leadership.
func (e *Entry) handlePromise(_ context.Context, in *wire.SupportRequest) (*wire.SupportReply, error) {
	e.elector.ObserveKnown(leadership.Term(in.GetTerm()), units.Offset(in.GetMembersEnd()))
	promised, reachable, latestTerm := e.elector.Promise(leadership.Term(in.GetTerm()))
	return &wire.SupportReply{Name: e.Settings.Name, Promised: promised, StoreReachable: reachable, Term: uint64(latestTerm)}, nil
}

// requestPromises requests a promise from every other entry process not to claim
// the leadership. It returns the time at which the promises expire, and false
// unless every process promised. If the lease has ended, the promise of a process that
// has read no record since its start does not count: an earlier incarnation of it may
// have led a later term.
func (e *Entry) requestPromises(ctx context.Context, term leadership.Term) (bootclock.Instant, bool) {
	renewedAt := e.elector.RenewedAt()
	e.mu.Lock()
	others := e.peers.mayClaim(renewedAt)
	e.mu.Unlock()
	sent := bootclock.Now()
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	for name, other := range others {
		group.Go(func() error { return e.requestPromise(ctx, name, other, term) })
	}
	if err := group.Wait(); err != nil {
		klog.InfoS("leadership is not supported", "term", term, "err", err)
		return 0, false
	}
	return sent.Add(leadership.PromiseDuration), true
}

// requestPromise requests a promise from the named process. It returns an error unless that one
// has promised: at its address there may be another process.
func (e *Entry) requestPromise(ctx context.Context, name string, other peer, term leadership.Term) error {
	address := other.address
	session, err := link.Dial(ctx, address, nil)
	if err != nil {
		return err
	}
	defer session.Close()
	reply := &wire.SupportReply{}
	if err := session.Call(ctx, pathSupport, &wire.SupportRequest{Term: uint64(term), MembersEnd: uint64(other.offset + 1)}, reply); err != nil {
		return err
	}
	if reply.GetName() != "" && reply.GetName() != name { // earlier versions name none
		return fault.New("support", link.Rejected, "%s: process %q has replied for %q", address, reply.GetName(), name)
	}
	if !reply.GetPromised() {
		e.elector.ObserveTerm(leadership.Term(reply.GetTerm()))
		return fault.New("support", link.Rejected, "%s: store reachable %t, term %d", address, reply.GetStoreReachable(), reply.GetTerm())
	}
	if reply.GetTerm() == 0 && !e.elector.Leads(term) {
		return fault.New("support", link.Rejected, "%s: promised, but has read no record since its start, and the lease has ended", address)
	}
	return nil
}
