package node

import (
	"context"
	"net/http"
	"testing"

	"wasabihill.example/wasabihill/internal/leadership"
	"wasabihill.example/wasabihill/internal/link"
	"wasabihill.example/wasabihill/internal/wire"
)

// Guards against a leader that can't lead on by promises while the processes are upgraded one by
// one: those of an earlier version name nobody in their replies.
func TestPromiseWithoutANameCounts(t *testing.T) {
	mux := http.NewServeMux()
	mux.HandleFunc(pathSupport, link.Handle(func(context.Context, *wire.SupportRequest) (*wire.SupportReply, error) {
		return &wire.SupportReply{Promised: true, Term: 1}, nil
	}))
	listener := &link.Listener{Address: "127.0.0.1:0", Handler: mux}
	address, err := listener.Listen()
	if err != nil {
		t.Fatal(err)
	}
	runUntilCleanup(t, func(ctx context.Context) error { return runListener(ctx, listener) })
	e := &Entry{Settings: &Settings{Name: "e"}, peers: peers{"p": {address: address.String()}}, elector: &leadership.Elector{}}
	if _, ok := e.requestPromises(t.Context(), 1); !ok {
		t.Error("promise without a name: got none, want it counted")
	}
}
