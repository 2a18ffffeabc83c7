// Comparison identifies array elements by name instead of position: otherwise the
// insertion of a team would show as a change of every later one.

package environment

import (
	"fmt"

	"github.com/tailscale/hujson"
)

// Change is one field that differs between two documents.
type Change struct {
	Field  string `json:"field"`            // field path with names instead of positions, such as teams[moulds].quota.memory
	Before string `json:"before,omitempty"` // empty when the field was added
	After  string `json:"after,omitempty"`  // empty when the field was removed
}

// String formats c as "field: before -> after".
func (c Change) String() string {
	before, after := c.Before, c.After
	if before == "" {
		before = "(none)"
	}
	if after == "" {
		after = "(none)"
	}
	return fmt.Sprintf("%s: %s -> %s", c.Field, before, after)
}

// Compare lists the fields in which b differs from a: first the fields of a, in
// the order of the document, then those that only b has. A different order of
// named elements is no change. A nil document has no fields.
func Compare(a, b *Document) []Change {
	before, beforeOrder := flatten(a)
	after, afterOrder := flatten(b)
	var changes []Change
	for _, field := range beforeOrder {
		if before[field] != after[field] {
			changes = append(changes, Change{field, before[field], after[field]})
		}
	}
	for _, field := range afterOrder {
		if _, ok := before[field]; !ok {
			changes = append(changes, Change{field, "", after[field]})
		}
	}
	return changes
}

// flatten maps each field path to its value and lists the paths in order.
func flatten(d *Document) (map[string]string, []string) {
	values := map[string]string{}
	if d == nil {
		return values, nil
	}
	root, err := hujson.Parse(Encode(d))
	if err != nil {
		panic("environment: compare: " + err.Error()) // cannot happen: Encode writes valid JSON
	}
	var order []string
	walkValues("", root, func(path, value string) {
		values[path] = value
		order = append(order, path)
	})
	return values, order
}

func walkValues(path string, v hujson.Value, visit func(path, value string)) {
	switch v := v.Value.(type) {
	case hujson.Literal:
		visit(path, v.String())
	case *hujson.Object:
		for _, m := range v.Members {
			child := m.Name.Value.(hujson.Literal).String()
			if path != "" {
				child = path + "." + child
			}
			walkValues(child, m.Value, visit)
		}
	case *hujson.Array:
		for _, e := range v.Elements {
			name, object := elementName(e)
			child := fmt.Sprintf("%s[%s]", path, name)
			if object {
				walkValues(child, e, visit)
			} else {
				visit(child, "listed")
			}
		}
	}
}

// elementName returns the name that identifies an element of an array, and
// whether the element is an object.
func elementName(e hujson.Value) (name string, object bool) {
	switch v := e.Value.(type) {
	case *hujson.Object:
		if m := member(v, "name"); m != nil {
			return text(m.Value), true
		}
		return "", true
	case hujson.Literal:
		return v.String(), false
	}
	return "", false
}
