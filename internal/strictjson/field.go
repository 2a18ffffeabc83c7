// The tables of fields are used by the parser and for the reference manual, so that the
// two can't differ.

package strictjson

import (
	"strings"

	"github.com/tailscale/hujson"
)

// Field describes one key of an object: how its value is read, and its entry in the
// reference manual.
type Field[T any] struct {
	Name     string
	Type     string // type in the reference, such as "duration"
	Purpose  string // what it is for and which values are valid
	Required bool
	Read     func(target *T, n Node)
	Nested   func(prefix string) []Row // rows of the nested fields; nil if there are none
}

// Row is one row of the reference manual.
type Row struct{ Field, Type, Required, Purpose string }

// Rows returns the rows of the reference manual for fields. Nested fields follow
// their parent.
func Rows[T any](prefix string, fields []Field[T]) []Row {
	var rows []Row
	for _, f := range fields {
		path := joinPath(prefix, f.Name)
		required := "no"
		if f.Required {
			required = "yes"
		}
		rows = append(rows, Row{path, f.Type, required, f.Purpose})
		if f.Nested != nil {
			rows = append(rows, f.Nested(path)...)
		}
	}
	return rows
}

// Object reads an object into target with a table of its fields. It reports unknown,
// duplicate and missing keys.
func Object[T any](n Node, target *T, fields []Field[T]) {
	if _, ok := n.value.Value.(*hujson.Object); !ok {
		n.reportWrongType("an object")
		return
	}
	missing := map[string]bool{}
	for _, f := range fields {
		missing[f.Name] = true
	}
	n.Members(func(key string, value Node) {
		for _, f := range fields {
			if f.Name == key {
				delete(missing, key)
				f.Read(target, value)
				return
			}
		}
		n.reader.reportAt(value.key, value.path, "unknown key; allowed here: %s", fieldNames(fields))
	})
	for _, f := range fields {
		path := joinPath(n.path, f.Name)
		if !missing[f.Name] {
			continue
		}
		if f.Required {
			n.reader.reported[path] = true
			n.reader.reportAt(n.value.StartOffset, path, "missing; want %s", f.Type)
		}
	}
}

func fieldNames[T any](fields []Field[T]) string {
	names := make([]string, len(fields))
	for i, f := range fields {
		names[i] = f.Name
	}
	return strings.Join(names, ", ")
}
