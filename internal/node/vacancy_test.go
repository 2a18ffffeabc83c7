package node

import (
	"context"
	"net/http"
	"testing"

	"wasabihill.example/wasabihill/internal/leadership"
	"wasabihill.example/wasabihill/internal/link"
	"wasabihill.example/wasabihill/internal/wire"
)

// serveVacancy starts a process that answers each request about the leadership with reply, and
// returns its address.
func serveVacancy(t *testing.T, reply *wire.VacancyReply) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc(pathVacancy, link.Handle(func(context.Context, *wire.VacancyRequest) (*wire.VacancyReply, error) { return reply, nil }))
	listener := &link.Listener{Address: "127.0.0.1:0", Handler: mux}
	address, err := listener.Listen()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- runListener(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return address.String()
}

// Guards against a process that claims although a registered one may lead: it leads, has not
// answered, is another one than the one meant, or answers for one term only.
func TestNobodyLeadsNeedsEveryRegisteredProcess(t *testing.T) {
	follower := serveVacancy(t, &wire.VacancyReply{Name: "p", Any: true})
	for name, c := range map[string]struct {
		others peers
		want   bool
	}{
		"alone":         {peers{}, true},
		"a follower":    {peers{"p": {address: follower}}, true},
		"a leader":      {peers{"p": {address: follower}, "q": {address: serveVacancy(t, &wire.VacancyReply{Name: "q", Any: true, Leads: true})}}, false},
		"silent":        {peers{"p": {address: follower}, "q": {address: "127.0.0.1:1"}}, false},
		"another one":   {peers{"q": {address: follower}}, false},
		"earlier":       {peers{"q": {address: serveVacancy(t, &wire.VacancyReply{Name: "q"})}}, false},
		"removed, gone": {peers{"p": {address: follower}, "q": {address: "127.0.0.1:1", removedAt: 1}}, true},
	} {
		e := &Entry{Settings: &Settings{Name: "e"}, peers: c.others, elector: &leadership.Elector{}, membership: membership{offset: 3, readEnd: 4}}
		if got := e.nobodyLeads(t.Context()); got != c.want {
			t.Errorf("%s: got that nobody leads %t, want %t", name, got, c.want)
		}
		e.membership.readEnd = 3
		if e.nobodyLeads(t.Context()) {
			t.Errorf("%s, before the members registered earlier were read: got that nobody leads, want unknown", name)
		}
	}
}
