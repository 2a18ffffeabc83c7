// The rules between fields are checked on the typed document, so that they also
// apply to documents that are built in memory.

package environment

import (
	"fmt"
	"sort"
	"strings"

	"wasabihill.example/wasabihill/internal/strictjson"
	"wasabihill.example/wasabihill/pkg/units"
)

// report records one problem: the field path and the message.
type report = func(field, format string, args ...any)

// check reports each violation of a rule between fields.
func (d *Document) check(report report) {
	if len(d.FailureDomains) == 0 {
		report("failureDomains", "is empty; want at least one failure domain")
	}
	for i, f := range d.FailureDomains {
		if f.State != DomainIn && f.State != DomainOut {
			report(fmt.Sprintf("failureDomains[%d].state", i), "state %q: want in or out", f.State)
		}
	}
	reportDuplicates(report, "failureDomains[%d].name", d.FailureDomains, func(f FailureDomain) string { return string(f.Name) })
	reportDuplicates(report, "teams[%d].name", d.Teams, func(t Team) string { return string(t.Name) })
	reportDuplicates(report, "services[%d].name", d.Services, func(s Service) string { return string(s.Name) })
	reportDuplicates(report, "watchers[%d].name", d.Watchers, func(w Watcher) string { return w.Name })
	reportDuplicates(report, "drainedWorkers[%d]", d.DrainedWorkers, func(w units.WorkerID) string { return string(w) })
	strictjson.CheckPositive("largestWorker", d.LargestWorker, report)
	d.checkServices(report)
	d.checkWatchers(report)
}

func (d *Document) checkServices(report report) {
	for i, s := range d.Services {
		path := fmt.Sprintf("services[%d]", i)
		d.checkTeam(path+".team", s.Team, report)
		d.checkSize(path+".perEndpoint", s.PerEndpoint, report)
		if s.Connections < s.Slots {
			report(path+".connections", "got %d; want at least the %d slots", s.Connections, s.Slots)
		}
	}
}

func (d *Document) checkWatchers(report report) {
	for i, w := range d.Watchers {
		path := fmt.Sprintf("watchers[%d]", i)
		d.checkTeam(path+".team", w.Team, report)
		d.checkSize(path+".size", w.Size, report)
	}
}

func (d *Document) checkTeam(path string, name units.TeamName, report report) {
	if d.Team(name) != nil {
		return
	}
	names := make([]string, len(d.Teams))
	for i, t := range d.Teams {
		names[i] = string(t.Name)
	}
	sort.Strings(names)
	report(path, "unknown team %q; want one of: %s", name, strings.Join(names, ", "))
}

// Team returns the team with the given name, or nil.
func (d *Document) Team(name units.TeamName) *Team {
	for i := range d.Teams {
		if d.Teams[i].Name == name {
			return &d.Teams[i]
		}
	}
	return nil
}

// HasDomain reports whether the document lists the failure domain.
func (d *Document) HasDomain(name units.DomainName) bool {
	for _, f := range d.FailureDomains {
		if f.Name == name {
			return true
		}
	}
	return false
}

// checkSize reports a size that is not positive or exceeds LargestWorker.
func (d *Document) checkSize(path string, size units.Resources, report report) {
	strictjson.CheckPositive(path, size, report)
	if d.LargestWorker.Processors <= 0 || d.LargestWorker.Memory <= 0 {
		return // the problem is already reported at largestWorker
	}
	if size.Processors > d.LargestWorker.Processors {
		report(path+".processors", "got %v; want at most the %v of largestWorker", size.Processors, d.LargestWorker.Processors)
	}
	if size.Memory > d.LargestWorker.Memory {
		report(path+".memory", "got %v; want at most the %v of largestWorker", size.Memory, d.LargestWorker.Memory)
	}
	if size.Accelerators > d.LargestWorker.Accelerators {
		report(path+".accelerators", "got %d; want at most the %d of largestWorker", size.Accelerators, d.LargestWorker.Accelerators)
	}
}

// CheckSize returns the problems of a task size that is not positive or exceeds
// the largest worker, or nil. field is the field path in the problems.
func (d *Document) CheckSize(field string, size units.Resources) []Problem {
	var ps []Problem
	d.checkSize(field, size, func(field, format string, args ...any) {
		ps = append(ps, Problem{Field: field, Message: fmt.Sprintf(format, args...)})
	})
	return ps
}

// reportDuplicates reports each name that occurs more than once, at its later
// occurrences. Empty names are reported elsewhere.
func reportDuplicates[T any](report report, pathFormat string, items []T, name func(T) string) {
	first := map[string]int{}
	for i, item := range items {
		s := name(item)
		if s == "" {
			continue
		}
		if j, ok := first[s]; ok {
			report(fmt.Sprintf(pathFormat, i), "duplicate name %q, first at "+pathFormat, s, j)
			continue
		}
		first[s] = i
	}
}
