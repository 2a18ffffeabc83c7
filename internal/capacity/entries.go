package capacity

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"wasabihill.example/wasabihill/internal/entry"
	"wasabihill.example/wasabihill/internal/loopback"
	"wasabihill.example/wasabihill/internal/process"
	"wasabihill.example/wasabihill/internal/settings"
	"wasabihill.example/wasabihill/pkg/units"
)

// operatorToken is the operator's token in all measurements.
const operatorToken = "capacity"

// entriesSettings are the settings of the role that runs all entry processes.
type entriesSettings struct {
	Count int
	Log   string // address
}

// entriesReady contains the addresses on which the entry processes listen.
type entriesReady struct{ Links, Administrations []string }

// startEntries starts all entry processes for serveChild. Traffic is classified as "log",
// "agents" or "other"; the last has the administration requests of the parent.
func startEntries(ctx context.Context, s entriesSettings) (any, func(Detail) Sample, func(), error) {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	stop := func() { cancel(); running.Wait() }
	scope := tally.NewTestScope("", nil)
	var ready entriesReady
	var ports []int
	for i := range s.Count {
		addresses, err := reserveAddresses(3)
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
				reportEnd(fmt.Sprintf("entry-%d", i+1), err)
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
		sample := TakeSample(classify, detail)
		sample.Counters = counters(scope)
		return sample
	}, stop, nil
}

// counters returns the sum of each counter over all entry processes.
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
		LogAddress: netip.MustParseAddrPort(log), OperatorToken: settings.NewSecret(operatorToken),
		Limits: settings.DefaultEntryLimits(),
	}
	e := process.NewEntry(s, scope)
	e.DrainDelay = time.Millisecond
	return e
}

// reserveAddresses reserves n addresses until this process exits.
func reserveAddresses(n int) ([]netip.AddrPort, error) {
	var addresses []netip.AddrPort
	for range n {
		reservation, err := loopback.Reserve()
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, reservation.Address)
	}
	return addresses, nil
}
