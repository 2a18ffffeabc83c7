// Package settings reads the settings files of the processes, which are JSON with
// comments. A file is checked as a whole, so that every problem is reported before the
// process opens a socket.
package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"os"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/strictjson"
)

// Kind is the kind of an Error.
type Kind string

// The kinds of Error.
const (
	KindUnreadable Kind = "unreadable" // the file cannot be read
	KindInvalid    Kind = "invalid"    // the settings are not valid; Problems lists the problems
)

// Error is the error of a failure to read settings.
type Error = fault.Error[Kind]

// Problems returns the problems that err wraps, or nil.
func Problems(err error) []strictjson.Problem {
	var ps strictjson.Problems
	errors.As(err, &ps)
	return ps
}

// Lookup returns the value of an environment variable, like os.LookupEnv, which is used
// outside tests.
type Lookup func(name string) (value string, ok bool)

// LoadEntry reads the settings of an entry process from a file. The error has
// KindUnreadable or KindInvalid.
func LoadEntry(path string) (*Entry, error) { return load(path, ParseEntry) }

// LoadAgent reads the settings of an agent from a file. The error has KindUnreadable or
// KindInvalid.
func LoadAgent(path string) (*Agent, error) { return load(path, ParseAgent) }

func load[T any](path string, parse func(string, []byte, Lookup) (*T, error)) (*T, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fault.Wrap("load settings", KindUnreadable, err)
	}
	if info.Size() > strictjson.MaxSize {
		return nil, fault.New("load settings", KindInvalid, "%s has %d bytes; at most %d are allowed", path, info.Size(), strictjson.MaxSize)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap("load settings", KindUnreadable, err)
	}
	return parse(path, data, os.LookupEnv)
}

// parse reads data into target with a table of fields and then checks the rules between
// fields.
func parse[T any](name string, data []byte, target *T, fields []strictjson.Field[T], check func(report)) error {
	reader, root := strictjson.Parse(name, data)
	if root.Valid() {
		strictjson.Object(root, target, fields)
		check(reader.Report)
	}
	if err := reader.Err(); err != nil {
		return fault.Wrap("parse settings", KindInvalid, err)
	}
	return nil
}

type report = func(field, format string, args ...any)

// readAddress reads an IP address with a port. Host names are rejected, because the
// processes don't resolve names.
func readAddress(n strictjson.Node) netip.AddrPort {
	s := n.String()
	if s == "" {
		return netip.AddrPort{}
	}
	address, err := netip.ParseAddrPort(s)
	if err != nil || address.Addr().Zone() != "" {
		n.Report("address %q: want an IP address and port by number, such as 127.0.0.1:7001 or [::1]:7001; host names are not looked up", s)
		return netip.AddrPort{}
	}
	return address
}

// readDialAddress reads an address that a process connects to.
func readDialAddress(n strictjson.Node) netip.AddrPort {
	address := readAddress(n)
	if address.IsValid() && !dialable(address) {
		n.Report("address %q: want a specific IP address and a port other than 0, because others connect to it", address)
	}
	return address
}

// dialable reports whether others can connect to the address: it has a specific IP address
// and port.
func dialable(address netip.AddrPort) bool {
	return address.Port() != 0 && !address.Addr().IsUnspecified()
}

// checkAdvertisedAddress reports that advertisedLinkAddress is missing if the dialers, such
// as "agents", can't connect to linkAddress instead.
func checkAdvertisedAddress(report report, dialers string, link, advertised netip.AddrPort) {
	if !advertised.IsValid() && link.IsValid() && !dialable(link) {
		report("advertisedLinkAddress", "missing; %s cannot dial linkAddress %s", dialers, link)
	}
}

// maxSecretLength limits the length of a token, in bytes, because it is sent in the
// header of requests, whose size is limited.
const maxSecretLength = 1024

// minSecretLength is the minimum length of a token, in bytes, which makes guessing
// infeasible.
const minSecretLength = 16

// readSecret reads a token from a string, or from the environment variable that an object
// specifies. Its messages never contain the token.
func readSecret(n strictjson.Node, lookup Lookup) Secret {
	var value string
	if n.IsObject() {
		var variable string
		strictjson.Object(n, &variable, variableFields)
		if variable == "" {
			return Secret{}
		}
		text, ok := lookup(variable)
		if !ok {
			n.Report("environment variable %s is not set", variable)
			return Secret{}
		}
		value = text
	} else {
		value = n.Secret()
	}
	if len(value) < minSecretLength || len(value) > maxSecretLength || !printable(value) {
		n.Report("want a token of %d to %d printable ASCII characters without spaces (%d characters given)", minSecretLength, maxSecretLength, len(value))
		return Secret{}
	}
	return Secret{value}
}

var variableFields = []strictjson.Field[string]{
	{Name: "environmentVariable", Type: "name", Required: true, Purpose: "environment variable that holds the token",
		Read: func(s *string, n strictjson.Node) { *s = n.Name() }},
}

func printable(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

// Secret is a token that is not disclosed by printing or encoding it. The zero value means
// that there is no token.
type Secret struct{ value string }

// NewSecret returns a Secret with the given value.
func NewSecret(value string) Secret { return Secret{value} }

// Reveal returns the value, to compare or send it.
func (s Secret) Reveal() string { return s.value }

// IsZero reports whether there is no token.
func (s Secret) IsZero() bool { return s.value == "" }

const redacted = "[redacted]"

// String returns a placeholder.
func (s Secret) String() string { return redacted }

// GoString returns a placeholder.
func (s Secret) GoString() string { return redacted }

// Format writes a placeholder for every verb.
func (s Secret) Format(f fmt.State, _ rune) { _, _ = f.Write([]byte(redacted)) }

// MarshalText returns a placeholder; encoding/json uses it too.
func (s Secret) MarshalText() ([]byte, error) { return []byte(redacted), nil }
