// Package environment holds the one document through which operators drive an
// environment: its types, its checks and its comparison.
package environment

import (
	"time"

	"wasabihill.example/wasabihill/pkg/units"
)

// Document is the desired state of one environment. A Document that Parse
// returned has passed every check; it is never modified after it is shared.
type Document struct {
	Environment    units.EnvironmentName
	FailureDomains []FailureDomain // names are unique
	Teams          []Team          // names are unique
	Services       []Service       // names are unique; Team names an entry of Teams
	Watchers       []Watcher       // names are unique; Team names an entry of Teams
	Guards         Guards
	DrainedWorkers []units.WorkerID
	LargestWorker  units.Resources // no job may declare a task larger than this
}

// DomainState says whether tasks and requests may go to a failure domain.
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
	MayBorrow bool // may use what other teams leave unused; that work is evicted first
}

// Service is a latency-critical service whose endpoints announce themselves.
type Service struct {
	Name          units.ServiceName
	Team          units.TeamName
	Priority      units.Priority
	LatencyTarget time.Duration   // p99 that the guards protect; positive
	PerEndpoint   units.Resources // committed on a worker for each endpoint beside it
	Slots         int             // requests an endpoint serves at a time; positive
	Connections   int             // connections an endpoint accepts; at least Slots
}

// Watcher is a task that runs until it is removed from the document.
type Watcher struct {
	Name     string
	Team     units.TeamName
	Priority units.Priority
	Size     units.Resources
}

// Guards configure the control loop that protects services from batch tasks.
type Guards struct {
	Enabled      bool
	LatencyRatio float64 // tolerated latency with batch against without; at least 1
}

// DomainIsOut reports whether operators have taken the failure domain out of
// service. A domain that the document does not name counts as out.
func (d *Document) DomainIsOut(name units.DomainName) bool {
	for _, f := range d.FailureDomains {
		if f.Name == name {
			return f.State == DomainOut
		}
	}
	return true
}

// IsDrained reports whether operators drain the worker.
func (d *Document) IsDrained(w units.WorkerID) bool {
	for _, name := range d.DrainedWorkers {
		if name == w {
			return true
		}
	}
	return false
}

// Service returns the service of that name, or nil.
func (d *Document) Service(name units.ServiceName) *Service {
	for i := range d.Services {
		if d.Services[i].Name == name {
			return &d.Services[i]
		}
	}
	return nil
}
