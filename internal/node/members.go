package node

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/internal/durable"
	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/pause"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

const (
	// membersTopic is the topic with the address of every process, keyed by role and
	// machine.
	membersTopic durable.Topic = "members"
	// storeRetryDelay is the pause after a failed call to the store.
	storeRetryDelay = 150 * time.Millisecond
	// MaxNameBytes is the length of the longest name of a machine. With it the keys of all records
	// of a machine are valid.
	MaxNameBytes = 200
	// memberPollTimeout bounds one long poll for member records.
	memberPollTimeout = 5 * time.Second
)

// Role is the kind of a process. It is the prefix of a member's key in the store.
type Role string

// Roles of processes.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

func memberKey(role Role, name string) string { return string(role) + "/" + name }

// register appends this process's address to the members' topic and returns the
// record's offset. A later process on the same machine gets a higher offset. It
// retries until the store accepts the record or ctx ends.
func register(ctx context.Context, store durable.Store, role Role, name, address string) (units.Offset, error) {
	value, err := proto.Marshal(&wire.MemberRecord{Name: name, Address: address, Role: string(role)})
	if err != nil {
		return 0, err
	}
	record := durable.Record{Key: memberKey(role, name), Value: value}
	for {
		offset, err := store.Append(ctx, durable.AppendRequest{Topic: membersTopic, Keyed: true, Records: []durable.Record{record}})
		if err == nil {
			klog.InfoS("registered", "role", role, "name", name, "address", address, "offset", offset)
			return offset, nil
		}
		if ctx.Err() != nil {
			return 0, ctx.Err()
		}
		klog.InfoS("failed to register this process in the store; retrying", "err", err)
		pause.Jittered(ctx, storeRetryDelay)
	}
}

// member is a record of the members' topic.
type member struct {
	role    Role
	name    string
	address string // empty after the member has left
	offset  units.Offset
}

// decodeMember returns an error for a record that names no process that can be reached. A
// member of which that is not known would have to be waited for: the leader's recovery waits
// for the runs of each agent, and the leader's lease by promises for each entry process.
func decodeMember(key string, value []byte) (member, error) {
	role, name, ok := strings.Cut(key, "/")
	if !ok || Role(role) != RoleEntry && Role(role) != RoleAgent || name == "" || len(name) > MaxNameBytes || !utf8.ValidString(name) {
		return member{}, fmt.Errorf("member %q has no known role or no valid name", key)
	}
	m := member{role: Role(role), name: name}
	if value == nil {
		return m, nil
	}
	record := &wire.MemberRecord{}
	if err := proto.Unmarshal(value, record); err != nil {
		return member{}, fmt.Errorf("member %q: %w", key, err)
	}
	if record.GetName() != name || Role(record.GetRole()) != m.role {
		return member{}, fmt.Errorf("member %q: record is of %s %q", key, record.GetRole(), record.GetName())
	}
	if address, err := netip.ParseAddrPort(record.GetAddress()); err != nil || address.Port() == 0 {
		return member{}, fmt.Errorf("member %q: address %q is no IP address with a port", key, record.GetAddress())
	}
	m.address = record.GetAddress()
	return m, nil
}

// memberFollower is what followMembers calls.
type memberFollower struct {
	// apply processes a member's record.
	apply func(member)
	// present is called with the keys of all members that the store has. Any other member whose
	// record is below end has been removed, and the record of that may be deleted. It may be nil.
	present func(keys map[string]bool, end units.Offset)
	// known is called after each read with the offset below which all records were processed. It
	// may be nil.
	known func(units.Offset)
}

// followMembers passes every member and every later change to the follower until ctx ends.
func followMembers(ctx context.Context, store durable.Store, f memberFollower) {
	for ctx.Err() == nil {
		snapshot, err := store.ReadSnapshot(ctx, membersTopic)
		if err != nil {
			klog.InfoS("failed to read the members' topic; retrying", "err", err)
			pause.Jittered(ctx, storeRetryDelay)
			continue
		}
		f.applySnapshot(snapshot)
		f.tail(ctx, store, snapshot.From)
	}
}

func (f memberFollower) applySnapshot(snapshot durable.Snapshot) {
	keys := make(map[string]bool, len(snapshot.Items))
	for _, item := range snapshot.Items {
		keys[item.Key] = true
		applyMember(item.Key, item.Value, item.Offset, f.apply)
	}
	if f.present != nil {
		f.present(keys, snapshot.From)
	}
	if f.known != nil {
		f.known(snapshot.From)
	}
}

// tail passes every record from the offset on to the follower. It returns when ctx
// ends or the store reports an error other than unavailability, for example that
// records were missed.
func (f memberFollower) tail(ctx context.Context, store durable.Store, from units.Offset) {
	for ctx.Err() == nil {
		batch, err := store.Read(ctx, membersTopic, true, from, memberPollTimeout)
		if fault.Is(err, durable.Unavailable) {
			pause.Jittered(ctx, storeRetryDelay)
			continue
		}
		if err != nil {
			return
		}
		for i, r := range batch.Records {
			applyMember(r.Key, r.Value, from+units.Offset(i), f.apply)
		}
		from = batch.Next
		if f.known != nil {
			f.known(from)
		}
	}
}

func applyMember(key string, value []byte, offset units.Offset, fn func(member)) {
	m, err := decodeMember(key, value)
	if err != nil {
		klog.ErrorS(err, "skipping invalid member record")
		return
	}
	m.offset = offset
	fn(m)
}

// sessionAddress returns the address on which this process listens for sessions.
func (s *Settings) sessionAddress() string {
	return net.JoinHostPort(s.IP, strconv.Itoa(s.FirstPort))
}

// advertisedAddress returns the address to which other processes connect.
func (s *Settings) advertisedAddress() string {
	return net.JoinHostPort(cmp.Or(s.AdvertisedIP, s.IP), strconv.Itoa(s.FirstPort))
}
