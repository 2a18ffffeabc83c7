// Parsing refuses a document as a whole: a half-accepted one would be in force
// everywhere within seconds.

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
	KindInvalid  Kind = "invalid"   // the document fails its checks; Problems lists every one
	KindNotFound Kind = "not found" // an edit names something that the document lacks
)

// Error is a failed operation on a document.
type Error = fault.Error[Kind]

// Problem is one error in a document.
type Problem = strictjson.Problem

// Problems returns every problem that err lists.
func Problems(err error) []Problem {
	var ps strictjson.Problems
	errors.As(err, &ps)
	return ps
}

// Parse reads and checks the text of a document. name is the file that problems
// mention. The error lists every problem.
func Parse(name string, data []byte) (*Document, error) {
	return ParseAgainst(name, data, nil, nil)
}

// ParseAgainst is Parse together with the checks of CheckAgainst. current may
// be nil.
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

// Running says what each team's running work is committed to.
type Running = map[units.TeamName]units.Resources

// CheckAgainst refuses a document that cannot follow current: another
// environment, or a team that is removed or whose quota is lowered below what
// it runs. A quota that was already below what runs, because the team borrows,
// is no error: otherwise no other edit could be published meanwhile.
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
		i, kept := index[before.Name]
		if !kept {
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
