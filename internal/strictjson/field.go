// Tables of fields drive both reading and the manual, so that the two cannot differ.

package strictjson

import (
	"strings"

	"github.com/tailscale/hujson"
)

// Field describes one key of an object: how it is read, and what the reference
// manual says about it.
type Field[T any] struct {
	Name     string
	Type     string // type in the reference, such as "duration"
	Purpose  string // what it is for and which values are allowed
	Required bool
	Read     func(target *T, n Node)
	Nested   func(prefix string) []Row // rows of the fields below, if any
}

// Row is one line of the reference.
type Row struct{ Field, Type, Required, Purpose string }

// Rows lists fields for the reference, nested ones after their parent.
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

// Object reads an object by a table of its fields. It reports unknown,
// duplicate and missing keys.
func Object[T any](n Node, target *T, fields []Field[T]) {
	if _, ok := n.value.Value.(*hujson.Object); !ok {
		n.wrongKind("an object")
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
			n.reader.failed[path] = true
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
