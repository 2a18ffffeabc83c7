package node

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/durable"
	"wasabihill.example/wasabihill/internal/leadership"
	"wasabihill.example/wasabihill/internal/link"
	"wasabihill.example/wasabihill/pkg/units"
)

// removalStore is a claimStore that tells the keys of deleted members.
type removalStore struct {
	claimStore
	removed chan string
}

func (s removalStore) Append(_ context.Context, in durable.AppendRequest) (units.Offset, error) {
	for _, r := range in.Records {
		if in.Topic == membersTopic && r.Value == nil {
			select {
			case s.removed <- r.Key:
			default:
			}
		}
	}
	return 0, nil
}

// Guards against a process whose record stays for good because another process has its address
// now, this one, which leads, or a third one: no lease by promises is possible any more.
func TestPeerWhoseAddressIsTakenIsRemoved(t *testing.T) {
	for name, taken := range map[string]bool{"by this process": false, "by another one": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testRemovalOfTakenAddress(t, taken)
		})
	}
}

// testRemovalOfTakenAddress checks that the leader removes the record of "gone", at whose address
// this process listens, or, if byAnother is set, one that has registered later.
func testRemovalOfTakenAddress(t *testing.T, byAnother bool) {
	listener := &link.Listener{Address: "127.0.0.1:0"}
	address, err := listener.Listen()
	if err != nil {
		t.Fatal(err)
	}
	runUntilCleanup(t, func(ctx context.Context) error { return runListener(ctx, listener) })
	store := removalStore{removed: make(chan string, 1)}
	leads := make(chan struct{}, 1)
	e := &Entry{Settings: &Settings{Name: "e", IP: "127.0.0.1", FirstPort: 1}, Store: store, peers: peers{}}
	if !byAnother {
		e.Settings.IP, e.Settings.FirstPort = splitAddress(t, address.String())
	}
	e.elector = &leadership.Elector{Store: store, Name: "e", FirstStart: true, RunLeader: func(ctx context.Context, _ leadership.Term) {
		leads <- struct{}{}
		<-ctx.Done()
	}}
	e.handleMember(member{role: RoleEntry, name: "gone", address: address.String(), offset: 3})
	if byAnother {
		e.handleMember(member{role: RoleEntry, name: "new", address: address.String(), offset: 5})
	}
	runUntilCleanup(t, e.elector.Run)
	<-leads
	runUntilCleanup(t, e.removeLostPeers)
	const wait = lostAfter + 3*probeInterval
	select {
	case key := <-store.removed:
		if want := memberKey(RoleEntry, "gone"); key != want {
			t.Errorf("removed record: got %s, want %s", key, want)
		}
	case <-time.After(wait):
		t.Errorf("within %v: got the record of the process that had the address kept, want it removed", wait)
	}
}

// splitAddress returns the IP and the port of an address.
func splitAddress(t *testing.T, address string) (ip string, port int) {
	t.Helper()
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		t.Fatal(err)
	}
	return parsed.Addr().String(), int(parsed.Port())
}
