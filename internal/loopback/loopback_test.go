package loopback

import (
	"net"
	"testing"
)

// Guards against two processes of a test that are configured with the same address,
// and against an address in the ephemeral range, which an outgoing connection can
// occupy. Either makes a process exit at its start with "address already in use".
func TestReservedAddressIsNotReservedTwice(t *testing.T) {
	first, err := Reserve()
	if err != nil {
		t.Fatal(err)
	}
	defer first.Release()
	nextPortIndex.Add(-1) // simulates another process that tries the same port
	second, err := Reserve()
	if err != nil {
		t.Fatal(err)
	}
	defer second.Release()
	if second.Address == first.Address {
		t.Errorf("%s was reserved twice", first.Address)
	}
	if got, want := int(first.Address.Port()), firstPort+portCount; got >= want {
		t.Errorf("port: got %d, want below %d", got, want)
	}
	for range 2 {
		listener, err := net.Listen("tcp", first.Address.String())
		if err != nil {
			t.Fatalf("listen on the reserved address: %v", err)
		}
		listener.Close()
	}
}

// Guards against a long run that exhausts the ports because released addresses stay
// reserved.
func TestReleasedAddressIsReservedAgain(t *testing.T) {
	first, err := Reserve()
	if err != nil {
		t.Fatal(err)
	}
	first.Release()
	nextPortIndex.Add(-1)
	second, err := Reserve()
	if err != nil {
		t.Fatal(err)
	}
	defer second.Release()
	if got, want := second.Address, first.Address; got != want {
		t.Errorf("got %s, want the released address %s", got, want)
	}
}
