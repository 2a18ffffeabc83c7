package capacity

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"wasabihill.example/wasabihill/internal/entry"
	"wasabihill.example/wasabihill/internal/gateway"
	"wasabihill.example/wasabihill/internal/link"
	"wasabihill.example/wasabihill/internal/routing"
	"wasabihill.example/wasabihill/internal/settings"
	"wasabihill.example/wasabihill/pkg/environment"
	"wasabihill.example/wasabihill/pkg/logservice"
	"wasabihill.example/wasabihill/pkg/units"
)

// token is the operator's in every measurement.
const token = "capacity"

// entriesSettings are those of the role that holds the entry processes.
type entriesSettings struct {
	Count int
	Log   string // address
}

// entriesReady says where the entry processes listen.
type entriesReady struct{ Links, Administrations []string }

// logConnections is what the entry process's main uses.
const logConnections = 8

func startEntries(ctx context.Context, s entriesSettings) (any, func(Detail) Sample, func(), error) {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	stop := func() { cancel(); running.Wait() }
	scope := tally.NewTestScope("", nil)
	var ready entriesReady
	var ports []int
	for i := range s.Count {
		addresses, err := freeAddresses(3)
		if err != nil {
			stop()
			return nil, nil, nil, err
		}
		e := newEntry(i, addresses, s.Log, scope)
		ready.Links = append(ready.Links, addresses[2].String())
		ready.Administrations = append(ready.Administrations, addresses[1].String())
		ports = append(ports, int(addresses[2].Port()))
		running.Go(func() {
			if err := e.Run(ctx); err != nil {
				fmt.Println("entry process ended:", err)
			}
		})
	}
	logPort := int(netip.MustParseAddrPort(s.Log).Port())
	classify := func(local, remote int) string {
		switch {
		case remote == logPort:
			return "log"
		case slices.Contains(ports, local):
			return "agents"
		}
		return "other"
	}
	return ready, func(detail Detail) Sample {
		sample := Take(classify, detail)
		sample.Counters = counters(scope)
		return sample
	}, stop, nil
}

func counters(scope tally.TestScope) map[string]int64 {
	values := make(map[string]int64)
	for _, c := range scope.Snapshot().Counters() {
		values[c.Name()] += c.Value()
	}
	return values
}

func newEntry(i int, addresses []netip.AddrPort, log string, scope tally.Scope) *entry.Entry {
	s := &settings.Entry{
		ID: units.EntryID(fmt.Sprintf("entry-%d", i+1)), Environment: environmentName,
		FailureDomain: domains[i%len(domains)], Region: region(i),
		CallerAddress: addresses[0], AdminAddress: addresses[1], LinkAddress: addresses[2], AdvertisedLinkAddress: addresses[2],
		OperatorToken: settings.NewSecret(token),
		Limits: settings.EntryLimits{
			CallerRequests: 10_000, CallerBody: units.MiB, CallerTimeout: time.Minute, AdminRequests: 256, AdminBody: units.MiB,
			AdminTimeout: 10 * time.Second, HeaderBytes: 16 * units.KiB, Connections: 20_000, TimelineEvents: 20_000, StreamsPerSession: 1024,
		},
	}
	return &entry.Entry{
		Settings: s, Scope: scope, DrainFor: time.Millisecond,
		Log: &logservice.Client{BaseURL: "http://" + log, HTTP: &http.Client{
			Transport: &http.Transport{MaxIdleConnsPerHost: logConnections, IdleConnTimeout: time.Minute}}},
		Requests: func(e *entry.Entry) entry.Requests { return newRequestPath(e, s, scope) },
	}
}

// requestPath gives the entry process its table of endpoints, which every
// heartbeat updates.
type requestPath struct {
	*gateway.Gateway
	table *routing.Table
}

func newRequestPath(e *entry.Entry, s *settings.Entry, scope tally.Scope) *requestPath {
	table := routing.New(routing.Settings{Domain: s.FailureDomain, Region: s.Region})
	return &requestPath{table: table, Gateway: gateway.New(gateway.Options{
		Table: table, Scope: scope, Limit: s.Limits.CallerRequests, BodyBytes: int64(s.Limits.CallerBody), MaxTime: s.Limits.CallerTimeout,
		Document: func() *environment.Document {
			d, _ := e.Document()
			return d
		},
	})}
}

// Observe implements entry.Requests.
func (p *requestPath) Observe(worker units.WorkerID, session *link.Session, beat entry.Beat) {
	p.table.Observe(worker, session, beat.Message, beat.At)
}

// Update implements entry.Requests.
func (p *requestPath) Update(d *environment.Document) { p.table.SetDocument(d, time.Now()) }

// freeAddresses returns addresses that were free a moment ago.
func freeAddresses(n int) ([]netip.AddrPort, error) {
	var addresses []netip.AddrPort
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		addresses = append(addresses, netip.MustParseAddrPort(l.Addr().String()))
	}
	return addresses, nil
}
