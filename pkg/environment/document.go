// Package environment defines the document with which operators configure an
// environment, and parses, checks, compares and edits it. Its functions don't
// modify the documents and texts that they are given, and are safe for concurrent
// use.
package environment

import (
	"time"

	"wasabihill.example/wasabihill/pkg/units"
)

// Document is the desired state of one environment. A Document returned by Parse
// has passed every check. It must not be modified once several goroutines use it.
type Document struct {
	Environment    units.EnvironmentName
	FailureDomains []FailureDomain // names are unique
	Teams          []Team          // names are unique
	Services       []Service       // names are unique; Team is the name of an element of Teams
	Watchers       []Watcher       // names are unique; Team is the name of an element of Teams
	Guards         Guards
	DrainedWorkers []units.WorkerID
	LargestWorker  units.Resources // upper limit for the size of a task, a watcher or an endpoint
}

// DomainState is the state of a failure domain: whether tasks and requests may be
// placed in it.
type DomainState string

// The states of a failure domain.
const (
	DomainIn  DomainState = "in"
	DomainOut DomainState = "out"
)

// FailureDomain is a failure domain of the platform.
type FailureDomain struct {
	Name   units.DomainName
	Region units.RegionName
	State  DomainState
}

// Team owns work and holds a quota.
type Team struct {
	Name      units.TeamName
	Quota     units.Resources
	MayBorrow bool // may use what other teams leave unused; work on borrowed resources is evicted first
}

// Service is a latency-critical service whose endpoints register by announcement.
type Service struct {
	Name          units.ServiceName
	Team          units.TeamName
	Priority      units.Priority
	LatencyTarget time.Duration   // target for the 99th percentile, which the guards protect; positive
	PerEndpoint   units.Resources // reserved on a worker for each endpoint on the same machine
	Slots         int             // concurrent requests per endpoint; positive
	Connections   int             // connections that an endpoint accepts; at least Slots
}

// Watcher is a task that runs until it is removed from the document.
type Watcher struct {
	Name     string
	Team     units.TeamName
	Priority units.Priority
	Size     units.Resources
}

// Guards configures the control loop that protects services from batch tasks.
type Guards struct {
	Enabled      bool
	LatencyRatio float64 // tolerated ratio of the latency with batch tasks to that without; at least 1
}

// DomainIsOut reports whether the failure domain is out of service. A failure
// domain that the document doesn't list counts as out.
func (d *Document) DomainIsOut(name units.DomainName) bool {
	for _, f := range d.FailureDomains {
		if f.Name == name {
			return f.State == DomainOut
		}
	}
	return true
}

// IsDrained reports whether the worker is listed in DrainedWorkers.
func (d *Document) IsDrained(w units.WorkerID) bool {
	for _, name := range d.DrainedWorkers {
		if name == w {
			return true
		}
	}
	return false
}

// Service returns the service with the given name, or nil.
func (d *Document) Service(name units.ServiceName) *Service {
	for i := range d.Services {
		if d.Services[i].Name == name {
			return &d.Services[i]
		}
	}
	return nil
}
