// Package endpoint is a stand-in for a service's endpoint (runner). It spends a
// configurable time on each request, records the requests that it executed, and
// can inject the faults of real endpoints and their connections.
package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"wasabihill.example/wasabihill/internal/pause"
)

// HTTP headers of the stand-in.
const (
	RequestIDHeader      = "Request-Id"  // request id of the caller; echoed, and recorded on execution
	BodyDigestHeader     = "Body-Digest" // on a response: xxhash of the request body
	FaultHeader          = "Fault"       // on a request: fault to inject
	ResponseDigestHeader = "Response-Digest"
)

// Options configures an Endpoint. Defaults apply to zero fields.
type Options struct {
	Service       string
	Address       string // IP:port to listen on; default 127.0.0.1:0
	Agent         string // base URL of the agent's announcement listener; if empty, nothing is announced
	Slots         int    // default 8
	Connections   int    // default 64
	ServiceTime   time.Duration
	Spread        float64 // sigma of the log-normal service time; 0 for a constant one
	ResponseBytes int     // minimum length of a response body, which is padded to it
	Fault         string  // fault that is injected into a share of the requests
	FaultShare    float64
	Seed          uint64
}

// Endpoint is a stand-in for a service's endpoint.
type Endpoint struct {
	options  Options
	listener net.Listener
	server   *http.Server
	client   *http.Client
	slots    chan struct{}
	conns    atomic.Int64
	active   atomic.Int64
	lastBusy atomic.Int64

	mu                sync.Mutex // guards the rest
	random            *rand.Rand
	executed          map[string]int
	unnamed           int
	unresponsiveConns []net.Conn
}

// maxExecutedIDs limits the memory used for executed request ids.
const maxExecutedIDs = 4_000_000

// New returns an endpoint that listens on the address of the options. Run serves
// it.
func New(o Options) (*Endpoint, error) {
	if o.Address == "" {
		o.Address = "127.0.0.1:0"
	}
	if o.Slots == 0 {
		o.Slots = 8
	}
	if o.Connections == 0 {
		o.Connections = 64
	}
	listener, err := net.Listen("tcp", o.Address)
	if err != nil {
		return nil, err
	}
	e := &Endpoint{
		options: o, listener: listener, slots: make(chan struct{}, o.Slots),
		client: &http.Client{Timeout: time.Second},
		random: rand.New(rand.NewPCG(o.Seed, 1)), executed: make(map[string]int),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/executed", e.serveExecuted)
	mux.HandleFunc("POST /v1/faults", e.serveFaults)
	mux.HandleFunc("/", e.serve)
	e.server = &http.Server{Handler: mux, ConnState: e.limitConnections, ErrorLog: log.New(io.Discard, "", 0), ReadHeaderTimeout: 10 * time.Second}
	return e, nil
}

// Address returns the address on which the endpoint listens.
func (e *Endpoint) Address() string { return e.listener.Addr().String() }

// limitConnections closes connections above the limit at once, as a runner does.
func (e *Endpoint) limitConnections(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		if e.conns.Add(1) > int64(e.options.Connections) {
			conn.Close()
		}
	case http.StateClosed, http.StateHijacked:
		e.conns.Add(-1)
	}
}

const (
	announceInterval = time.Second
	// leaveIdleTime is the time for which the endpoint must be idle before it exits,
	// after it announced that it is leaving. It matters if the agent does not
	// respond: a request may then still be in transit.
	leaveIdleTime = 200 * time.Millisecond
	leaveTimeout  = 30 * time.Second
)

// Run serves requests and announces the endpoint until ctx is done. It then
// announces that the endpoint is leaving, finishes the requests and returns.
func (e *Endpoint) Run(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() { failed <- e.server.Serve(e.listener) }()
	tick := time.NewTicker(announceInterval)
	defer tick.Stop()
	defer e.close()
	for {
		e.announce("ready")
		select {
		case <-tick.C:
		case err := <-failed:
			return err
		case <-ctx.Done():
			e.leave()
			<-failed
			return nil
		}
	}
}

// leave announces that the endpoint is leaving and shuts the server down once the
// agent expects no more responses and the endpoint is idle.
func (e *Endpoint) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	e.lastBusy.Store(time.Now().UnixNano())
	tick := time.NewTicker(leaveIdleTime / 4)
	defer tick.Stop()
	for ; ctx.Err() == nil; <-tick.C {
		expected := e.announce("leaving")
		if !expected && e.active.Load() == 0 && time.Now().UnixNano()-e.lastBusy.Load() > int64(leaveIdleTime) {
			break
		}
	}
	_ = e.server.Shutdown(ctx)
}

// close closes the server and the connections on which a fault withholds
// responses.
func (e *Endpoint) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.unresponsiveConns {
		c.Close()
	}
	e.server.Close()
	e.client.CloseIdleConnections()
}

// announce sends the endpoint's state to the agent. It ignores failures, because
// announcements are periodic. It reports whether the agent has admitted requests
// to which the endpoint has not responded.
func (e *Endpoint) announce(state string) (expected bool) {
	if e.options.Agent == "" {
		return false
	}
	body, err := json.Marshal(map[string]any{
		"service": e.options.Service, "address": e.Address(), "slots": e.options.Slots, "connections": e.options.Connections, "state": state,
	})
	if err != nil {
		return false
	}
	response, err := e.client.Post(e.options.Agent+"/v1/announce", "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusAccepted
}

func (e *Endpoint) serveExecuted(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{"executed": e.executed, "unnamed": e.unnamed})
}

// Executed returns the number of executions of each request id.
func (e *Endpoint) Executed() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	copied := make(map[string]int, len(e.executed))
	for id, n := range e.executed {
		copied[id] = n
	}
	return copied
}

func (e *Endpoint) serveFaults(w http.ResponseWriter, r *http.Request) {
	var change struct {
		Fault string  `json:"fault"`
		Share float64 `json:"share"`
	}
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 4096)).Decode(&change)
	if err != nil || (change.Fault != "" && faults[change.Fault] == nil) {
		http.Error(w, "want {\"fault\": a known fault or \"\", \"share\": 0 to 1}", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	e.options.Fault, e.options.FaultShare = change.Fault, change.Share
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// draw returns the service time and fault of a request.
func (e *Endpoint) draw(r *http.Request) (time.Duration, fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	d := e.options.ServiceTime
	if e.options.Spread > 0 {
		d = time.Duration(float64(d) * math.Exp(e.random.NormFloat64()*e.options.Spread))
	}
	name := r.Header.Get(FaultHeader)
	if name == "" && e.options.FaultShare > 0 && e.random.Float64() < e.options.FaultShare {
		name = e.options.Fault
	}
	return d, faults[name]
}

func (e *Endpoint) recordExecution(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if id == "" || len(e.executed) >= maxExecutedIDs {
		e.unnamed++
		return
	}
	e.executed[id]++
}

// serve executes one request. The request is recorded before its service time
// starts, because from then on it counts as executed.
func (e *Endpoint) serve(w http.ResponseWriter, r *http.Request) {
	e.active.Add(1)
	defer func() {
		e.lastBusy.Store(time.Now().UnixNano())
		e.active.Add(-1)
	}()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 64<<20))
	if err != nil {
		http.Error(w, "request body too large or truncated", http.StatusBadRequest)
		return
	}
	select {
	case e.slots <- struct{}{}:
		defer func() { <-e.slots }()
	case <-r.Context().Done():
		return
	}
	d, inject := e.draw(r)
	if inject != nil && inject(e, w, r, beforeExecution) {
		return
	}
	e.recordExecution(r.Header.Get(RequestIDHeader))
	if !waitServiceTime(r, d) {
		return
	}
	if inject != nil && inject(e, w, r, afterExecution) {
		return
	}
	responseBody := e.responseBody(r, body)
	w.Header().Set(RequestIDHeader, r.Header.Get(RequestIDHeader))
	w.Header().Set(BodyDigestHeader, fmt.Sprintf("%016x", xxhash.Sum64(body)))
	w.Header().Set(ResponseDigestHeader, fmt.Sprintf("%016x", xxhash.Sum64(responseBody)))
	w.Header().Set("Content-Length", fmt.Sprint(len(responseBody)))
	_, _ = w.Write(responseBody)
}

// waitServiceTime waits for the service time. It reports false if the client
// disconnected.
func waitServiceTime(r *http.Request, d time.Duration) bool { return pause.For(r.Context(), d) }

func (e *Endpoint) responseBody(r *http.Request, body []byte) []byte {
	data := fmt.Appendf(nil, "{\"requestId\":%q,\"digest\":\"%016x\"}\n", r.Header.Get(RequestIDHeader), xxhash.Sum64(body))
	if n := e.options.ResponseBytes - len(data); n > 0 {
		data = append(data, bytes.Repeat([]byte("x"), n)...)
	}
	return data
}
