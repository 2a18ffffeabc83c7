package headers

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against a URI for which ParseTarget returns neither an error nor a valid
// service name and path.
func FuzzTarget(f *testing.F) {
	for _, s := range []string{"/services/desk/a?b", "/services/desk", "/services//", "/services/%2e/x", "http://h/services/a"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, uri string) {
		name, rest, err := ParseTarget(uri)
		if err != nil {
			return
		}
		if name == "" || strings.ContainsAny(string(name), "/?%") || !strings.HasPrefix(rest, "/") || !strings.HasPrefix(uri, ServicePathPrefix+string(name)) {
			t.Fatalf("%q: got service %q, rest %q", uri, name, rest)
		}
	})
}

// Guards against invalid header values that are accepted or yield a value outside
// the limits, and against hop-by-hop headers that are copied.
func FuzzHeaders(f *testing.F) {
	f.Add("250ms", "true", "4", "close, X-A")
	f.Add("-1h", "TRUE", "99999999999", "")
	f.Add("9999999h", "", "", ",,")
	f.Fuzz(func(t *testing.T, deadline, idempotent, priority, connection string) {
		h := http.Header{DeadlineHeader: {deadline}, IdempotentHeader: {idempotent}, PriorityHeader: {priority}, "Connection": {connection}, "X-A": {"1"}}
		if d, err := ParseTimeout(h, time.Second, time.Minute); err == nil && (d <= 0 || d > time.Minute) {
			t.Fatalf("deadline %q: got %v", deadline, d)
		}
		if _, err := ParseIdempotent("POST", h); err == nil && idempotent != "true" && idempotent != "false" {
			t.Fatalf("idempotent %q was accepted", idempotent)
		}
		if p := ParsePriority(h); p < 1 || p > 4 {
			t.Fatalf("priority %q: got %v", priority, p)
		}
		c := make(http.Header)
		CopyEndToEnd(c, h)
		if c[DeadlineHeader] != nil || c["Connection"] != nil {
			t.Fatalf("got %v, want no hop-by-hop headers", c)
		}
	})
}
