// An invalid document is rejected as a whole: a partially accepted one would be in
// force everywhere within seconds.

package environment

import (
	"errors"
	"fmt"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/strictjson"
	"wasabihill.example/wasabihill/pkg/units"
)

// Kind is the kind of an Error.
type Kind string

// The kinds of Error.
const (
	KindInvalid  Kind = "invalid"   // the document or an argument is not valid; Problems lists the problems of the document
	KindNotFound Kind = "not found" // an edit refers to something that the document doesn't list
)

// Error is the error of a failed operation on a document.
type Error = fault.Error[Kind]

// Problem is one error in a document.
type Problem = strictjson.Problem

// Problems returns the problems that err wraps, or nil.
func Problems(err error) []Problem {
	var ps strictjson.Problems
	errors.As(err, &ps)
	return ps
}

// Parse parses and checks the text of a document, which is JSON with comments. name
// is the file name in the problems. The error has KindInvalid and wraps every
// problem; see Problems.
func Parse(name string, data []byte) (*Document, error) {
	return ParseAgainst(name, data, nil, nil)
}

// ParseAgainst parses a document like Parse and checks it like CheckAgainst. If
// current is nil, it is the same as Parse.
func ParseAgainst(name string, data []byte, current *Document, running Running) (*Document, error) {
	reader, root := strictjson.Parse(name, data)
	d := new(Document)
	if root.Valid() {
		strictjson.Object(root, d, documentFields)
		d.check(reader.Report)
		if current != nil {
			d.checkAgainst(current, running, reader.Report)
		}
	}
	if err := reader.Err(); err != nil {
		return nil, fault.Wrap("parse document", KindInvalid, err)
	}
	return d, nil
}

// Running maps each team to the resources that its running work occupies.
type Running = map[units.TeamName]units.Resources

// CheckAgainst checks whether the document may replace current. It returns an error
// with KindInvalid if d is for another environment, removes a team that has running
// work, or lowers a quota below the resources that the team's running work occupies.
// A quota that isn't lowered may be below these resources, because the team borrows:
// otherwise no other edit could be published while it does.
func (d *Document) CheckAgainst(current *Document, running Running) error {
	var ps strictjson.Problems
	d.checkAgainst(current, running, func(field, format string, args ...any) {
		ps = append(ps, Problem{Field: field, Message: fmt.Sprintf(format, args...)})
	})
	if len(ps) == 0 {
		return nil
	}
	return fault.Wrap("check document", KindInvalid, error(ps))
}

func (d *Document) checkAgainst(current *Document, running Running, report report) {
	if d.Environment != current.Environment {
		report("environment", "got %q; want %q, the environment that it replaces", d.Environment, current.Environment)
	}
	index := map[units.TeamName]int{}
	for i, t := range d.Teams {
		index[t.Name] = i
	}
	for _, before := range current.Teams {
		used := running[before.Name]
		i, present := index[before.Name]
		if !present {
			if !used.IsZero() {
				report("teams", "team %q is removed while it runs %v", before.Name, used)
			}
			continue
		}
		checkQuota(fmt.Sprintf("teams[%d].quota", i), before.Quota, d.Teams[i].Quota, used, report)
	}
}

func checkQuota(path string, before, after, used units.Resources, report report) {
	if after.Processors < before.Processors && after.Processors < used.Processors {
		report(path+".processors", "quota is lowered to %v; the team runs %v; want at least that", after.Processors, used.Processors)
	}
	if after.Memory < before.Memory && after.Memory < used.Memory {
		report(path+".memory", "quota is lowered to %v; the team runs %v; want at least that", after.Memory, used.Memory)
	}
	if after.Accelerators < before.Accelerators && after.Accelerators < used.Accelerators {
		report(path+".accelerators", "quota is lowered to %d; the team runs %d; want at least that", after.Accelerators, used.Accelerators)
	}
}
