package soak

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"strings"

	"wasabihill.example/wasabihill/internal/relay"
)

// leader returns the host whose name the newest record of the leadership contains.
func (f *fleet) leader() *host {
	record := string(f.store.LastValue("leadership"))
	for _, h := range f.entries {
		if strings.Contains(record, h.name) {
			return h
		}
	}
	return f.entries[0]
}

// connectNetworks makes the connections between machines pass the gates of both. Those
// between an agent and its runner pass none of them.
func (f *fleet) connectNetworks() {
	for _, h := range f.hosts() {
		h.toStore.SetPaths(func(net.Addr) relay.Path {
			return relay.Path{ToTarget: []*relay.Gate{&h.out}, FromTarget: []*relay.Gate{&h.in}}
		})
		h.sessions.SetPaths(func(client net.Addr) relay.Path {
			p := relay.Path{ToTarget: []*relay.Gate{&h.in}, FromTarget: []*relay.Gate{&h.out}}
			if peer := f.hostOf(client, h.sessions.Address()); peer != nil {
				p.ToTarget, p.FromTarget = append(p.ToTarget, &peer.out), append(p.FromTarget, &peer.in)
			}
			return p
		})
		if h.clients != nil {
			h.clients.SetPaths(func(net.Addr) relay.Path {
				return relay.Path{ToTarget: []*relay.Gate{&h.in}, FromTarget: []*relay.Gate{&h.out}}
			})
			continue
		}
		h.runnerCalls = &relay.Gate{}
		h.toRunner.SetPaths(func(net.Addr) relay.Path {
			h.hostFaults.mu.Lock()
			defer h.hostFaults.mu.Unlock()
			return relay.Path{ToTarget: []*relay.Gate{h.runnerCalls}}
		})
	}
}

// hostOf returns the host whose process has opened the connection from client to server, or nil
// if none has: the operating system gives all of them the same IP address.
func (f *fleet) hostOf(client net.Addr, server string) *host {
	from, err := netip.ParseAddrPort(client.String())
	if err != nil {
		return nil
	}
	to, err := netip.ParseAddrPort(server)
	if err != nil {
		return nil
	}
	inode, err := relay.SocketInode(from, to)
	if err != nil {
		return nil // the client has closed it
	}
	socket := fmt.Sprintf("socket:[%d]", inode)
	for _, h := range f.hosts() {
		dir := fmt.Sprintf("/proc/%d/fd", h.process.PID())
		files, err := os.ReadDir(dir)
		if err != nil {
			continue // the process has ended
		}
		for _, file := range files {
			if link, err := os.Readlink(dir + "/" + file.Name()); err == nil && link == socket {
				return h
			}
		}
	}
	return nil
}
