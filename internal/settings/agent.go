// Settings of an agent: its location, its worker and its initial entry processes.

package settings

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"

	"wasabihill.example/wasabihill/internal/strictjson"
	"wasabihill.example/wasabihill/pkg/units"
)

// Agent holds the settings of an agent.
type Agent struct {
	Worker                units.WorkerID
	Environment           units.EnvironmentName
	FailureDomain         units.DomainName
	Rack                  units.RackName
	Region                units.RegionName
	LinkAddress           netip.AddrPort      // listens for lease requests of other agents
	AdvertisedLinkAddress netip.AddrPort      // address that other agents connect to; LinkAddress when omitted
	AnnounceAddress       netip.AddrPort      // listens for announcements of the endpoint
	StatusAddress         netip.AddrPort      // listens for health checks and metrics; the zero value when omitted
	WorkerAddress         netip.AddrPort      // API of the worker
	EndpointServices      []units.ServiceName // services that may announce an endpoint here; any when empty
	Entries               []netip.AddrPort    // link addresses of the initial entry processes, which report the others
	Limits                AgentLimits
}

// AgentLimits limits what an agent keeps in memory.
type AgentLimits struct {
	QueuedRequests int // requests that wait for a slot of the endpoint
	TimelineEvents int // events kept until an entry process acknowledges them
}

// defaultAgentLimits keeps the memory of an agent below 64 MB.
var defaultAgentLimits = AgentLimits{QueuedRequests: 256, TimelineEvents: 2000}

var agentFields = []strictjson.Field[Agent]{
	{Name: "worker", Type: "name", Required: true, Purpose: "unique name of the worker beside the agent",
		Read: func(a *Agent, n strictjson.Node) { a.Worker = units.WorkerID(n.Name()) }},
	{Name: "environment", Type: "name", Required: true, Purpose: "environment that the worker belongs to",
		Read: func(a *Agent, n strictjson.Node) { a.Environment = units.EnvironmentName(n.Name()) }},
	{Name: "failureDomain", Type: "name", Required: true, Purpose: "failure domain of the worker",
		Read: func(a *Agent, n strictjson.Node) { a.FailureDomain = units.DomainName(n.Name()) }},
	{Name: "rack", Type: "name", Required: true, Purpose: "rack of the worker",
		Read: func(a *Agent, n strictjson.Node) { a.Rack = units.RackName(n.Name()) }},
	{Name: "region", Type: "name", Required: true, Purpose: "region of the failure domain",
		Read: func(a *Agent, n strictjson.Node) { a.Region = units.RegionName(n.Name()) }},
	{Name: "linkAddress", Type: "IP:port", Required: true, Purpose: "listens for lease requests of other agents",
		Read: func(a *Agent, n strictjson.Node) { a.LinkAddress = readAddress(n) }},
	{Name: "advertisedLinkAddress", Type: "IP:port", Purpose: "address that other agents dial; `linkAddress` when omitted",
		Read: func(a *Agent, n strictjson.Node) { a.AdvertisedLinkAddress = readDialAddress(n) }},
	{Name: "announceAddress", Type: "IP:port", Required: true, Purpose: "listens for announcements of the endpoint",
		Read: func(a *Agent, n strictjson.Node) { a.AnnounceAddress = readAddress(n) }},
	{Name: "statusAddress", Type: "IP:port", Purpose: "listens for health and metrics; none when omitted",
		Read: func(a *Agent, n strictjson.Node) { a.StatusAddress = readAddress(n) }},
	{Name: "workerAddress", Type: "IP:port", Required: true, Purpose: "API of the worker",
		Read: func(a *Agent, n strictjson.Node) { a.WorkerAddress = readDialAddress(n) }},
	{Name: "endpointServices", Type: "array of names", Purpose: "services that may announce an endpoint to this agent; any when omitted",
		Read: func(a *Agent, n strictjson.Node) {
			n.Each(func(e strictjson.Node) { a.EndpointServices = append(a.EndpointServices, units.ServiceName(e.Name())) })
		}},
	{Name: "entries", Type: "array of IP:port", Required: true, Purpose: "link addresses of entry processes to start from; at least one",
		Read: func(a *Agent, n strictjson.Node) {
			n.Each(func(e strictjson.Node) { a.Entries = append(a.Entries, readDialAddress(e)) })
		}},
	{Name: "limits", Type: "object", Purpose: "what the agent keeps",
		Read:   func(a *Agent, n strictjson.Node) { strictjson.Object(n, &a.Limits, agentLimitFields) },
		Nested: func(prefix string) []strictjson.Row { return strictjson.Rows(prefix, agentLimitFields) }},
}

var agentLimitFields = []strictjson.Field[AgentLimits]{
	{Name: "queuedRequests", Type: "whole number", Purpose: "requests that wait for a slot of the endpoint; 256 when omitted",
		Read: func(l *AgentLimits, n strictjson.Node) { l.QueuedRequests = int(n.Int(1, 65536)) }},
	{Name: "timelineEvents", Type: "whole number", Purpose: "events kept until an entry process has them; 2000 when omitted",
		Read: func(l *AgentLimits, n strictjson.Node) { l.TimelineEvents = int(n.Int(1, 65536)) }},
}

// ParseAgent parses and checks the settings of an agent. name is the file name in the
// problems. The error has KindInvalid. An agent has no token, so it looks up no environment
// variable; the parameter is that of ParseEntry.
func ParseAgent(name string, data []byte, _ Lookup) (*Agent, error) {
	a := &Agent{Limits: defaultAgentLimits}
	err := parse(name, data, a, agentFields, func(report report) {
		if len(a.Entries) == 0 {
			report("entries", "is empty; want at least one entry process")
		}
		checkAdvertisedAddress(report, "other agents", a.LinkAddress, a.AdvertisedLinkAddress)
		checkDistinctAddresses(report, []listenAddress{{"linkAddress", a.LinkAddress}, {"announceAddress", a.AnnounceAddress}, {"statusAddress", a.StatusAddress}})
	})
	if err != nil {
		return nil, err
	}
	if !a.AdvertisedLinkAddress.IsValid() {
		a.AdvertisedLinkAddress = a.LinkAddress
	}
	return a, nil
}

// listenAddress is an address to listen on, with the field that sets it.
type listenAddress struct {
	field   string
	address netip.AddrPort
}

// checkDistinctAddresses reports listeners that have the same address.
func checkDistinctAddresses(report report, listeners []listenAddress) {
	seen := map[netip.AddrPort]string{}
	for _, listener := range listeners {
		if !listener.address.IsValid() || listener.address.Port() == 0 {
			continue
		}
		if first, ok := seen[listener.address]; ok {
			report(listener.field, "address %s is also %s; want different ones", listener.address, first)
			continue
		}
		seen[listener.address] = listener.field
	}
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// EntryReference lists every field of the settings of an entry process, for the reference
// manual.
func EntryReference() []strictjson.Row { return strictjson.Rows("", entryFields) }

// AgentReference lists every field of the settings of an agent, for the reference manual.
func AgentReference() []strictjson.Row { return strictjson.Rows("", agentFields) }
