package node

import (
	"context"
	"slices"
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/durable"
	"wasabihill.example/wasabihill/internal/leadership"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

// Guards against promises that fail for ever because of a machine that is gone for good, and
// against a lease by promises without a process that may still claim.
func TestRemovedPeerIsAskedUntilARenewalFollows(t *testing.T) {
	p := make(peers)
	removed := bootclock.Instant(time.Hour)
	p.apply(member{role: RoleEntry, name: "gone", address: "10.0.0.1:80"}, removed)
	p.apply(member{role: RoleEntry, name: "here", address: "10.0.0.2:80"}, removed)
	p.apply(member{role: RoleEntry, name: "gone"}, removed)
	asked := func(renewedAt bootclock.Instant) []string {
		var addresses []string
		for _, other := range p.mayClaim(renewedAt) {
			addresses = append(addresses, other.address)
		}
		slices.Sort(addresses)
		return addresses
	}
	if got, want := asked(removed.Add(-time.Second)), []string{"10.0.0.1:80", "10.0.0.2:80"}; !slices.Equal(got, want) {
		t.Errorf("last renewal before the removal: got %v, want %v", got, want)
	}
	if got, want := asked(removed.Add(time.Second)), []string{"10.0.0.2:80"}; !slices.Equal(got, want) {
		t.Errorf("renewal after the removal: got %v, want %v", got, want)
	}
	p.apply(member{role: RoleEntry, name: "gone", address: "10.0.0.3:80"}, removed)
	if got, want := asked(removed.Add(time.Second)), []string{"10.0.0.2:80", "10.0.0.3:80"}; !slices.Equal(got, want) {
		t.Errorf("registered again: got %v, want %v", got, want)
	}
}

// Guards against the removal of a process that was unreachable only for a moment, or at an
// address that it has left.
func TestPeerIsLostOnlyAfterAWhole(t *testing.T) {
	p := peers{"x": {address: "10.0.0.1:80"}}
	begin := bootclock.Instant(time.Hour)
	for _, c := range []struct {
		after   time.Duration
		address string
		reached bool
		want    bool
	}{
		{0, "10.0.0.1:80", false, false},
		{lostAfter - time.Second, "10.0.0.1:80", false, false},
		{lostAfter - time.Second, "10.0.0.1:80", true, false},
		{lostAfter, "10.0.0.1:80", false, false},
		{2 * lostAfter, "10.0.0.9:80", false, false},
		{2 * lostAfter, "10.0.0.1:80", false, true},
	} {
		if got := p.probed("x", c.address, c.reached, begin.Add(c.after)); got != c.want {
			t.Errorf("after %v, reached %t at %s: got lost %t, want %t", c.after, c.reached, c.address, got, c.want)
		}
	}
}

// memberStore is a members' topic.
type memberStore struct {
	durable.Store
	records []durable.Record
}

func (s *memberStore) Append(_ context.Context, in durable.AppendRequest) (units.Offset, error) {
	s.records = append(s.records, in.Records...)
	return units.Offset(len(s.records) - 1), nil
}

func (s *memberStore) Read(_ context.Context, _ durable.Topic, _ bool, from units.Offset, _ time.Duration) (durable.Batch, error) {
	end := units.Offset(len(s.records))
	return durable.Batch{Records: s.records[from:], Next: end, End: end}, nil
}

func (s *memberStore) ReadSnapshot(context.Context, durable.Topic) (durable.Snapshot, error) {
	newest := make(map[string]durable.Item)
	for i, r := range s.records {
		newest[r.Key] = durable.Item{Key: r.Key, Value: r.Value, Offset: units.Offset(i)}
	}
	snapshot := durable.Snapshot{From: units.Offset(len(s.records))}
	for _, item := range newest {
		if item.Value != nil {
			snapshot.Items = append(snapshot.Items, item)
		}
	}
	return snapshot, nil
}

// Guards against a process that leads although the leader has removed it and leads on without
// its promise, and against a restart that counts as a new process.
func TestMembershipEndsWithItsRemoval(t *testing.T) {
	const address = "10.0.0.1:80"
	store := &memberStore{}
	m := &membership{store: store, name: "x", offset: unregistered}
	if m.Confirm(t.Context()) {
		t.Error("before the registration: got confirmed, want not")
	}
	if err := m.register(t.Context(), address); err != nil {
		t.Fatal(err)
	}
	if !m.Confirm(t.Context()) || m.Registered() != 0 {
		t.Errorf("registered: got offset %d, want 0 and confirmed", m.Registered())
	}
	restarted := &membership{store: store, name: "x", offset: unregistered}
	if err := restarted.register(t.Context(), address); err != nil {
		t.Fatal(err)
	}
	if got := restarted.Registered(); got != 0 {
		t.Errorf("after a restart at the same address: got offset %d, want that of the first record", got)
	}
	removeMember(t.Context(), store, RoleEntry, "x")
	if restarted.Confirm(t.Context()) {
		t.Error("after the removal: got confirmed, want not")
	}
	if err := restarted.register(t.Context(), address); err != nil {
		t.Fatal(err)
	}
	if got := restarted.Registered(); got != 3 || !restarted.Confirm(t.Context()) {
		t.Errorf("registered again: got offset %d, want 3 and confirmed", got)
	}
	moved := &membership{store: store, name: "x", offset: unregistered}
	if err := moved.register(t.Context(), "10.0.0.2:80"); err != nil {
		t.Fatal(err)
	}
	if got := moved.Registered(); got != 4 {
		t.Errorf("at another address: got offset %d, want that of the new record", got)
	}
}

// Guards against a leader that leads on by the promise of another process, which has the address
// now: the one that is meant may be cut off and have the store, and claims.
func TestPromiseOfAnotherProcessDoesNotCount(t *testing.T) {
	address := servePromises(t, 1)
	e := &Entry{Settings: &Settings{Name: "e"}, peers: peers{"p": {address: address}, "q": {address: address}}, elector: &leadership.Elector{}}
	if _, ok := e.requestPromises(t.Context(), 1); ok {
		t.Error("promise of p at the address of q: got it counted for q, want no promise")
	}
	delete(e.peers, "q")
	if _, ok := e.requestPromises(t.Context(), 1); !ok {
		t.Error("promise of p alone: got none, want it")
	}
}

// Guards against a promise that counts for nobody, as the reply does not say whose it is.
func TestPromiseNamesItsProcess(t *testing.T) {
	e := &Entry{Settings: &Settings{Name: "p"}, elector: &leadership.Elector{}}
	reply, err := e.handlePromise(t.Context(), &wire.SupportRequest{Term: 1})
	if err != nil || reply.GetName() != "p" {
		t.Errorf("reply of p to a request for a promise: got name %q, error %v; want p, none", reply.GetName(), err)
	}
}

// Guards against a process whose record stays for good because another one answers at its
// address: no lease by promises is possible any more.
func TestPeerWhoseAddressHasAnotherProcessIsNotThere(t *testing.T) {
	p := make(peers)
	p.apply(member{role: RoleEntry, name: "gone", address: "10.0.0.1:80", offset: 3}, 0)
	p.apply(member{role: RoleEntry, name: "new", address: "10.0.0.1:80", offset: 5}, 0)
	p.apply(member{role: RoleEntry, name: "other", address: "10.0.0.2:80", offset: 4}, 0)
	for name, want := range map[string]bool{"gone": true, "new": false, "other": false} {
		if got := p.displaced(name); got != want {
			t.Errorf("another process at the address of %s: got %t, want %t", name, got, want)
		}
	}
}

// Guards against a process that takes itself for registered, and leads, although the leader has
// removed it and no longer asks it for promises: the record of the removal is deleted before it
// reads that.
func TestMembershipEndsWithADeletedRemoval(t *testing.T) {
	const address = "10.0.0.1:80"
	store := &memberStore{}
	e := &Entry{Settings: &Settings{Name: "x"}, peers: make(peers), membership: membership{store: store, name: "x", offset: unregistered}}
	readSnapshot := func() {
		t.Helper()
		snapshot, err := store.ReadSnapshot(t.Context(), membersTopic)
		if err != nil {
			t.Fatal(err)
		}
		e.memberFollower().applySnapshot(snapshot)
	}
	readSnapshot()
	if err := e.membership.register(t.Context(), address); err != nil {
		t.Fatal(err)
	}
	if got := e.membership.Registered(); got != 0 || !e.membership.Confirm(t.Context()) {
		t.Errorf("registered: got offset %d, want 0 and confirmed", got)
	}
	readSnapshot()
	if got := e.membership.Registered(); got != 0 {
		t.Errorf("present in the store: got offset %d, want 0", got)
	}
	removeMember(t.Context(), store, RoleEntry, "x")
	readSnapshot()
	if got := e.membership.Registered(); got != unregistered || e.membership.Confirm(t.Context()) {
		t.Errorf("removed: got offset %d, want it unregistered and not confirmed", got)
	}
	if err := e.membership.register(t.Context(), address); err != nil {
		t.Fatal(err)
	}
	if got := e.membership.Registered(); got != 2 || !e.membership.Confirm(t.Context()) {
		t.Errorf("registered again: got offset %d, want 2 and confirmed", got)
	}
}
