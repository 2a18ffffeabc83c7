package logservice_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"go.uber.org/goleak"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/pkg/logservice"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// answer is a handler that sends a fixed reply. A negative status closes the
// connection without a reply.
type answer struct {
	status           int
	retryAfter, body string
}

func (a answer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	query := r.URL.Query()
	switch {
	case a.status < 0:
		panic(http.ErrAbortHandler)
	case a.status == http.StatusGone && query.Get("from") == "4611686018427387904":
		a = answer{status: 200, body: `{"first":7,"next":9}`}
	case a.body == "by limit" && query.Get("limit") != "1":
		a.body = strings.Repeat(" ", 101)
	case a.body == "by limit":
		a.body = record + `2,"payload":"eA=="}]}`
	}
	if a.retryAfter != "" {
		w.Header().Set("Retry-After", a.retryAfter)
	}
	w.WriteHeader(a.status)
	_, _ = io.WriteString(w, a.body)
}

const record = `{"first":1,"next":3,"records":[{"offset":`

// TestReplies guards against an error kind that claims more than the reply proves,
// such as an append that is reported as not run after a lost reply, and against a
// batch with a gap.
func TestReplies(t *testing.T) {
	cases := map[string]struct {
		answer
		append, read        logservice.Kind
		records, next, want int
	}{
		"appended":                   {answer{200, "", `{"offset":5}`}, "", logservice.Unavailable, 0, 0, 5},
		"offset missing":             {answer{200, "", `{}`}, logservice.Unknown, logservice.Unavailable, 0, 0, 0},
		"body truncated":             {answer{200, "", `{"offs`}, logservice.Unknown, logservice.Unavailable, 0, 0, 0},
		"connection closed":          {answer{-1, "", ""}, logservice.Unknown, logservice.Unavailable, 0, 0, 0},
		"gateway failed":             {answer{502, "", ""}, logservice.Unknown, logservice.Unavailable, 0, 0, 0},
		"unavailable, cause unknown": {answer{503, "", ""}, logservice.Unknown, logservice.Unavailable, 0, 0, 0},
		"unavailable, try later":     {answer{503, "1", ""}, logservice.Unavailable, logservice.Unavailable, 0, 0, 0},
		"rate exceeded":              {answer{429, "", ""}, logservice.Unavailable, logservice.Unavailable, 0, 0, 0},
		"request timed out":          {answer{408, "", ""}, logservice.Unknown, logservice.Unavailable, 0, 0, 0},
		"too large":                  {answer{413, "", ""}, logservice.Refused, logservice.Refused, 0, 0, 0},
		"expired, no positions":      {answer{410, "", "gone"}, logservice.Refused, logservice.Expired, 0, 9, 0},
		"record":                     {answer{200, "", record + `2,"payload":"eA=="}]}`}, logservice.Unknown, "", 1, 3, 0},
		"record with a gap":          {answer{200, "", record + `1,"payload":"eA=="}]}`}, logservice.Unknown, logservice.Unavailable, 0, 0, 0},
		"reply too long":             {answer{200, "", record + strings.Repeat(" ", 100)}, logservice.Unknown, logservice.Unavailable, 0, 0, 0},
		"many records too long":      {answer{200, "", "by limit"}, logservice.Unknown, "", 1, 3, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(c.answer)
			defer server.Close()
			client := &logservice.Client{BaseURL: server.URL, HTTP: server.Client(), MaxReply: 100}
			offset, err := client.Append(t.Context(), "s", []byte("x"))
			if int(offset) != c.want || c.append == "" && err != nil || c.append != "" && !fault.Is(err, c.append) {
				t.Errorf("append: got %d, %v, want %d, kind %q", offset, err, c.want, c.append)
			}
			batch, err := client.Read(t.Context(), "s", 2, 0)
			if len(batch.Records) != c.records || int(batch.Next) != c.next || c.read == "" && err != nil || c.read != "" && !fault.Is(err, c.read) {
				t.Errorf("read: got %+v, %v, want kind %q", batch, err, c.read)
			}
		})
	}
}

// TestUnreachable guards against an append that is reported as Unknown although no
// connection was made to send it.
func TestUnreachable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	for _, ctx := range []context.Context{t.Context(), canceled} {
		client := &logservice.Client{BaseURL: "http://" + address}
		if _, err := client.Append(ctx, "s", nil); !fault.Is(err, logservice.Unavailable) {
			t.Errorf("append: got %v", err)
		}
	}
}

// FuzzRead guards against a reply that makes the client panic or return records out
// of order.
func FuzzRead(f *testing.F) {
	f.Add(200, []byte(`{"first":1,"next":3,"records":[{"offset":2,"payload":"eA=="}]}`))
	f.Add(410, []byte(`{"first":5,"next":9}`))
	f.Add(200, []byte(`{"first":1,"next":2,"records":[null]}`))
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		if status < 200 || status > 599 {
			return
		}
		transport := roundTrip(func() *http.Response {
			recorder := httptest.NewRecorder()
			recorder.WriteHeader(status)
			_, _ = recorder.Write(body)
			return recorder.Result()
		})
		client := &logservice.Client{BaseURL: "http://log", HTTP: &http.Client{Transport: transport}}
		batch, err := client.Read(t.Context(), "s", 2, 0)
		for i, r := range batch.Records {
			if err != nil || int(r.Offset) != 2+i {
				t.Errorf("got %+v, %v", batch, err)
			}
		}
	})
}

type roundTrip func() *http.Response

func (r roundTrip) RoundTrip(*http.Request) (*http.Response, error) { return r(), nil }
