// Reader keeps the places of fields, because an error without line and column makes
// operators search large documents.

package strictjson

import (
	"fmt"
	"slices"
	"sort"
	"strings"

	"github.com/tailscale/hujson"
)

// MaxSize limits a file. A document with 1,000 workers and 150 teams takes
// about a tenth of it.
const MaxSize = 1 << 20

// maxDepth limits nesting before the parser recurses; the deepest field of any
// table is at depth 4.
const maxDepth = 64

// Reader collects the problems of one file.
type Reader struct {
	name     string
	data     []byte
	offsets  map[string]int  // field path to its place in data
	failed   map[string]bool // paths that already have a problem
	lines    []int           // offsets of the first byte of each line
	problems Problems
	dropped  int // problems beyond maxRecorded
}

// A text of MaxSize can hold some hundred thousand errors. Reading records the
// first maxRecorded and Err lists the first maxListed in the order of the text.
const (
	maxRecorded = 10_000
	maxListed   = 1_000
)

// Parse parses the text. When the text is no JSON with comments, the node is
// not valid and Err returns the reason.
func Parse(name string, data []byte) (*Reader, Node) {
	r := &Reader{name: name, data: data, offsets: map[string]int{}, failed: map[string]bool{}}
	if len(data) > MaxSize {
		r.problems = Problems{{File: name, Message: fmt.Sprintf("file has %d bytes; at most %d are allowed", len(data), MaxSize)}}
		return r, Node{}
	}
	if tooDeep(data) {
		r.problems = Problems{{File: name, Message: fmt.Sprintf("brackets are nested deeper than %d", maxDepth)}}
		return r, Node{}
	}
	value, err := hujson.Parse(data)
	if err != nil {
		r.problems = Problems{syntaxProblem(name, err)}
		return r, Node{}
	}
	return r, Node{reader: r, value: &value}
}

// tooDeep overestimates nesting: it counts brackets in strings and comments as
// well, which only matters for texts with many unbalanced ones.
func tooDeep(data []byte) bool {
	depth := 0
	for _, c := range data {
		switch c {
		case '[', '{':
			depth++
		case ']', '}':
			depth--
		}
		if depth > maxDepth {
			return true
		}
	}
	return false
}

// syntaxProblem takes the position out of hujson's message, "hujson: line 1,
// column 2: reason".
func syntaxProblem(name string, err error) Problem {
	p := Problem{File: name, Message: err.Error()}
	if _, scanErr := fmt.Sscanf(p.Message, "hujson: line %d, column %d:", &p.Line, &p.Column); scanErr == nil {
		if parts := strings.SplitN(p.Message, ": ", 3); len(parts) == 3 {
			p.Message = parts[2]
		}
	}
	return p
}

// Report adds a problem at a field path. It is skipped when the path or one
// around it already has a problem: a check of meaning on a field that could not
// be read says nothing new.
func (r *Reader) Report(field, format string, args ...any) {
	for path := field; path != ""; path = parentPath(path) {
		if r.failed[path] {
			return
		}
	}
	r.failed[field] = true
	r.reportAt(r.place(field), field, format, args...)
}

func (r *Reader) reportAt(offset int, field, format string, args ...any) {
	if len(r.problems) == maxRecorded {
		r.dropped++
		return
	}
	line, column := r.position(offset)
	r.problems = append(r.problems, Problem{r.name, line, column, field, fmt.Sprintf(format, args...)})
}

// place returns the offset of the field or of the closest field around it.
func (r *Reader) place(field string) int {
	for field != "" {
		if offset, ok := r.offsets[field]; ok {
			return offset
		}
		field = parentPath(field)
	}
	return r.offsets[""]
}

func parentPath(field string) string { return field[:max(0, strings.LastIndexAny(field, ".["))] }

func (r *Reader) position(offset int) (line, column int) {
	if r.lines == nil {
		r.lines = []int{0}
		for i, c := range r.data {
			if c == '\n' {
				r.lines = append(r.lines, i+1)
			}
		}
	}
	line = sort.SearchInts(r.lines, offset+1)
	return line, offset - r.lines[line-1] + 1
}

// Err returns the problems found so far in the order of the text, or nil.
func (r *Reader) Err() error {
	if len(r.problems) == 0 {
		return nil
	}
	r.problems.sort()
	listed := r.problems
	if more := len(listed) + r.dropped - maxListed; more > 0 {
		listed = append(slices.Clone(listed[:maxListed]), Problem{File: r.name, Message: fmt.Sprintf("%d more errors", more)})
	}
	return listed
}
