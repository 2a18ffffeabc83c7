// Rules between fields are checked here, on the typed document, so that they also
// hold for documents that are built in memory.

package environment

import (
	"fmt"
	"sort"
	"strings"

	"wasabihill.example/wasabihill/pkg/units"
)

// report receives the field path and the text of one problem.
type report = func(field, format string, args ...any)

// check reports every rule that holds between fields.
func (d *Document) check(report report) {
	if len(d.FailureDomains) == 0 {
		report("failureDomains", "is empty; want at least one failure domain")
	}
	for i, f := range d.FailureDomains {
		if f.State != DomainIn && f.State != DomainOut {
			report(fmt.Sprintf("failureDomains[%d].state", i), "state %q: want in or out", f.State)
		}
	}
	unique(report, "failureDomains[%d].name", d.FailureDomains, func(f FailureDomain) string { return string(f.Name) })
	unique(report, "teams[%d].name", d.Teams, func(t Team) string { return string(t.Name) })
	unique(report, "services[%d].name", d.Services, func(s Service) string { return string(s.Name) })
	unique(report, "watchers[%d].name", d.Watchers, func(w Watcher) string { return w.Name })
	unique(report, "drainedWorkers[%d]", d.DrainedWorkers, func(w units.WorkerID) string { return string(w) })
	checkPositive("largestWorker", d.LargestWorker, report)
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

// Team returns the team of that name, or nil.
func (d *Document) Team(name units.TeamName) *Team {
	for i := range d.Teams {
		if d.Teams[i].Name == name {
			return &d.Teams[i]
		}
	}
	return nil
}

// HasDomain reports whether the document names the failure domain.
func (d *Document) HasDomain(name units.DomainName) bool {
	for _, f := range d.FailureDomains {
		if f.Name == name {
			return true
		}
	}
	return false
}

// checkSize reports a size that is not positive or larger than any worker.
func (d *Document) checkSize(path string, size units.Resources, report report) {
	checkPositive(path, size, report)
	if d.LargestWorker.Processors <= 0 || d.LargestWorker.Memory <= 0 {
		return // reported at largestWorker
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

func checkPositive(path string, size units.Resources, report report) {
	if size.Processors <= 0 {
		report(path+".processors", "got %v; want more than 0", size.Processors)
	}
	if size.Memory <= 0 {
		report(path+".memory", "got %v; want more than 0", size.Memory)
	}
}

// CheckSize refuses a task size that is not positive or that no worker has
// room for. field is the path that problems mention.
func (d *Document) CheckSize(field string, size units.Resources) []Problem {
	var ps []Problem
	d.checkSize(field, size, func(field, format string, args ...any) {
		ps = append(ps, Problem{Field: field, Message: fmt.Sprintf(format, args...)})
	})
	return ps
}

// unique reports names that occur more than once, at the later one.
func unique[T any](report report, pathFormat string, all []T, name func(T) string) {
	first := map[string]int{}
	for i, one := range all {
		s := name(one)
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
