package taskrunner

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

func newTestRunner(id string) *Runner {
	return New(Settings{ID: id, Cores: 1, MaxLease: time.Minute, Recorder: NewRecorder(), Work: func(string, string) Work { return Work{} }})
}

// TestOpenConnectionStaysWithTheRunnerBefore guards against a successor that answers on the
// connections of its predecessor: a real one can't, since they belong to the other process.
func TestOpenConnectionStaysWithTheRunnerBefore(t *testing.T) {
	for _, c := range []struct {
		name      string
		closeOpen bool
		want      int // status of a call for the runner before, on the client that has called it before
	}{
		{"kept", false, http.StatusOK},
		{"closed", true, http.StatusMisdirectedRequest},
	} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		a := NewAddress(newTestRunner("before"))
		ctx, cancel := context.WithCancel(t.Context())
		go a.Serve(ctx, listener)
		client := &http.Client{Transport: &http.Transport{}}
		other := &http.Client{Transport: &http.Transport{}}
		call := func(client *http.Client, id string) int {
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+listener.Addr().String()+"/api/hold", strings.NewReader(`{}`))
			if err != nil {
				t.Fatal(err)
			}
			request.Header.Set("X-Expected-Instance", id)
			response, err := client.Do(request)
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			var rest [4096]byte // read to the end, so that the connection is used again
			for err == nil {
				_, err = response.Body.Read(rest[:])
			}
			return response.StatusCode
		}
		if got := call(client, "before"); got != http.StatusOK {
			t.Errorf("%s: before the successor: got status %d, want 200", c.name, got)
		}
		a.Assign(newTestRunner("next"), c.closeOpen)
		time.Sleep(10 * time.Millisecond) // the client sees that its connection was closed
		if got := call(client, "before"); got != c.want {
			t.Errorf("%s: call for the runner before: got status %d, want %d", c.name, got, c.want)
		}
		if got := call(other, "next"); got != http.StatusOK {
			t.Errorf("%s: call for the successor on a new connection: got status %d, want 200", c.name, got)
		}
		cancel()
	}
}
