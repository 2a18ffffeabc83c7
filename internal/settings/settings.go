// Package settings reads the settings files of the processes: JSON with
// comments, checked as a whole, so that a wrong file lists every error before
// the process opens a socket.
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
	KindInvalid    Kind = "invalid"    // the file fails its checks; Problems lists every one
)

// Error is a failed operation on settings.
type Error = fault.Error[Kind]

// Problems returns every problem that err lists.
func Problems(err error) []strictjson.Problem {
	var ps strictjson.Problems
	errors.As(err, &ps)
	return ps
}

// Lookup returns the value of an environment variable; os.LookupEnv outside
// tests.
type Lookup func(name string) (value string, ok bool)

// LoadEntry reads the settings of an entry process from a file.
func LoadEntry(path string) (*Entry, error) { return load(path, ParseEntry) }

// LoadAgent reads the settings of an agent from a file.
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

// parse reads data into target by a table and then checks rules between fields.
func parse[T any](name string, data []byte, target *T, fields []strictjson.Field[T], check func(report)) (*T, error) {
	reader, root := strictjson.Parse(name, data)
	if root.Valid() {
		strictjson.Object(root, target, fields)
		check(reader.Report)
	}
	if err := reader.Err(); err != nil {
		return nil, fault.Wrap("parse settings", KindInvalid, err)
	}
	return target, nil
}

type report = func(field, format string, args ...any)

// readAddress reads an address by number. Names are refused because the
// processes use no name service.
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

// readDialAddress reads an address that another process connects to.
func readDialAddress(n strictjson.Node) netip.AddrPort {
	address := readAddress(n)
	if address.IsValid() && (address.Port() == 0 || address.Addr().IsUnspecified()) {
		n.Report("address %q: want a specific IP address and a port other than 0, because others connect to it", address)
	}
	return address
}

// maxSecret limits a token; a longer one would not fit into a request header.
const maxSecret = 1024

// minSecret keeps tokens from being guessed.
const minSecret = 16

// readSecret reads a string, or an object that names an environment variable.
// Its messages never contain the value.
func readSecret(n strictjson.Node, lookup Lookup) Secret {
	var value string
	if n.IsObject() {
		var variable string
		strictjson.Object(n, &variable, variableFields)
		if variable == "" {
			return Secret{}
		}
		found, ok := lookup(variable)
		if !ok {
			n.Report("environment variable %s is not set", variable)
			return Secret{}
		}
		value = found
	} else {
		value = n.Secret()
	}
	if len(value) < minSecret || len(value) > maxSecret || !printable(value) {
		n.Report("want a token of %d to %d printable ASCII characters without spaces (%d characters given)", minSecret, maxSecret, len(value))
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

// Secret is a token that does not print. The zero value is no token.
type Secret struct{ value string }

// NewSecret returns a secret with that value.
func NewSecret(value string) Secret { return Secret{value} }

// Reveal returns the value, for comparing or sending it.
func (s Secret) Reveal() string { return s.value }

// IsZero reports whether there is no secret.
func (s Secret) IsZero() bool { return s.value == "" }

const redacted = "[redacted]"

// String returns a fixed text.
func (s Secret) String() string { return redacted }

// GoString returns a fixed text.
func (s Secret) GoString() string { return redacted }

// Format writes a fixed text for every verb.
func (s Secret) Format(f fmt.State, _ rune) { _, _ = f.Write([]byte(redacted)) }

// MarshalText returns a fixed text, also for JSON.
func (s Secret) MarshalText() ([]byte, error) { return []byte(redacted), nil }
