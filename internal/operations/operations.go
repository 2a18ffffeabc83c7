// Package operations defines the settings that the operators control: the routes to
// the queues, the services, the request limits, and the failure domains that are out
// of service. A Follower reads the operators' records and provides immutable states.
package operations

import (
	"strings"
	"time"

	"wasabihill.example/wasabihill/internal/workflow"
	"wasabihill.example/wasabihill/pkg/units"
)

// Version orders configurations. Versions increase, but not by a fixed step.
type Version int64

// Route directs the requests for a host and a path prefix to a queue.
type Route struct {
	Queue   workflow.QueueName
	Host    string
	Prefix  string
	Timeout time.Duration // deadline for the response to a request
	Policy  workflow.Policy
}

// Service is a pool of workers.
type Service struct {
	Name            units.ServiceName
	RejectsOverload bool // its workers reject tasks that exceed their capacity
}

// Limits are the limits for the requests of clients.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one complete version of the configuration. It is immutable after
// Index.
type Configuration struct {
	Version  Version
	Routes   []Route
	Services map[units.ServiceName]Service
	Limits   Limits

	byHost map[string][]*Route // longest prefix first
	byName map[workflow.QueueName]*Route
}

// Index builds the indexes for Match and Queue. Call it once, before the
// configuration is shared.
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

// Match returns the route for host whose prefix is the longest one that matches path,
// or nil. It ignores a port in host.
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

// Queue returns the route to a queue, or nil if there is none.
func (c *Configuration) Queue(name workflow.QueueName) *Route {
	if c == nil {
		return nil
	}
	return c.byName[name]
}

// State contains all operator settings that are in force. It is immutable.
type State struct {
	Configuration *Configuration            // nil before the first version has been read
	OutOfService  map[units.DomainName]bool // failure domains that receive no new tasks
}

// RecordFormat decodes the operators' records. The package platform implements it.
type RecordFormat interface {
	// Apply returns the state after a record with key and value; a nil value
	// deletes the key. An error leaves the state as it is.
	Apply(state State, key string, value []byte) (State, error)
	// Topic returns the name of the topic of the records. Its records have keys.
	Topic() string
}
