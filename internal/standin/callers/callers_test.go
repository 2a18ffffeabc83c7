package callers

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// Guards against a caller that reports its own timeout as a request cut off by the
// server, and against one that misses a request that the server read and dropped.
func TestCutIsDistinguishedFromTimeout(t *testing.T) {
	const slack = 20 * time.Millisecond
	for _, c := range []struct {
		name    string
		handler http.HandlerFunc
		want    bool
	}{
		{"answered", func(http.ResponseWriter, *http.Request) {}, false},
		{"closed by the server after the request was read", func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(3 * slack)
			panic(http.ErrAbortHandler)
		}, true},
		{"no response until the caller's timeout", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, false},
	} {
		server := httptest.NewServer(c.handler)
		client := &Client{Host: "desk.example", Address: strings.TrimPrefix(server.URL, "http://"), Timeout: 300 * time.Millisecond}
		a := client.Cancel(context.Background(), "/q/1")
		if got := a.CutOff(slack); got != c.want {
			t.Errorf("%s: got cut %t (error %v after %v), want %t", c.name, got, a.Err, a.Elapsed, c.want)
		}
		client.Close()
		server.Close()
	}
}

// Guards against a refused connection that is reported as a request cut off.
func TestRefusedConnectionIsNoCut(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	listener.Close()
	client := &Client{Address: address, Timeout: time.Second}
	if a := client.Cancel(context.Background(), "/q/1"); a.Err == nil || a.CutOff(0) {
		t.Errorf("got error %v, cut %t; want an error and no cut", a.Err, a.CutOff(0))
	}
}

// Guards against a state that is read from a response without a valid one.
func TestMalformedStateIsReported(t *testing.T) {
	for body, want := range map[string]Result{`{"state":"running"}`: {Status: 200, State: "running"}, `{`: {Status: 200, Malformed: true}} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if _, err := w.Write([]byte(body)); err != nil {
				t.Error(err)
			}
		}))
		client := &Client{Address: strings.TrimPrefix(server.URL, "http://"), Timeout: time.Second}
		a := client.State(context.Background(), "/q/1")
		if a.State != want.State || a.Malformed != want.Malformed || a.Status != want.Status {
			t.Errorf("%s: got %+v, want %+v", body, a, want)
		}
		client.Close()
		server.Close()
	}
}
