// Each type of value is read in one place, so that all files accept the same formats
// and have the same messages for a wrong one.

package strictjson

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/tailscale/hujson"

	"wasabihill.example/wasabihill/pkg/units"
)

// Node is one value of the text with its field path. Every method except Valid, Path and
// Report requires a valid node. The methods that read a value report a wrong type or value as
// a problem and then return the zero value or, for a number, the value that was read.
type Node struct {
	reader *Reader
	value  *hujson.Value
	path   string
	key    int // offset of the key, for the value of a member
}

// Valid reports whether the text was parsed, so that there is a value to read.
func (n Node) Valid() bool { return n.value != nil }

// Path returns the field path, such as teams[0].name.
func (n Node) Path() string { return n.path }

// Report adds a problem at the field path of the node.
func (n Node) Report(format string, args ...any) { n.reader.Report(n.path, format, args...) }

// typeNames holds the names of the types of values for messages.
var typeNames = map[hujson.Kind]string{
	'n': "null", 'f': "false", 't': "true", '"': "a string", '0': "a number", '{': "an object", '[': "an array",
}

func (n Node) reportWrongType(want string) {
	n.Report("got %s; want %s", typeNames[n.value.Value.Kind()], want)
}

// String reads a string that is not empty and has no control characters.
func (n Node) String() string {
	literal, ok := n.value.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		n.reportWrongType("a string")
		return ""
	}
	s := literal.String()
	if strings.TrimSpace(s) == "" || strings.ContainsFunc(s, func(c rune) bool { return c < ' ' || c == 0x7f }) {
		n.Report("got %q; want a string that is not empty and has no control characters", s)
		return ""
	}
	return s
}

// Secret reads a string that must not be disclosed in the messages of problems. The message
// for a wrong type also permits an object, because the settings accept one in place of each
// secret.
func (n Node) Secret() string {
	literal, ok := n.value.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		n.reportWrongType("a string or an object")
		return ""
	}
	return literal.String()
}

// MaxNameLength limits the length of names, in bytes, because they become keys of log
// records and tags of metrics.
const MaxNameLength = 128

// Name reads an identifier of letters, digits, '-', '_' and '.', which can be part of a
// path of the administration API and of a stream name.
func (n Node) Name() string {
	s := n.String()
	if s != "" && !ValidName(s) {
		n.ReportName("name", s)
		return ""
	}
	return s
}

// ReportName reports that name, such as the key of a member, is no valid identifier. what says
// what it names, such as "team".
func (n Node) ReportName(what, name string) {
	n.Report("%s %q: want 1 to %d letters, digits, '-', '_' or '.', starting with a letter or digit", what, name, MaxNameLength)
}

// ValidName reports whether s is a valid identifier; see Name.
func ValidName(s string) bool {
	if s == "" || len(s) > MaxNameLength || strings.ContainsAny(s[:1], "-_.") {
		return false
	}
	return !strings.ContainsFunc(s, func(c rune) bool {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		return !letter && (c < '0' || c > '9') && c != '-' && c != '_' && c != '.'
	})
}

// Bool reads true or false.
func (n Node) Bool() bool {
	literal, ok := n.value.Value.(hujson.Literal)
	if !ok || literal.Kind() != 't' && literal.Kind() != 'f' {
		n.reportWrongType("true or false")
		return false
	}
	return literal.Bool()
}

// Int reads a whole number from minimum to maximum.
func (n Node) Int(minimum, maximum int64) int64 {
	var v int64
	if literal, ok := n.value.Value.(hujson.Literal); !ok || literal.Kind() != '0' {
		n.reportWrongType("a whole number")
	} else if err := json.Unmarshal(literal, &v); err != nil {
		n.Report("got %s; want a whole number", literal)
	} else if v < minimum || v > maximum {
		n.Report("got %d; want a whole number from %d to %d", v, minimum, maximum)
	}
	return v
}

// Float reads a finite number that is at least minimum.
func (n Node) Float(minimum float64) float64 {
	var v float64
	if literal, ok := n.value.Value.(hujson.Literal); !ok || literal.Kind() != '0' {
		n.reportWrongType("a number")
	} else if err := json.Unmarshal(literal, &v); err != nil {
		n.Report("got %s; want a number", literal)
	} else if v < minimum {
		n.Report("got %v; want a number of at least %v", v, minimum)
	}
	return v
}

// Duration reads a positive duration in the format of time.ParseDuration.
func (n Node) Duration() time.Duration {
	s := n.String()
	if s == "" {
		return 0
	}
	d, err := time.ParseDuration(s)
	if err != nil || d <= 0 {
		n.Report("duration %q: want a positive duration such as \"50ms\" or \"2s\"", s)
		return 0
	}
	return d
}

// startsWithDigit rejects numbers such as ".5", which units.ParseMillicores and
// units.ParseBytes accept.
func startsWithDigit(s string) bool { return s[0] >= '0' && s[0] <= '9' }

// maxCores limits an amount of processors, so that the sum over all workers can't
// overflow.
const maxCores units.Millicores = 1e9

// Processors reads a number of cores.
func (n Node) Processors() units.Millicores {
	s := n.String()
	if s == "" {
		return 0
	}
	m, err := units.ParseMillicores(s)
	if err != nil || !startsWithDigit(s) || m > maxCores {
		n.Report("processors %q: want cores from 0 to 1000000, such as \"2\", \"0.5\" or \"250m\"", s)
		return 0
	}
	return m
}

// maxMemory limits an amount of memory to what a float64, which units.ParseBytes uses,
// represents exactly.
const maxMemory units.Bytes = 1 << 53

// Memory reads an amount of memory with its unit.
func (n Node) Memory() units.Bytes {
	s := n.String()
	if s == "" {
		return 0
	}
	b, err := units.ParseBytes(s)
	if err != nil || !startsWithDigit(s) || b > maxMemory {
		n.Report("memory %q: want a number up to 8192TiB and one of KiB, MiB, GiB, TiB, KB, MB, GB, TB, B", s)
		return 0
	}
	return b
}

// Priority reads the name of a priority.
func (n Node) Priority() units.Priority {
	s := n.String()
	if s == "" {
		return 0
	}
	p, err := units.ParsePriority(s)
	if err != nil {
		n.Report("%v", err)
	}
	return p
}

// Each calls read for each element of an array.
func (n Node) Each(read func(Node)) {
	array, ok := n.value.Value.(*hujson.Array)
	if !ok {
		n.reportWrongType("an array")
		return
	}
	for i := range array.Elements {
		read(n.child(fmt.Sprintf("%s[%d]", n.path, i), &array.Elements[i]))
	}
}

// Members calls read for each member of an object with arbitrary keys. It reports
// duplicate keys.
func (n Node) Members(read func(key string, value Node)) {
	object, ok := n.value.Value.(*hujson.Object)
	if !ok {
		n.reportWrongType("an object")
		return
	}
	seen := map[string]bool{}
	for i := range object.Members {
		m := &object.Members[i]
		key := m.Name.Value.(hujson.Literal).String()
		path := joinPath(n.path, key)
		if seen[key] {
			n.reader.reportAt(m.Name.StartOffset, path, "duplicate key")
			continue
		}
		seen[key] = true
		value := n.child(path, &m.Value)
		value.key = m.Name.StartOffset
		read(key, value)
	}
}

// IsObject reports whether the value is an object.
func (n Node) IsObject() bool { return n.value.Value.Kind() == '{' }

func (n Node) child(path string, value *hujson.Value) Node {
	n.reader.offsets[path] = value.StartOffset
	return Node{reader: n.reader, value: value, path: path}
}

func joinPath(parent, key string) string {
	if parent == "" {
		return key
	}
	return parent + "." + key
}
