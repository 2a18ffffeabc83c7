package logservice_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"go.uber.org/goleak"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/pkg/logservice"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// answer serves one fixed reply; a negative status closes the connection.
func answer(t *testing.T, status int, retryAfter, body string) *logservice.Client {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if status < 0 {
			panic(http.ErrAbortHandler)
		}
		if retryAfter != "" {
			w.Header().Set("Retry-After", retryAfter)
		}
		if status == http.StatusGone && r.URL.Query().Get("from") == "4611686018427387904" {
			status, body = http.StatusOK, `{"first":7,"next":9}`
		}
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}))
	t.Cleanup(server.Close)
	return &logservice.Client{BaseURL: server.URL, HTTP: server.Client(), MaxReply: 100}
}

// TestReplies guards against a reply that is taken as proof of more than it
// proves, and against a batch with a gap.
func TestReplies(t *testing.T) {
	const record = `{"first":1,"next":3,"records":[{"offset":`
	cases := map[string]struct {
		status             int
		retryAfter, body   string
		appendWant, read   logservice.Kind
		records, next, off int
	}{
		"appended":                   {status: 200, body: `{"offset":5}`, off: 5, read: logservice.Unavailable},
		"offset missing":             {status: 200, body: `{}`, appendWant: logservice.Unknown, read: logservice.Unavailable},
		"body truncated":             {status: 200, body: `{"offs`, appendWant: logservice.Unknown, read: logservice.Unavailable},
		"connection closed":          {status: -1, appendWant: logservice.Unknown, read: logservice.Unavailable},
		"gateway failed":             {status: 502, appendWant: logservice.Unknown, read: logservice.Unavailable},
		"unavailable, cause unknown": {status: 503, appendWant: logservice.Unknown, read: logservice.Unavailable},
		"unavailable, try later":     {status: 503, retryAfter: "1", appendWant: logservice.Unavailable, read: logservice.Unavailable},
		"rate exceeded":              {status: 429, appendWant: logservice.Unavailable, read: logservice.Unavailable},
		"request timed out":          {status: 408, appendWant: logservice.Unknown, read: logservice.Unavailable},
		"too large":                  {status: 413, appendWant: logservice.Refused, read: logservice.Refused},
		"expired, no positions":      {status: 410, body: "gone", appendWant: logservice.Refused, read: logservice.Expired, next: 9},
		"record":                     {status: 200, body: record + `2,"payload":"eA=="}]}`, appendWant: logservice.Unknown, records: 1, next: 3},
		"record with a gap":          {status: 200, body: record + `1,"payload":"eA=="}]}`, appendWant: logservice.Unknown, read: logservice.Unavailable},
		"reply too long":             {status: 200, body: record + `2,"payload":"` + string(make([]byte, 100)), appendWant: logservice.Unknown, read: logservice.Unavailable},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			client := answer(t, c.status, c.retryAfter, c.body)
			offset, err := client.Append(t.Context(), "s", []byte("x"))
			if int(offset) != c.off || c.appendWant == "" && err != nil || c.appendWant != "" && !fault.Is(err, c.appendWant) {
				t.Errorf("append: got %d, %v, want %d, kind %q", offset, err, c.off, c.appendWant)
			}
			batch, err := client.Read(t.Context(), "s", 2, 0)
			if len(batch.Records) != c.records || int(batch.Next) != c.next || c.read == "" && err != nil || c.read != "" && !fault.Is(err, c.read) {
				t.Errorf("read: got %+v, %v, want kind %q", batch, err, c.read)
			}
		})
	}
}

// TestUnreachable guards against an append that counts as unknown although no
// connection carried it.
func TestUnreachable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	for _, ctx := range []context.Context{t.Context(), ended} {
		client := &logservice.Client{BaseURL: "http://" + address}
		if _, err := client.Append(ctx, "s", nil); !fault.Is(err, logservice.Unavailable) {
			t.Errorf("append: got %v", err)
		}
	}
}

// FuzzRead guards against a reply that breaks the client or yields records out
// of order.
func FuzzRead(f *testing.F) {
	f.Add(200, []byte(`{"first":1,"next":3,"records":[{"offset":2,"payload":"eA=="}]}`))
	f.Add(410, []byte(`{"first":5,"next":9}`))
	f.Add(200, []byte(`{"first":1,"next":2,"records":[null]}`))
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		if status < 200 || status > 599 {
			return
		}
		client := &logservice.Client{BaseURL: "http://log", HTTP: &http.Client{Transport: fixed{status, body}}}
		batch, err := client.Read(t.Context(), "s", 2, 0)
		for i, r := range batch.Records {
			if err != nil || int(r.Offset) != 2+i {
				t.Errorf("got %+v, %v", batch, err)
			}
		}
	})
}

// fixed answers every request without a connection.
type fixed struct {
	status int
	body   []byte
}

func (f fixed) RoundTrip(*http.Request) (*http.Response, error) {
	recorder := httptest.NewRecorder()
	recorder.WriteHeader(f.status)
	_, _ = recorder.Write(f.body)
	return recorder.Result(), nil
}
