package dispatch

import (
	"wasabihill.example/wasabihill/pkg/environment"
	"wasabihill.example/wasabihill/pkg/units"
)

// policy contains lookup tables built from the configuration document. They are
// rebuilt when the document is replaced.
type policy struct {
	document      *environment.Document
	outOfService  map[units.DomainName]bool // false for domains in service, absent for domains not in the document
	drained       map[units.WorkerID]bool
	teams         map[units.TeamName]environment.Team
	services      map[units.ServiceName]units.Resources
	slowdownLimit float64 // slowdown tolerated on one worker, for all its tasks together
}

func (p *policy) update(doc *environment.Document) {
	if p.document == doc {
		return
	}
	*p = policy{document: doc, outOfService: map[units.DomainName]bool{}, drained: map[units.WorkerID]bool{},
		teams: map[units.TeamName]environment.Team{}, services: map[units.ServiceName]units.Resources{}}
	for _, f := range doc.FailureDomains {
		p.outOfService[f.Name] = f.State == environment.DomainOut
	}
	for _, w := range doc.DrainedWorkers {
		p.drained[w] = true
	}
	for _, t := range doc.Teams {
		p.teams[t.Name] = t
	}
	for _, s := range doc.Services {
		p.services[s.Name] = s.PerEndpoint
	}
	p.slowdownLimit = max(0, doc.Guards.LatencyRatio-1)
}

// inService reports whether tasks may start in the failure domain. A domain that
// the document does not list is out of service.
func (p *policy) inService(name units.DomainName) bool {
	out, listed := p.outOfService[name]
	return listed && !out
}
