// The reader records the positions of fields: without line and column in a message,
// operators would have to search large documents.

package strictjson

import (
	"fmt"
	"slices"
	"sort"
	"strings"

	"github.com/tailscale/hujson"
)

// MaxSize limits the size of a file, in bytes. A document with 1,000 workers and 150
// teams takes about a tenth of it.
const MaxSize = 1 << 20

// maxDepth limits the nesting of brackets, because the parser is recursive. The deepest
// field of any table is at depth 4.
const maxDepth = 64

// Reader collects the problems of one file.
type Reader struct {
	name       string
	data       []byte
	offsets    map[string]int  // offset in data of each field path
	reported   map[string]bool // paths that already have a problem
	lines      []int           // offsets of the first byte of each line
	problems   Problems
	unrecorded int // number of problems beyond maxRecorded
}

// A text of MaxSize can contain some hundred thousand problems. The first maxRecorded
// are recorded, and Err lists the first maxListed of these in the order of the text.
const (
	maxRecorded = 10_000
	maxListed   = 1_000
)

// Parse parses a text and returns its root. If the text is not JSON with comments, is
// too large or is nested too deeply, the root is not valid and Err returns the reason.
// name is the file name in the problems.
func Parse(name string, data []byte) (*Reader, Node) {
	r := &Reader{name: name, data: data, offsets: map[string]int{}, reported: map[string]bool{}}
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

// tooDeep reports whether brackets are nested deeper than maxDepth. It also counts
// brackets in strings and comments, so it overestimates the depth of texts with many
// unbalanced brackets there.
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

// syntaxProblem extracts the position from a message of hujson, which has the format
// "hujson: line 1, column 2: reason".
func syntaxProblem(name string, err error) Problem {
	p := Problem{File: name, Message: err.Error()}
	if _, scanErr := fmt.Sscanf(p.Message, "hujson: line %d, column %d:", &p.Line, &p.Column); scanErr == nil {
		if parts := strings.SplitN(p.Message, ": ", 3); len(parts) == 3 {
			p.Message = parts[2]
		}
	}
	return p
}

// Report adds a problem at a field path. The problem is omitted if the field or one that
// contains it already has a problem, because the checks of a field that could not be
// read would only report consequences of that.
func (r *Reader) Report(field, format string, args ...any) {
	for path := field; path != ""; path = parentPath(path) {
		if r.reported[path] {
			return
		}
	}
	r.reported[field] = true
	r.reportAt(r.offsetOf(field), field, format, args...)
}

func (r *Reader) reportAt(offset int, field, format string, args ...any) {
	if len(r.problems) == maxRecorded {
		r.unrecorded++
		return
	}
	line, column := r.position(offset)
	r.problems = append(r.problems, Problem{r.name, line, column, field, fmt.Sprintf(format, args...)})
}

// offsetOf returns the offset of the field or, if the text doesn't have it, of the
// innermost field that contains it.
func (r *Reader) offsetOf(field string) int {
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

// Err returns the problems reported so far, as Problems, or nil if there are none.
func (r *Reader) Err() error {
	if len(r.problems) == 0 {
		return nil
	}
	r.problems.sort()
	listed := r.problems
	if omitted := len(listed) + r.unrecorded - maxListed; omitted > 0 {
		listed = append(slices.Clone(listed[:maxListed]), Problem{File: r.name, Message: fmt.Sprintf("%d more errors", omitted)})
	}
	return listed
}
