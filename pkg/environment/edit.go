// Edits change the text instead of the parsed document, to preserve the comments in
// which operators explain their decisions.

package environment

import (
	"bytes"
	"slices"
	"strings"

	"github.com/tailscale/hujson"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/pkg/units"
)

// SetDomainState returns raw with the state of one failure domain changed. The
// error has KindInvalid if raw doesn't parse or state is not a valid state, and
// KindNotFound if raw doesn't list the failure domain.
func SetDomainState(raw []byte, name units.DomainName, state DomainState) ([]byte, error) {
	const op = "set failure domain state"
	root, object, err := parseObject(op, raw)
	if err != nil {
		return nil, err
	}
	if state != DomainIn && state != DomainOut {
		return nil, fault.New(op, KindInvalid, "state %q: want in or out", state)
	}
	var names []string
	if m := member(object, "failureDomains"); m != nil {
		domains, _ := m.Value.Value.(*hujson.Array)
		for i := 0; domains != nil && i < len(domains.Elements); i++ {
			domain, ok := domains.Elements[i].Value.(*hujson.Object)
			if !ok || member(domain, "name") == nil {
				continue
			}
			domainName := text(member(domain, "name").Value)
			if domainName == string(name) {
				setMember(domain, "state", hujson.String(string(state)))
				return root.Pack(), nil
			}
			names = append(names, domainName)
		}
	}
	return nil, fault.New(op, KindNotFound, "unknown failure domain %q; want one of: %s", name, strings.Join(names, ", "))
}

// SetEnvironment returns raw with another environment name, for the promotion of a
// document to that environment. The error has KindInvalid if raw doesn't parse.
func SetEnvironment(raw []byte, name units.EnvironmentName) ([]byte, error) {
	root, object, err := parseObject("set environment", raw)
	if err != nil {
		return nil, err
	}
	setMember(object, "environment", hujson.String(string(name)))
	return root.Pack(), nil
}

// SetDrained returns raw with the worker added to drainedWorkers, or removed from
// it if drained is false. If nothing needs to change, the text stays as it is. The
// error has KindInvalid if raw doesn't parse.
func SetDrained(raw []byte, worker units.WorkerID, drained bool) ([]byte, error) {
	const op = "set drained"
	root, object, err := parseObject(op, raw)
	if err != nil {
		return nil, err
	}
	m := member(object, "drainedWorkers")
	if m == nil {
		if !drained {
			return raw, nil
		}
		m = addMember(object, "drainedWorkers", &hujson.Array{})
	}
	list, ok := m.Value.Value.(*hujson.Array)
	if !ok {
		return nil, fault.New(op, KindInvalid, "drainedWorkers is not an array")
	}
	index := slices.IndexFunc(list.Elements, func(e hujson.Value) bool { return text(e) == string(worker) })
	switch {
	case drained && index < 0:
		appendElement(list, hujson.String(string(worker)))
	case !drained && index >= 0:
		removeElement(list, index)
	}
	return root.Pack(), nil
}

func parseObject(op string, raw []byte) (*hujson.Value, *hujson.Object, error) {
	if _, err := Parse("document", raw); err != nil {
		return nil, nil, fault.Wrap(op, KindInvalid, err)
	}
	root, err := hujson.Parse(bytes.Clone(raw))
	if err != nil {
		return nil, nil, fault.Wrap(op, KindInvalid, err)
	}
	return &root, root.Value.(*hujson.Object), nil // the check by Parse above accepts objects only
}

func member(object *hujson.Object, name string) *hujson.ObjectMember {
	for i := range object.Members {
		if text(object.Members[i].Name) == name {
			return &object.Members[i]
		}
	}
	return nil
}

// text returns the unescaped value of a string literal, or "" for any other value.
func text(v hujson.Value) string {
	if literal, ok := v.Value.(hujson.Literal); ok && literal.Kind() == '"' {
		return literal.String()
	}
	return ""
}

func setMember(object *hujson.Object, name string, value hujson.ValueTrimmed) {
	if m := member(object, name); m != nil {
		m.Value.Value = value
		return
	}
	addMember(object, name, value)
}

// addMember appends a member on a line of its own.
func addMember(object *hujson.Object, name string, value hujson.ValueTrimmed) *hujson.ObjectMember {
	m := hujson.ObjectMember{
		Name:  hujson.Value{Value: hujson.String(name), BeforeExtra: append(bytes.Clone(object.AfterExtra), "\n  "...)},
		Value: hujson.Value{Value: value, BeforeExtra: hujson.Extra(" ")},
	}
	object.AfterExtra = hujson.Extra("\n")
	object.Members = append(object.Members, m)
	return &object.Members[len(object.Members)-1]
}

// appendElement appends a value to the array. Comments between the last element
// and the closing bracket stay directly after that element.
func appendElement(list *hujson.Array, value hujson.ValueTrimmed) {
	before := bytes.Clone(list.AfterExtra)
	list.AfterExtra = nil
	if n := len(list.Elements); n > 0 && len(before) == 0 {
		before = []byte(" ")
	}
	list.Elements = append(list.Elements, hujson.Value{Value: value, BeforeExtra: before})
}

// removeElement removes a value and keeps the comments around it, which may
// belong to the previous element.
func removeElement(list *hujson.Array, index int) {
	removed := list.Elements[index]
	list.Elements = slices.Delete(list.Elements, index, index+1)
	var comments hujson.Extra
	for _, extra := range []hujson.Extra{removed.BeforeExtra, removed.AfterExtra} {
		if !extra.IsStandard() {
			comments = append(comments, extra...)
		}
	}
	if index < len(list.Elements) {
		next := &list.Elements[index]
		next.BeforeExtra = append(comments, next.BeforeExtra...)
	} else {
		list.AfterExtra = append(comments, list.AfterExtra...)
	}
}
