package routing

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wasabihill.example/wasabihill/internal/generated"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/environment"
	"wasabihill.example/wasabihill/pkg/units"
)

type fakeSession struct{ name string }

func (*fakeSession) RoundTrip(*http.Request) (*http.Response, error) {
	return nil, http.ErrAbortHandler
}

var start = time.Unix(1_000_000, 0)

// newTable returns a table with n ready endpoints of service s in failure
// domain a, past their slow start.
func newTable(n int) (*Table, *fakeSession) {
	random := rand.New(rand.NewPCG(1, 2))
	var mu sync.Mutex
	t := New(Settings{Domain: "a", Region: "r", Random: func() uint64 {
		mu.Lock()
		defer mu.Unlock()
		return random.Uint64()
	}})
	s := &fakeSession{}
	for i := range n {
		t.RecordHeartbeat(workerName(i), s, newHeartbeat("a", "r", wire.EndpointState_ENDPOINT_STATE_READY, 0), start.Add(-time.Minute))
	}
	heartbeatAll(t, s, n, start)
	return t, s
}

func workerName(i int) units.WorkerID { return units.WorkerID(fmt.Sprint("worker-", i)) }

func heartbeatAll(t *Table, s Session, n int, now time.Time) {
	for i := range n {
		t.RecordHeartbeat(workerName(i), s, newHeartbeat("a", "r", wire.EndpointState_ENDPOINT_STATE_READY, 0), now)
	}
}

func newHeartbeat(domain, region string, state wire.EndpointState, busy int32) *wire.Heartbeat {
	return &wire.Heartbeat{FailureDomain: domain, Region: region, Endpoints: []*wire.EndpointReport{
		{Service: "s", State: state, Slots: 8, Connections: 64, Busy: busy, LatencyMicroseconds: 1000}}}
}

var request = Request{Service: "s", Idempotent: true}

// TestMain fixes the seed of generated requests.
func TestMain(m *testing.M) {
	generated.Configure(100)
	os.Exit(m.Run())
}

// Guards against requests to an endpoint whose state, heartbeat age, failure
// domain or worker excludes it.
func TestEligibility(t *testing.T) {
	ready := newHeartbeat("a", "r", wire.EndpointState_ENDPOINT_STATE_READY, 0)
	document := func(state environment.DomainState, drained ...units.WorkerID) *environment.Document {
		return &environment.Document{FailureDomains: []environment.FailureDomain{{Name: "a", Region: "r", State: state}}, DrainedWorkers: drained}
	}
	for _, c := range []struct {
		name      string
		heartbeat *wire.Heartbeat
		document  *environment.Document
		age       time.Duration
		want      bool
	}{
		{"ready", ready, document(environment.DomainIn), 2 * time.Second, true},
		{"old heartbeat", ready, document(environment.DomainIn), 2*time.Second + 1, false},
		{"leaving", newHeartbeat("a", "r", wire.EndpointState_ENDPOINT_STATE_LEAVING, 0), document(environment.DomainIn), 0, false},
		{"gone", newHeartbeat("a", "r", wire.EndpointState_ENDPOINT_STATE_GONE, 0), document(environment.DomainIn), 0, false},
		{"domain out", ready, document(environment.DomainOut), 0, false},
		{"unknown domain", newHeartbeat("b", "r", wire.EndpointState_ENDPOINT_STATE_READY, 0), document(environment.DomainIn), 0, false},
		{"worker drained", ready, document(environment.DomainIn, "worker-0"), 0, false},
		{"no endpoint", &wire.Heartbeat{}, document(environment.DomainIn), 0, false},
	} {
		for _, documentFirst := range []bool{true, false} {
			table := New(Settings{Domain: "a", Region: "r"})
			if documentFirst {
				table.SetDocument(c.document, start)
			}
			table.RecordHeartbeat("worker-0", &fakeSession{}, c.heartbeat, start)
			if !documentFirst {
				table.SetDocument(c.document, start)
			}
			if got := table.Choose(request, start.Add(c.age)) != nil; got != c.want {
				t.Errorf("%s, document first %t: got endpoint chosen %t, want %t", c.name, documentFirst, got, c.want)
			}
		}
	}
}

// Guards against the end of an old session that removes endpoints which a newer
// session has reported since.
func TestRemoveIgnoresOlderSession(t *testing.T) {
	table, old := newTable(1)
	table.RecordHeartbeat(workerName(0), &fakeSession{"new"}, newHeartbeat("a", "r", wire.EndpointState_ENDPOINT_STATE_READY, 0), start)
	table.Remove(workerName(0), old)
	if table.Choose(request, start) == nil {
		t.Error("got no endpoint after the old session ended, want the one of the new session")
	}
}

// Guards against requests to an agent that was paused and has been replaced.
func TestOlderEpochIsIgnored(t *testing.T) {
	table := New(Settings{Domain: "a", Region: "r"})
	replaced, current := &fakeSession{"replaced"}, &fakeSession{"current"}
	observe := func(s Session, epoch uint64, now time.Time) Session {
		h := newHeartbeat("a", "r", wire.EndpointState_ENDPOINT_STATE_READY, 0)
		h.Epoch = epoch
		table.RecordHeartbeat(workerName(0), s, h, now)
		return table.Choose(request, now).session
	}
	observe(current, 2, start)
	if got := observe(replaced, 1, start.Add(time.Second)); got != current {
		t.Errorf("got the session of the older epoch, want the current one")
	}
	if got := observe(replaced, 1, start.Add(3*time.Second)); got != replaced {
		t.Errorf("got the session of the newer epoch without recent heartbeats, want the older epoch that sends them")
	}
}

// Guards against a choice that ignores load, latency or locality.
func TestChoicePrefersLessLoadedAndNearer(t *testing.T) {
	table, s := newTable(2)
	table.RecordHeartbeat(workerName(0), s, newHeartbeat("a", "r", wire.EndpointState_ENDPOINT_STATE_READY, 8), start)
	table.RecordHeartbeat(workerName(2), s, newHeartbeat("z", "other", wire.EndpointState_ENDPOINT_STATE_READY, 0), start.Add(-time.Minute))
	table.RecordHeartbeat(workerName(2), s, newHeartbeat("z", "other", wire.EndpointState_ENDPOINT_STATE_READY, 0), start)
	counts := map[units.WorkerID]int{}
	for range 300 {
		c := table.Choose(request, start)
		counts[c.Endpoint.Worker]++
		c.End(Cancelled, start)
	}
	if counts[workerName(1)] < 190 || counts[workerName(2)] > 0 {
		t.Errorf("got choices %v, want most on the idle worker-1 and none in the other region", counts)
	}
}

func failRequests(table *Table, worker units.WorkerID, n int, now time.Time) {
	for range 10_000 {
		c := table.Choose(request, now)
		if c.Endpoint.Worker != worker {
			c.End(Succeeded, now)
			continue
		}
		c.End(Failed, now)
		if n--; n == 0 {
			return
		}
	}
}

// Guards against a failing endpoint that keeps its share of the traffic, and
// against an ejected endpoint that never returns.
func TestOutlierIsEjectedAndReturnsByProbes(t *testing.T) {
	table, s := newTable(4)
	failRequests(table, workerName(1), failuresToEject, start)
	count := func(now time.Time, result Result) (n int) {
		for range 400 {
			c := table.Choose(request, now)
			if c.Endpoint.Worker == workerName(1) {
				n++
			}
			c.End(result, now)
		}
		return n
	}
	if got := count(start.Add(time.Millisecond), Succeeded); got != 0 {
		t.Errorf("got %d requests to an ejected endpoint, want 0", got)
	}
	later := start.Add(1500 * time.Millisecond)
	if got := count(later, Succeeded); got < probesToReadmit {
		t.Errorf("got %d probes after the ejection, want at least %d", got, probesToReadmit)
	}
	heartbeatAll(table, s, 4, later.Add(20*time.Second))
	if got := count(later.Add(20*time.Second), Succeeded); got < 40 {
		t.Errorf("got %d of 400 requests after slow start, want about a quarter", got)
	}
}

// Guards against ejecting most endpoints of a service when the fault lies
// elsewhere.
func TestAtMostHalfIsEjected(t *testing.T) {
	table, _ := newTable(5)
	for range 2000 {
		table.Choose(request, start).End(Failed, start)
	}
	ejected := 0
	for _, e := range table.endpoints("s") {
		if e.ejected.Load() {
			ejected++
		}
	}
	if ejected != 2 {
		t.Errorf("got %d of 5 ejected, want 2", ejected)
	}
}

// Guards against a burst of requests to endpoints whose failure domain returns
// to service.
func TestReturningDomainStartsSlowly(t *testing.T) {
	table, s := newTable(4)
	for i := range 4 {
		table.RecordHeartbeat(workerName(10+i), s, newHeartbeat("b", "r", wire.EndpointState_ENDPOINT_STATE_READY, 0), start)
	}
	domains := func(state environment.DomainState) *environment.Document {
		return &environment.Document{FailureDomains: []environment.FailureDomain{
			{Name: "a", Region: "r", State: environment.DomainIn}, {Name: "b", Region: "r", State: state}}}
	}
	table.settings.SameRegionCost = 0
	table.SetDocument(domains(environment.DomainOut), start)
	table.SetDocument(domains(environment.DomainIn), start)
	returned := 0
	for range 1000 {
		c := table.Choose(request, start.Add(100*time.Millisecond))
		if c.Endpoint.Worker >= workerName(10) && len(c.Endpoint.Worker) == len("worker-10") {
			returned++
		}
	}
	if returned == 0 || returned > 300 {
		t.Errorf("got %d of 1000 requests at the start of the return, want some but at most 300", returned)
	}
}

// Guards against retries that exceed a tenth of the requests.
func TestRetryBudgetIsATenth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewRetryBudget()
		requests, retries := 0, 0
		for range rapid.IntRange(1, 2000).Draw(t, "steps") {
			if rapid.IntRange(0, 2).Draw(t, "step") > 0 {
				b.Deposit()
				requests++
			} else if b.Withdraw() {
				retries++
			}
		}
		if retries > initialRetries+requests/depositsPerRetry {
			t.Fatalf("got %d retries for %d requests, want at most %d", retries, requests, initialRetries+requests/depositsPerRetry)
		}
	})
}

// Guards against attempts that stay counted as outstanding, and with -race
// against data races, when heartbeats, removals, choices and results happen
// concurrently.
func TestConcurrentUse(t *testing.T) {
	table, s := newTable(8)
	var wait sync.WaitGroup
	for range 4 {
		wait.Go(func() {
			for i := range 2000 {
				if c := table.Choose(request, start); c != nil {
					c.End(Result(i%6), start)
				}
			}
		})
	}
	for i := range 500 {
		heartbeatAll(table, s, 8, start)
		table.Remove(workerName(i%8), s)
	}
	wait.Wait()
	heartbeatAll(table, s, 8, start)
	for _, e := range table.endpoints("s") {
		if got := e.outstanding.Load(); got != 0 {
			t.Errorf("%s: got %d outstanding after all ended, want 0", e.Worker, got)
		}
	}
}

func BenchmarkChoose(b *testing.B) {
	table, s := newTable(1000)
	table.settings.Random = rand.Uint64
	now := time.Now()
	heartbeatAll(table, s, 1000, now)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			table.Choose(request, now).End(Succeeded, now)
		}
	})
}
