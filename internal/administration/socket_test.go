package administration_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"wasabihill.example/wasabihill/internal/administration"
	"wasabihill.example/wasabihill/internal/administration/administrationtest"
	"wasabihill.example/wasabihill/internal/settings"
	api "wasabihill.example/wasabihill/pkg/administration"
	"wasabihill.example/wasabihill/pkg/units"
)

// Guards against raw requests that are truncated, never end, are malformed or exceed
// limits: each gets a 4xx status, and the next request is served.
func TestFaultsOnTheWire(t *testing.T) {
	// net/http itself waits 500 ms after an aborted request; that goroutine then ends.
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent(), goleak.IgnoreAnyFunction("net/http.(*conn).closeWriteAndWait"))
	backend := administrationtest.New()
	server := administration.NewServer(administration.Config{Backend: backend, OperatorToken: settings.NewSecret(operator),
		Body: units.KiB, HeaderBytes: units.KiB, Timeout: 300 * time.Millisecond}).HTTPServer()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	head := "POST /v1/environments/x/check HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + operator + "\r\n"
	for _, c := range []struct {
		name, text string
		closeWrite bool   // close the client's sending side after the text
		want       string // status
	}{
		{"truncated body", head + "Content-Length: 100\r\n\r\n{", true, "400"},
		{"truncated chunk", head + "Transfer-Encoding: chunked\r\n\r\n5\r\n{", true, "400"},
		{"malformed chunk", head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", false, "400"},
		{"two lengths", head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\n{}", false, "400"},
		{"silent body", head + "Content-Length: 100\r\n\r\n{", false, "400"},
		{"declared oversized", head + "Content-Length: 1000000\r\n\r\n", false, "413"},
		{"chunked oversized", head + "Transfer-Encoding: chunked\r\n\r\n800\r\n" + strings.Repeat(" ", 0x800) + "\r\n0\r\n\r\n", false, "413"},
		{"oversized header", head + "X-Long: " + strings.Repeat("x", 16<<10) + "\r\n\r\n", false, "431"},
		{"no HTTP", "\x16\x03\x01\x02\x00\r\n\r\n", false, "400"},
		{"well formed", head + "Content-Length: 2\r\n\r\n{}", false, "200"},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
			if _, err := io.WriteString(conn, c.text); err != nil {
				t.Fatal(err)
			}
			if c.closeWrite {
				_ = conn.(*net.TCPConn).CloseWrite()
			}
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatalf("got %v, want status %s", err, c.want)
			}
			_ = response.Body.Close()
			if got := fmt.Sprint(response.StatusCode); got != c.want {
				t.Errorf("got status %s, want %s", got, c.want)
			}
		})
	}
}

// Guards against a job that is submitted twice because the reply was lost and the
// client sent the request to the next server, and against a lost reply that is
// reported as not run.
func TestClientAfterLostReply(t *testing.T) {
	f := start(t, nil)
	lossy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		f.server.Config.Handler.ServeHTTP(httptest.NewRecorder(), q) // takes effect
		panic(http.ErrAbortHandler)                                  // closes the connection without a reply
	}))
	defer lossy.Close()
	client := &api.Client{Servers: []string{lossy.URL}, Token: moulds}
	if _, err := client.Submit(t.Context(), "job", []byte(job), "first"); api.OutcomeOf(err) != api.OutcomeUnknown {
		t.Errorf("got %v, want an unknown outcome", err)
	}
	client.Servers = []string{lossy.URL, f.server.URL}
	got, err := client.Submit(t.Context(), "job", []byte(job), "second")
	if err != nil || got.ID != "job-2" {
		t.Errorf("got %v, %v, want job-2 from the second server", got.ID, err)
	}
	if list, err := client.Jobs(t.Context(), api.JobFilter{}); err != nil || len(list) != 2 {
		t.Errorf("got %d jobs, %v, want 2", len(list), err)
	}
	client.Servers = []string{lossy.URL, f.server.URL}
	f.backend.Fail = api.Errorf(api.KindInvalid, "refused now")
	if _, err := client.Submit(t.Context(), "job", []byte(job), "third"); api.KindOf(err) != api.KindInvalid || api.OutcomeOf(err) != api.OutcomeUnknown {
		t.Errorf("got %v, want the refusal with an unknown outcome", err)
	}
	f.backend.Fail = nil
	client.Servers = []string{"127.0.0.1:1"}
	if _, err := client.Submit(t.Context(), "job", []byte(job), "third"); api.OutcomeOf(err) != api.OutcomeNotRun {
		t.Errorf("got %v, want not run after a refused connection", err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := client.Jobs(ctx, api.JobFilter{}); err == nil {
		t.Error("got no error after cancellation")
	}
}

// Guards against one team whose slow requests occupy every slot, so that operators and
// other teams are rejected.
func TestOneTeamCannotTakeEverySlot(t *testing.T) {
	f := start(t, func(c *administration.Config) { c.Requests = 4 })
	entered, leave, done := make(chan struct{}), make(chan struct{}), make(chan struct{})
	f.backend.BeforeWrite = func() { close(entered); <-leave }
	client := &api.Client{Servers: []string{f.server.URL}, Token: moulds}
	go func() {
		defer close(done)
		if _, err := client.Submit(t.Context(), "job", []byte(job), "slow"); err != nil {
			t.Errorf("slow request: %v", err)
		}
	}()
	<-entered
	if status, body := f.call(t, "GET", "/v1/jobs", moulds, "", ""); status != 503 || !strings.Contains(body, `"kind":"busy"`) {
		t.Errorf("got %d %s for a second request of the team, want 503 busy", status, body)
	}
	for _, token := range []string{cold, operator} {
		if status, body := f.call(t, "GET", "/v1/jobs", token, "", ""); status != 200 {
			t.Errorf("got %d %s for another principal, want 200", status, body)
		}
	}
	close(leave)
	<-done
}
