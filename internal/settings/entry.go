// Settings of an entry process: its addresses, tokens and limits.

package settings

import (
	"net/netip"
	"time"

	"wasabihill.example/wasabihill/internal/strictjson"
	"wasabihill.example/wasabihill/pkg/units"
)

// Entry holds the settings of an entry process.
type Entry struct {
	ID                    units.EntryID
	Environment           units.EnvironmentName
	FailureDomain         units.DomainName
	Region                units.RegionName
	CallerAddress         netip.AddrPort // listens for HTTP requests of callers
	AdminAddress          netip.AddrPort // listens for the administration API, health checks and metrics
	LinkAddress           netip.AddrPort // listens for sessions of agents
	AdvertisedLinkAddress netip.AddrPort // address that agents connect to; LinkAddress when omitted
	LogAddress            netip.AddrPort // log service of the platform
	LogRetention          time.Duration  // how long the log service keeps records; at least minLogRetention
	OperatorToken         Secret
	TeamTokens            map[units.TeamName]Secret // no two tokens are equal
	Limits                EntryLimits
	Distances             map[units.DomainName]time.Duration // one-way network latency from FailureDomain

	lookup Lookup // for readSecret; set only while the file is parsed
}

// EntryLimits limits what an entry process accepts and keeps at the same time.
type EntryLimits struct {
	CallerRequests    int           // concurrent requests of callers
	CallerBody        units.Bytes   // size of the body of one caller's request
	CallerTimeout     time.Duration // maximum duration of one caller's request
	AdminRequests     int           // concurrent administration requests
	AdminBody         units.Bytes   // size of the body of one administration request
	AdminTimeout      time.Duration // maximum duration of one administration request
	HeaderBytes       units.Bytes   // size of the header of any request
	Connections       int           // connections per listener
	TimelineEvents    int           // events kept for the timeline
	StreamsPerSession int           // concurrent requests over one agent's session
}

// defaultEntryLimits suits the target of 1,000 agents and about 12 entry processes, over
// which 980 task starts/s and the requests of callers are distributed.
var defaultEntryLimits = EntryLimits{
	CallerRequests: 10_000, CallerBody: units.MiB, CallerTimeout: time.Minute,
	AdminRequests: 256, AdminBody: units.MiB, AdminTimeout: 10 * time.Second,
	HeaderBytes: 16 * units.KiB, Connections: 20_000, TimelineEvents: 20_000, StreamsPerSession: 1024,
}

// DefaultEntryLimits returns the limits of an entry process whose settings set none.
func DefaultEntryLimits() EntryLimits { return defaultEntryLimits }

const (
	defaultLogRetention = 24 * time.Hour
	// minLogRetention leaves time for a snapshot, which is due after half of the
	// retention, to be retried during an outage of the log service of some minutes.
	minLogRetention = 10 * time.Minute
)

var entryFields = []strictjson.Field[Entry]{
	{Name: "id", Type: "name", Required: true, Purpose: "unique name of this process",
		Read: func(e *Entry, n strictjson.Node) { e.ID = units.EntryID(n.Name()) }},
	{Name: "environment", Type: "name", Required: true, Purpose: "environment whose document the process follows",
		Read: func(e *Entry, n strictjson.Node) { e.Environment = units.EnvironmentName(n.Name()) }},
	{Name: "failureDomain", Type: "name", Required: true, Purpose: "failure domain that the process runs in",
		Read: func(e *Entry, n strictjson.Node) { e.FailureDomain = units.DomainName(n.Name()) }},
	{Name: "region", Type: "name", Required: true, Purpose: "region of the failure domain",
		Read: func(e *Entry, n strictjson.Node) { e.Region = units.RegionName(n.Name()) }},
	{Name: "callerAddress", Type: "IP:port", Required: true, Purpose: "listens for requests of callers",
		Read: func(e *Entry, n strictjson.Node) { e.CallerAddress = readAddress(n) }},
	{Name: "adminAddress", Type: "IP:port", Required: true, Purpose: "listens for the administration API, health and metrics",
		Read: func(e *Entry, n strictjson.Node) { e.AdminAddress = readAddress(n) }},
	{Name: "linkAddress", Type: "IP:port", Required: true, Purpose: "listens for sessions of agents",
		Read: func(e *Entry, n strictjson.Node) { e.LinkAddress = readAddress(n) }},
	{Name: "advertisedLinkAddress", Type: "IP:port", Purpose: "address that agents dial; `linkAddress` when omitted",
		Read: func(e *Entry, n strictjson.Node) { e.AdvertisedLinkAddress = readDialAddress(n) }},
	{Name: "logAddress", Type: "IP:port", Required: true, Purpose: "log service of the platform",
		Read: func(e *Entry, n strictjson.Node) { e.LogAddress = readDialAddress(n) }},
	{Name: "logRetention", Type: "duration", Purpose: "how long the log service keeps records; 24h when omitted",
		Read: func(e *Entry, n strictjson.Node) { e.LogRetention = n.Duration() }},
	{Name: "operatorToken", Type: "token", Required: true, Purpose: "bearer token of operators: a string, or {\"environmentVariable\": \"NAME\"}",
		Read: func(e *Entry, n strictjson.Node) { e.OperatorToken = readSecret(n, e.lookup) }},
	{Name: "teamTokens", Type: "object of tokens", Purpose: "bearer token of each team, by team name",
		Read: readTeamTokens},
	{Name: "limits", Type: "object", Purpose: "what the process accepts at a time",
		Read: func(e *Entry, n strictjson.Node) { strictjson.Object(n, &e.Limits, entryLimitFields) },
		Nested: func(prefix string) []strictjson.Row {
			return strictjson.Rows(prefix, entryLimitFields)
		}},
	{Name: "distances", Type: "object of durations", Purpose: "one-way network time from this failure domain, by failure domain",
		Read: readDistances},
}

func readTeamTokens(e *Entry, n strictjson.Node) {
	e.TeamTokens = map[units.TeamName]Secret{}
	n.Members(func(team string, value strictjson.Node) {
		if !strictjson.ValidName(team) {
			value.ReportName("team", team)
			return
		}
		e.TeamTokens[units.TeamName(team)] = readSecret(value, e.lookup)
	})
}

func readDistances(e *Entry, n strictjson.Node) {
	e.Distances = map[units.DomainName]time.Duration{}
	n.Members(func(domain string, value strictjson.Node) {
		if !strictjson.ValidName(domain) {
			value.ReportName("failure domain", domain)
			return
		}
		e.Distances[units.DomainName(domain)] = value.Duration()
	})
}

type limitField = strictjson.Field[EntryLimits]

var entryLimitFields = []limitField{
	countField("callerRequests", "requests of callers in flight; 10000 when omitted", func(l *EntryLimits) *int { return &l.CallerRequests }),
	memoryField("callerBody", "body of one request of a caller; 1MiB when omitted", func(l *EntryLimits) *units.Bytes { return &l.CallerBody }),
	durationField("callerTimeout", "longest time for one request of a caller; 1m when omitted", func(l *EntryLimits) *time.Duration { return &l.CallerTimeout }),
	countField("adminRequests", "administration requests in flight; 256 when omitted", func(l *EntryLimits) *int { return &l.AdminRequests }),
	memoryField("adminBody", "body of one administration request; 1MiB when omitted", func(l *EntryLimits) *units.Bytes { return &l.AdminBody }),
	durationField("adminTimeout", "longest time for one administration request; 10s when omitted", func(l *EntryLimits) *time.Duration { return &l.AdminTimeout }),
	memoryField("headerBytes", "header of any request; 16KiB when omitted", func(l *EntryLimits) *units.Bytes { return &l.HeaderBytes }),
	countField("connections", "connections of each listener; 20000 when omitted", func(l *EntryLimits) *int { return &l.Connections }),
	countField("timelineEvents", "events kept for the timeline; 20000 when omitted", func(l *EntryLimits) *int { return &l.TimelineEvents }),
	countField("streamsPerSession", "requests at a time over the session of one agent; 1024 when omitted", func(l *EntryLimits) *int { return &l.StreamsPerSession }),
}

func countField(name, purpose string, limit func(*EntryLimits) *int) limitField {
	return limitField{Name: name, Type: "whole number", Purpose: purpose,
		Read: func(l *EntryLimits, n strictjson.Node) { *limit(l) = int(n.Int(1, 10_000_000)) }}
}

func memoryField(name, purpose string, limit func(*EntryLimits) *units.Bytes) limitField {
	return limitField{Name: name, Type: "memory", Purpose: purpose, Read: func(l *EntryLimits, n strictjson.Node) {
		*limit(l) = n.Memory()
		if *limit(l) < units.KiB || *limit(l) > units.GiB {
			n.Report("got %v; want 1KiB to 1GiB", *limit(l))
		}
	}}
}

func durationField(name, purpose string, limit func(*EntryLimits) *time.Duration) limitField {
	return limitField{Name: name, Type: "duration", Purpose: purpose,
		Read: func(l *EntryLimits, n strictjson.Node) { *limit(l) = n.Duration() }}
}

// ParseEntry parses and checks the settings of an entry process. name is the file name
// in the problems; lookup supplies the tokens that the file names as environment variables.
// The error has KindInvalid.
func ParseEntry(name string, data []byte, lookup Lookup) (*Entry, error) {
	e := &Entry{Limits: defaultEntryLimits, LogRetention: defaultLogRetention, lookup: lookup}
	err := parse(name, data, e, entryFields, func(report report) {
		if e.LogRetention < minLogRetention {
			report("logRetention", "got %v; want at least %v", e.LogRetention, minLogRetention)
		}
		checkAdvertisedAddress(report, "agents", e.LinkAddress, e.AdvertisedLinkAddress)
		e.checkTokens(report)
		checkDistinctAddresses(report, []listenAddress{{"callerAddress", e.CallerAddress}, {"adminAddress", e.AdminAddress}, {"linkAddress", e.LinkAddress}})
	})
	if err != nil {
		return nil, err
	}
	e.lookup = nil
	if !e.AdvertisedLinkAddress.IsValid() {
		e.AdvertisedLinkAddress = e.LinkAddress
	}
	return e, nil
}

// checkTokens reports equal tokens, which would give one team the permissions of another
// team or of operators.
func (e *Entry) checkTokens(report report) {
	seen := map[string]bool{}
	if !e.OperatorToken.IsZero() {
		seen[e.OperatorToken.Reveal()] = true
	}
	for _, team := range sortedKeys(e.TeamTokens) {
		token := e.TeamTokens[team]
		if token.IsZero() {
			continue
		}
		if seen[token.Reveal()] {
			report("teamTokens."+string(team), "the token is also used elsewhere; want a different one for each team and for operators")
		}
		seen[token.Reveal()] = true
	}
}
