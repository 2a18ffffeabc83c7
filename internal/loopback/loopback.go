// Package loopback reserves addresses for processes whose settings must contain
// their own address, and those of their peers, before they start.
//
// Binding port 0 and closing the listener does not reserve the port: the kernel
// may assign it to the next outgoing connection or to another test.
package loopback

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"

	"wasabihill.example/wasabihill/internal/fault"
)

// Kind classifies the errors of this package.
type Kind string

// Exhausted means that every port of the range is reserved or in use.
const Exhausted Kind = "exhausted"

// The ports are below the ephemeral range, so that no outgoing connection is
// assigned one between the reservation and the start of the process.
const (
	firstPort = 23000
	portCount = 9000
)

// nextPortIndex modulo portCount is the offset of the last tried port from
// firstPort. Each process starts at a different index, so that processes that start
// at the same time rarely try the same ports.
var nextPortIndex atomic.Int64

// activeReservations keeps reservations reachable, because the garbage collector
// closes the socket of an unreachable one.
var activeReservations sync.Map

func init() { nextPortIndex.Store(int64(os.Getpid() * 97)) }

// Reservation is the exclusive use of one TCP address among all Reservations on the
// machine.
type Reservation struct {
	Address netip.AddrPort // no process listened on it when it was reserved
	// udpConn is bound to the UDP port of the same number. It does not conflict
	// with TCP, so the process that uses the address can listen on it repeatedly.
	udpConn *net.UDPConn
}

// Reserve reserves a loopback address on which no process listens. The address
// stays reserved until Release is called or this process ends.
func Reserve() (*Reservation, error) {
	for range portCount {
		port := firstPort + nextPortIndex.Add(1)%portCount
		address := netip.MustParseAddrPort(fmt.Sprintf("127.0.0.1:%d", port))
		udpConn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
		if err != nil {
			continue // the port is already reserved
		}
		if listener, err := net.Listen("tcp", address.String()); err == nil {
			listener.Close()
			reservation := &Reservation{Address: address, udpConn: udpConn}
			activeReservations.Store(reservation, nil)
			return reservation, nil
		}
		udpConn.Close()
	}
	return nil, fault.New("reserve", Exhausted, "no free port from %d to %d", firstPort, firstPort+portCount-1)
}

// Release ends the reservation, so that the address can be reserved again.
func (r *Reservation) Release() {
	activeReservations.Delete(r)
	r.udpConn.Close()
}
