// The tables in this file define the format of the document. The parser uses them,
// and the reference manual is generated from them.

package environment

import (
	"wasabihill.example/wasabihill/internal/strictjson"
	"wasabihill.example/wasabihill/pkg/units"
)

type field[T any] = strictjson.Field[T]

var documentFields = []field[Document]{
	{Name: "environment", Type: "name", Required: true, Purpose: "name of the environment, such as trial or production",
		Read: func(d *Document, n strictjson.Node) { d.Environment = units.EnvironmentName(n.Name()) }},
	{Name: "failureDomains", Type: "array of objects", Required: true, Purpose: "failure domains of the platform; at least one",
		Read:   func(d *Document, n strictjson.Node) { d.FailureDomains = readAll(n, domainFields) },
		Nested: nested(domainFields)},
	{Name: "teams", Type: "array of objects", Required: true, Purpose: "teams that own work",
		Read:   func(d *Document, n strictjson.Node) { d.Teams = readAll(n, teamFields) },
		Nested: nested(teamFields)},
	{Name: "services", Type: "array of objects", Purpose: "latency-critical services whose endpoints announce themselves",
		Read:   func(d *Document, n strictjson.Node) { d.Services = readAll(n, serviceFields) },
		Nested: nested(serviceFields)},
	{Name: "watchers", Type: "array of objects", Purpose: "tasks that run until they are removed from the document",
		Read:   func(d *Document, n strictjson.Node) { d.Watchers = readAll(n, watcherFields) },
		Nested: nested(watcherFields)},
	{Name: "guards", Type: "object", Purpose: "control loop that protects services from batch tasks",
		Read:   func(d *Document, n strictjson.Node) { strictjson.Object(n, &d.Guards, guardFields) },
		Nested: func(prefix string) []strictjson.Row { return strictjson.Rows(prefix, guardFields) }},
	{Name: "drainedWorkers", Type: "array of names", Purpose: "workers that receive no new work",
		Read: func(d *Document, n strictjson.Node) {
			n.Each(func(e strictjson.Node) { d.DrainedWorkers = append(d.DrainedWorkers, units.WorkerID(e.Name())) })
		}},
	{Name: "largestWorker", Type: "object", Required: true, Purpose: "size of the largest worker; nothing may ask for more",
		Read: func(d *Document, n strictjson.Node) {
			strictjson.Object(n, &d.LargestWorker, strictjson.ResourceFields)
		},
		Nested: func(prefix string) []strictjson.Row { return strictjson.Rows(prefix, strictjson.ResourceFields) }},
}

var domainFields = []field[FailureDomain]{
	{Name: "name", Type: "name", Required: true, Purpose: "unique name",
		Read: func(f *FailureDomain, n strictjson.Node) { f.Name = units.DomainName(n.Name()) }},
	{Name: "region", Type: "name", Required: true, Purpose: "region that holds the failure domain",
		Read: func(f *FailureDomain, n strictjson.Node) { f.Region = units.RegionName(n.Name()) }},
	{Name: "state", Type: "in or out", Required: true, Purpose: "`out` takes the failure domain out of service",
		Read: func(f *FailureDomain, n strictjson.Node) { f.State = DomainState(n.String()) }},
}

var teamFields = []field[Team]{
	{Name: "name", Type: "name", Required: true, Purpose: "unique name",
		Read: func(t *Team, n strictjson.Node) { t.Name = units.TeamName(n.Name()) }},
	{Name: "quota", Type: "object", Required: true, Purpose: "resources that the team may use at a time",
		Read:   func(t *Team, n strictjson.Node) { strictjson.Object(n, &t.Quota, strictjson.ResourceFields) },
		Nested: func(prefix string) []strictjson.Row { return strictjson.Rows(prefix, strictjson.ResourceFields) }},
	{Name: "mayBorrow", Type: "true or false", Purpose: "may use what other teams leave unused; that work is evicted first",
		Read: func(t *Team, n strictjson.Node) { t.MayBorrow = n.Bool() }},
}

var serviceFields = []field[Service]{
	{Name: "name", Type: "name", Required: true, Purpose: "unique name; part of the path that callers use",
		Read: func(s *Service, n strictjson.Node) { s.Name = units.ServiceName(n.Name()) }},
	{Name: "team", Type: "name", Required: true, Purpose: "name of an entry of `teams`",
		Read: func(s *Service, n strictjson.Node) { s.Team = units.TeamName(n.Name()) }},
	{Name: "priority", Type: "low, normal, high or urgent", Required: true, Purpose: "rank of its requests",
		Read: func(s *Service, n strictjson.Node) { s.Priority = n.Priority() }},
	{Name: "latencyTarget", Type: "duration", Required: true, Purpose: "99th percentile that the guards protect; positive",
		Read: func(s *Service, n strictjson.Node) { s.LatencyTarget = n.Duration() }},
	{Name: "perEndpoint", Type: "object", Required: true, Purpose: "resources committed on a worker for each endpoint beside it",
		Read:   func(s *Service, n strictjson.Node) { strictjson.Object(n, &s.PerEndpoint, strictjson.ResourceFields) },
		Nested: func(prefix string) []strictjson.Row { return strictjson.Rows(prefix, strictjson.ResourceFields) }},
	{Name: "slots", Type: "whole number", Required: true, Purpose: "requests that an endpoint serves at a time, 1 to 65536",
		Read: func(s *Service, n strictjson.Node) { s.Slots = int(n.Int(1, maxSlots)) }},
	{Name: "connections", Type: "whole number", Required: true, Purpose: "connections that an endpoint accepts; at least `slots`",
		Read: func(s *Service, n strictjson.Node) { s.Connections = int(n.Int(1, maxSlots)) }},
}

// maxSlots limits the slots and the connections of an endpoint, and with them the
// queues that an agent keeps for it.
const maxSlots = 65536

var watcherFields = []field[Watcher]{
	{Name: "name", Type: "name", Required: true, Purpose: "unique name",
		Read: func(w *Watcher, n strictjson.Node) { w.Name = n.Name() }},
	{Name: "team", Type: "name", Required: true, Purpose: "name of an entry of `teams`",
		Read: func(w *Watcher, n strictjson.Node) { w.Team = units.TeamName(n.Name()) }},
	{Name: "priority", Type: "low, normal, high or urgent", Required: true, Purpose: "rank against other work",
		Read: func(w *Watcher, n strictjson.Node) { w.Priority = n.Priority() }},
	{Name: "size", Type: "object", Required: true, Purpose: "resources committed while it runs",
		Read:   func(w *Watcher, n strictjson.Node) { strictjson.Object(n, &w.Size, strictjson.ResourceFields) },
		Nested: func(prefix string) []strictjson.Row { return strictjson.Rows(prefix, strictjson.ResourceFields) }},
}

var guardFields = []field[Guards]{
	{Name: "enabled", Type: "true or false", Required: true, Purpose: "turns the guards on",
		Read: func(g *Guards, n strictjson.Node) { g.Enabled = n.Bool() }},
	{Name: "latencyRatio", Type: "number", Required: true, Purpose: "tolerated latency with batch tasks against without; at least 1",
		Read: func(g *Guards, n strictjson.Node) { g.LatencyRatio = n.Float(1) }},
}

func readAll[T any](n strictjson.Node, fields []field[T]) []T {
	var elements []T
	n.Each(func(e strictjson.Node) {
		var element T
		strictjson.Object(e, &element, fields)
		elements = append(elements, element)
	})
	return elements
}

func nested[T any](fields []field[T]) func(string) []strictjson.Row {
	return func(prefix string) []strictjson.Row { return strictjson.Rows(prefix+"[]", fields) }
}

// Reference lists every field of the document, for the reference manual.
func Reference() []strictjson.Row { return strictjson.Rows("", documentFields) }
