package relay

import (
	"encoding/binary"
	"net/netip"

	"golang.org/x/sys/unix"
)

// SocketInode asks the kernel for the inode of the socket that has connected from one address
// to the other. The table of sockets in /proc is long where many connections have just been
// closed, so it is not read.
func SocketInode(from, to netip.AddrPort) (uint32, error) {
	const (
		byFamily      = 20 // SOCK_DIAG_BY_FAMILY
		requestLength = unix.NLMSG_HDRLEN + 56
		sourceAt      = unix.NLMSG_HDRLEN + 8 // ports, addresses, interface and cookie of the socket
		inodeAt       = unix.NLMSG_HDRLEN + 68
	)
	fd, err := unix.Socket(unix.AF_NETLINK, unix.SOCK_DGRAM|unix.SOCK_CLOEXEC, unix.NETLINK_INET_DIAG)
	if err != nil {
		return 0, err
	}
	defer unix.Close(fd)
	q := make([]byte, requestLength)
	binary.NativeEndian.PutUint32(q, requestLength)
	binary.NativeEndian.PutUint16(q[4:], byFamily)
	binary.NativeEndian.PutUint16(q[6:], unix.NLM_F_REQUEST)
	q[unix.NLMSG_HDRLEN], q[unix.NLMSG_HDRLEN+1] = unix.AF_INET, unix.IPPROTO_TCP
	binary.NativeEndian.PutUint32(q[unix.NLMSG_HDRLEN+4:], ^uint32(0)) // in every state
	binary.BigEndian.PutUint16(q[sourceAt:], from.Port())
	binary.BigEndian.PutUint16(q[sourceAt+2:], to.Port())
	copy(q[sourceAt+4:], from.Addr().AsSlice())
	copy(q[sourceAt+20:], to.Addr().AsSlice())
	binary.NativeEndian.PutUint64(q[sourceAt+40:], ^uint64(0)) // any cookie
	if err := unix.Sendto(fd, q, 0, &unix.SockaddrNetlink{Family: unix.AF_NETLINK}); err != nil {
		return 0, err
	}
	reply := make([]byte, 4096)
	n, _, err := unix.Recvfrom(fd, reply, 0)
	if err != nil {
		return 0, err
	}
	if n < inodeAt+4 || binary.NativeEndian.Uint16(reply[4:]) != byFamily {
		return 0, unix.ENOENT
	}
	return binary.NativeEndian.Uint32(reply[inodeAt:]), nil
}
