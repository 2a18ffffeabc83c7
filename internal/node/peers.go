package node

import (
	"context"
	"net"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/durable"
	"wasabihill.example/wasabihill/internal/pause"
	"wasabihill.example/wasabihill/pkg/units"
)

// The other entry processes as the leader knows them, and the registration of this one. The
// rules that rely on them are in leadership/membership.go.

const (
	// probeInterval is the interval at which the leader checks whether it reaches the other
	// entry processes.
	probeInterval = 2 * time.Second
	// lostAfter is how long the leader does not reach an entry process before it removes its
	// record. A process that restarts or is frozen is back earlier.
	lostAfter = 8 * time.Second
	// unregistered is the offset of the record of a process that has none.
	unregistered = ^units.Offset(0)
)

// peer is another entry process.
type peer struct {
	address   string
	offset    units.Offset      // of its record
	lostSince bootclock.Instant // since when this process, as leader, has not reached it; 0 if it has
	removedAt bootclock.Instant // when its removal was read; 0 if it is registered
}

// peers holds the other entry processes by name.
type peers map[string]*peer

// apply updates the table from a member record.
func (p peers) apply(m member, now bootclock.Instant) {
	switch known := p[m.name]; {
	case m.address != "":
		p[m.name] = &peer{address: m.address, offset: m.offset}
	case known != nil && known.removedAt == 0:
		known.removedAt = now
	}
}

// displaced reports whether a process that has registered later has the address of the named
// one. Whoever answers there is that process.
func (p peers) displaced(name string) bool {
	this := p[name]
	if this == nil {
		return false
	}
	for _, other := range p {
		if other.address == this.address && other.offset > this.offset {
			return true
		}
	}
	return false
}

// mayClaim returns by name the processes that may claim the leadership while this process leads
// and has sent its last renewal at renewedAt: those that are registered, and those whose removal
// was read later. It forgets the others.
func (p peers) mayClaim(renewedAt bootclock.Instant) map[string]peer {
	others := make(map[string]peer, len(p))
	for name, other := range p {
		if other.removedAt != 0 && renewedAt.After(other.removedAt) {
			delete(p, name)
			continue
		}
		others[name] = *other
	}
	return others
}

// registered returns the addresses of the registered processes by name.
func (p peers) registered() map[string]string {
	addresses := make(map[string]string, len(p))
	for name, other := range p {
		if other.removedAt == 0 {
			addresses[name] = other.address
		}
	}
	return addresses
}

// probed records whether a process at the address was reached, and reports whether it has been
// lost for lostAfter.
func (p peers) probed(name, address string, reached bool, now bootclock.Instant) (lost bool) {
	other := p[name]
	switch {
	case other == nil || other.address != address || other.removedAt != 0:
		return false
	case reached:
		other.lostSince = 0
	case other.lostSince == 0:
		other.lostSince = now
	}
	return other.lostSince != 0 && now.Sub(other.lostSince) >= lostAfter
}

// forgetProbes forgets since when processes were not reached, as after a time without probes.
func (p peers) forgetProbes() {
	for _, other := range p {
		other.lostSince = 0
	}
}

// removeLostPeers removes the records of entry processes that this process, while it leads and
// has the store, does not reach for long. One that is only cut off registers again.
func (e *Entry) removeLostPeers(ctx context.Context) error {
	for ctx.Err() == nil {
		pause.For(ctx, probeInterval)
		leads := e.elector.Leads(e.elector.Leader().Term) && e.elector.StoreReachable()
		e.mu.Lock()
		registered := e.peers.registered()
		if !leads {
			e.peers.forgetProbes()
		}
		e.mu.Unlock()
		if !leads {
			continue
		}
		for name, address := range registered {
			// At the address of this process only this process answers.
			reached := address != e.Settings.advertisedAddress() && reaches(ctx, address)
			e.mu.Lock()
			lost := e.peers.probed(name, address, reached && !e.peers.displaced(name), bootclock.Now())
			e.mu.Unlock()
			if lost && e.elector.StoreReachable() {
				klog.InfoS("removing the record of an entry process that is not reached", "name", name, "address", address, "for", lostAfter)
				removeMember(ctx, e.Store, RoleEntry, name)
			}
		}
	}
	return nil
}

// reaches reports whether a process listens at the address.
func reaches(ctx context.Context, address string) bool {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}

// removeMember deletes a member's record. A failed call is repeated by the caller's next round.
func removeMember(ctx context.Context, store durable.Store, role Role, name string) {
	_, err := store.Append(ctx, durable.AppendRequest{Topic: membersTopic, Keyed: true, Records: []durable.Record{{Key: memberKey(role, name)}}})
	if err != nil {
		klog.InfoS("failed to remove the record of a member", "role", role, "name", name, "err", err)
	}
}

// membership is the registration of this entry process. It implements leadership.Membership.
type membership struct {
	store durable.Store
	name  string

	mu        sync.Mutex
	offset    units.Offset // of this process's record, or unregistered
	readEnd   units.Offset // all records below were read and applied
	removed   bool         // this process's record was removed, and it has not registered again
	removedAt units.Offset // offset after the last removal that was read or has to be assumed; 0 if there was none
}

// Registered implements leadership.Membership.
func (m *membership) Registered() units.Offset {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.offset
}

// ReadEnd implements leadership.Membership.
func (m *membership) ReadEnd() units.Offset {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.readEnd
}

func (m *membership) setReadEnd(end units.Offset) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.readEnd = max(m.readEnd, end)
}

// register registers this process at the address. If an earlier incarnation is registered
// there, its record counts: whoever knows that one asks at this address.
func (m *membership) register(ctx context.Context, address string) error {
	earlier, err := m.earlierRecord(ctx, address)
	if err != nil {
		return err
	}
	offset, err := register(ctx, m.store, RoleEntry, m.name, address)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if earlier < m.removedAt {
		earlier = offset
	}
	m.offset, m.removed = min(earlier, offset), false
	return nil
}

// earlierRecord returns the offset of this process's record with the address, or unregistered.
func (m *membership) earlierRecord(ctx context.Context, address string) (units.Offset, error) {
	for ctx.Err() == nil {
		snapshot, err := m.store.ReadSnapshot(ctx, membersTopic)
		if err != nil {
			klog.InfoS("failed to read the members' topic; retrying", "err", err)
			pause.Jittered(ctx, storeRetryDelay)
			continue
		}
		offset := units.Offset(unregistered)
		for _, item := range snapshot.Items {
			applyMember(item.Key, item.Value, item.Offset, func(other member) {
				if other.role == RoleEntry && other.name == m.name && other.address == address {
					offset = other.offset
				}
			})
		}
		return offset, nil
	}
	return unregistered, ctx.Err()
}

// observe updates the registration from a record of this process.
func (m *membership) observe(own member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if own.address != "" {
		return
	}
	m.removedAt = max(m.removedAt, own.offset+1)
	if m.offset != unregistered && own.offset > m.offset {
		klog.InfoS("the record of this process was removed; registering again", "offset", own.offset)
		m.offset, m.removed = unregistered, true
	}
}

// observeAbsence updates the registration after the store has shown no record of this process
// below end. Its removal may be deleted.
func (m *membership) observeAbsence(end units.Offset) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.removedAt = max(m.removedAt, end)
	if m.offset != unregistered && m.offset < end {
		klog.InfoS("the store has no record of this process any more; registering again", "end", end)
		m.offset, m.removed = unregistered, true
	}
}

// maintain registers this process again whenever its record was removed.
func (m *membership) maintain(ctx context.Context, address string) error {
	for ctx.Err() == nil {
		pause.For(ctx, storeRetryDelay)
		m.mu.Lock()
		removed := m.removed
		m.mu.Unlock()
		if removed {
			if err := m.register(ctx, address); err != nil {
				return ignoreCancelled(ctx, err)
			}
		}
	}
	return nil
}

// Confirm implements leadership.Membership. It reads the records behind those that were read
// and looks for a removal.
func (m *membership) Confirm(ctx context.Context) bool {
	m.mu.Lock()
	from, offset := m.readEnd, m.offset
	m.mu.Unlock()
	if offset == unregistered {
		return false
	}
	batch, err := m.store.Read(ctx, membersTopic, true, from, 0)
	if err != nil || batch.Next < batch.End {
		return false
	}
	for i, r := range batch.Records {
		applyMember(r.Key, r.Value, from+units.Offset(i), func(other member) {
			if other.role == RoleEntry && other.name == m.name {
				m.observe(other)
			}
		})
	}
	return m.Registered() != unregistered
}
