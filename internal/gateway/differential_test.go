package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wasabihill.example/wasabihill/internal/gateway"
	"wasabihill.example/wasabihill/internal/headers"
	"wasabihill.example/wasabihill/internal/standin/endpoint"
)

// naiveGateway distributes requests round robin, retries after any error and
// returns whatever it has read. It shows that the fault histories of this file
// can break the guarantees.
type naiveGateway struct {
	endpoints []string
	next      atomic.Int64
	client    *http.Client
}

func (n *naiveGateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	for range 3 {
		target := n.endpoints[int(n.next.Add(1))%len(n.endpoints)]
		out, err := http.NewRequest(r.Method, target+"/", strings.NewReader(string(body)))
		if err != nil {
			continue
		}
		out.Header = r.Header.Clone()
		response, err := n.client.Do(out)
		if err != nil {
			continue
		}
		data, _ := io.ReadAll(response.Body)
		response.Body.Close()
		if response.StatusCode >= 500 {
			continue
		}
		for _, name := range []string{endpoint.RequestIDHeader, endpoint.ResponseDigestHeader} {
			w.Header().Set(name, response.Header.Get(name))
		}
		w.Header().Set(headers.OutcomeHeader, string(headers.Done))
		_, _ = w.Write(data)
		return
	}
	headers.WriteRejection(w, http.StatusServiceUnavailable, headers.Overload, "no endpoint answered")
}

// step is one request of a history and the fault of its first attempt.
type step struct {
	Fault      string
	Idempotent bool
}

var historyGenerator = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
	return step{
		Fault:      rapid.SampledFrom([]string{"", "", "resetBefore", "resetAfter", "truncated", "silent", "slow", "duplicate", "error"}).Draw(t, "fault"),
		Idempotent: rapid.Bool().Draw(t, "idempotent"),
	}
}), 24, 24)

// violations counts broken guarantees by name.
type violations map[string]int

// runHistory sends the requests of the history one after the other and compares
// the outcomes that the caller received with the executions at the endpoints.
func runHistory(t *testing.T, url string, history []step, executed func() map[string]int) violations {
	t.Helper()
	found := violations{}
	c := newClient(t)
	outcomes := map[string]headers.Outcome{}
	for i, s := range history {
		id := fmt.Sprintf("%d-%s", i, s.Fault)
		r := send(c, "POST", url+"/services/desk/", strings.NewReader("body"), headers.IdempotentHeader, fmt.Sprint(s.Idempotent),
			endpoint.RequestIDHeader, id, endpoint.FaultHeader, s.Fault, headers.DeadlineHeader, "200ms")
		outcomes[id] = r.outcome
		if r.outcome == headers.Done && r.status == http.StatusOK && r.verify(id) != "" {
			found["truncated or mismatched response returned"]++
		}
	}
	counts := executed()
	for i, s := range history {
		id := fmt.Sprintf("%d-%s", i, s.Fault)
		if !s.Idempotent && counts[id] > 1 {
			found["non-idempotent request executed twice"]++
		}
		if outcomes[id] == headers.NotRun && counts[id] > 0 {
			found["executed request reported as not run"]++
		}
	}
	return found
}

// Runs the same fault histories against the naive gateway, which violates the
// guarantees, and against the product, which must not.
func TestHistoriesAgainstNaiveGateway(t *testing.T) {
	all := violations{}
	for seed := range 3 {
		history := historyGenerator.Example(seed + 1)
		naive := &naiveGateway{client: &http.Client{Timeout: 200 * time.Millisecond, Transport: &http.Transport{}}}
		e := newEntry(t, gateway.Options{})
		var productEndpoints, naiveEndpoints []*endpoint.Endpoint
		for i := range 3 {
			productEndpoints = append(productEndpoints, newAgent(t, i, endpoint.Options{}, e).endpoint)
			own := newAgent(t, i, endpoint.Options{}).endpoint
			naiveEndpoints = append(naiveEndpoints, own)
			naive.endpoints = append(naive.endpoints, "http://"+own.Address())
		}
		server := httptest.NewServer(naive)
		for name, n := range runHistory(t, server.URL, history, sumExecuted(naiveEndpoints)) {
			all[name] += n
		}
		server.Close()
		naive.client.CloseIdleConnections()
		if got := runHistory(t, e.url, history, sumExecuted(productEndpoints)); len(got) != 0 {
			t.Errorf("seed %d: the product violates %v", seed+1, got)
		}
	}
	t.Logf("the naive gateway violates %v", all)
	for _, name := range []string{"truncated or mismatched response returned", "non-idempotent request executed twice", "executed request reported as not run"} {
		if all[name] == 0 {
			t.Errorf("the naive gateway does not violate %q on these histories, so they do not test it", name)
		}
	}
}

func sumExecuted(endpoints []*endpoint.Endpoint) func() map[string]int {
	return func() map[string]int {
		total := map[string]int{}
		for _, e := range endpoints {
			for id, n := range e.Executed() {
				total[id] += n
			}
		}
		return total
	}
}

// Guards against a second execution when the connection between entry process
// and agent is closed or becomes unresponsive while requests are in flight.
func TestBrokenConnectionRunsRequestsAtMostOnce(t *testing.T) {
	for _, fault := range []string{"unresponsive", "closed"} {
		e := newEntry(t, gateway.Options{})
		proxy := newFaultyProxy(t, e)
		broken := newAgentThrough(t, 1, endpoint.Options{ServiceTime: 100 * time.Millisecond}, proxy.address, e)
		healthy := newAgent(t, 2, endpoint.Options{ServiceTime: 100 * time.Millisecond}, e)
		c := newClient(t)
		results := make(chan response, 8)
		for i := range 8 {
			go func() {
				id := fmt.Sprint(i)
				results <- send(c, "POST", e.url+"/services/desk/", nil, endpoint.RequestIDHeader, id, headers.DeadlineHeader, "5s")
			}()
		}
		time.Sleep(50 * time.Millisecond)
		proxy.inject(fault)
		done := 0
		for range 8 {
			if r := <-results; r.outcome == headers.Done {
				done++
			} else if r.outcome != headers.Unknown {
				t.Errorf("%s: got outcome %q, error %v", fault, r.outcome, r.err)
			}
		}
		for id, n := range sumExecuted([]*endpoint.Endpoint{broken.endpoint, healthy.endpoint})() {
			if n != 1 {
				t.Errorf("%s: request %s executed %d times, want 1", fault, id, n)
			}
		}
		if done == 0 {
			t.Errorf("%s: got no request done, want those at the healthy agent", fault)
		}
	}
}
