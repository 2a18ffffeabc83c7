// Package operations holds what the operators have asked for: the routes of
// the queues and the failure domains that are out of service. A Feed follows
// their records; readers take immutable copies.
package operations

import (
	"strings"
	"time"

	"wasabihill.example/wasabihill/internal/workflow"
	"wasabihill.example/wasabihill/pkg/units"
)

// Version orders configurations; it rises in uneven steps.
type Version int64

// Route leads the requests for a host and a path prefix to a queue.
type Route struct {
	Queue   workflow.QueueName
	Host    string
	Prefix  string
	Timeout time.Duration // longest time to answer a request
	Policy  workflow.Policy
}

// Service is a pool of workers.
type Service struct {
	Name            units.ServiceName
	RejectsOverload bool // its workers refuse what does not fit
}

// Limits bound the requests of clients.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one version in full. It does not change once published.
type Configuration struct {
	Version  Version
	Routes   []Route
	Services map[units.ServiceName]Service
	Limits   Limits

	byHost map[string][]*Route // longest prefix first
	byName map[workflow.QueueName]*Route
}

// Index prepares the lookups; it is called once, before the configuration is shared.
func (c *Configuration) Index() {
	c.byHost = make(map[string][]*Route)
	c.byName = make(map[workflow.QueueName]*Route, len(c.Routes))
	for i := range c.Routes {
		route := &c.Routes[i]
		c.byName[route.Queue] = route
		routes := c.byHost[route.Host]
		at := len(routes)
		for at > 0 && len(routes[at-1].Prefix) < len(route.Prefix) {
			at--
		}
		routes = append(routes, nil)
		copy(routes[at+1:], routes[at:])
		routes[at] = route
		c.byHost[route.Host] = routes
	}
}

// Match returns the route with the longest prefix of path, or nil.
func (c *Configuration) Match(host, path string) *Route {
	if c == nil {
		return nil
	}
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
		host = host[:colon]
	}
	for _, route := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Queue returns the route of a queue, or nil when no route leads to it.
func (c *Configuration) Queue(name workflow.QueueName) *Route {
	if c == nil {
		return nil
	}
	return c.byName[name]
}

// State is everything that the operators have in force. It is immutable.
type State struct {
	Configuration *Configuration            // nil before the first version is known
	OutOfService  map[units.DomainName]bool // failure domains that get no new work
}

// Records is what a record of the operators changes; the translation of their
// format implements it.
type RecordFormat interface {
	// Apply returns the state after a record with key and value; a nil value
	// deletes the key. An error leaves the state as it is.
	Apply(state State, key string, value []byte) (State, error)
	// Topic names the topic of the records, which has keys.
	Topic() string
}
