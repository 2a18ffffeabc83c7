// Package strictjson reads JSON with comments according to tables of fields. It
// collects every problem with its position, so that an operator can correct a file in
// one pass. Documents, job files and process settings are read with it.
package strictjson

import (
	"fmt"
	"sort"
	"strings"
)

// Problem is one problem of a file.
type Problem struct {
	File    string `json:"file,omitempty"`
	Line    int    `json:"line,omitempty"`   // from 1; 0 when the problem has no position in the text
	Column  int    `json:"column,omitempty"` // in bytes, from 1
	Field   string `json:"field,omitempty"`  // field path, such as teams[0].quota.memory
	Message string `json:"message"`          // what is wrong and what is valid
}

// String formats p as "file:line:column: field: message".
func (p Problem) String() string {
	var b strings.Builder
	if p.File != "" {
		b.WriteString(p.File + ":")
	}
	if p.Line > 0 {
		fmt.Fprintf(&b, "%d:%d:", p.Line, p.Column)
	}
	if b.Len() > 0 {
		b.WriteByte(' ')
	}
	if p.Field != "" {
		b.WriteString(p.Field + ": ")
	}
	b.WriteString(p.Message)
	return b.String()
}

// Problems lists the problems of a file in the order of the text. It is an error.
type Problems []Problem

// Error formats the problems, one per line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

func (ps Problems) sort() {
	sort.SliceStable(ps, func(i, j int) bool {
		if ps[i].Line != ps[j].Line {
			return ps[i].Line < ps[j].Line
		}
		return ps[i].Column < ps[j].Column
	})
}
