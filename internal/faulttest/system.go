package faulttest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/childprocess"
	"wasabihill.example/wasabihill/internal/relay"
	"wasabihill.example/wasabihill/pkg/administration"
	"wasabihill.example/wasabihill/pkg/units"
)

const (
	environmentName = "production"
	operatorToken   = "operator-token-for-fault-tests"
	serviceName     = "mouldDesk"
	teamName        = "moulds"
	entryCount      = 2
	workerCount     = 4
	// readyTimeout leaves time to start a system on a busy machine.
	readyTimeout = 40 * time.Second
)

// domains holds the failure domain of each worker.
var domains = [workerCount]units.DomainName{"pwani-a", "pwani-b", "pwani-c", "pwani-a"}

// WorkerCapacity is the capacity of each worker.
var WorkerCapacity = units.Resources{Processors: 8000, Memory: 16e9}

// endpointReservation is what the document of the system reserves on each worker for
// its endpoint.
var endpointReservation = units.Resources{Processors: 2000, Memory: 2e9}

// System is a log service, entry processes and workers, connected over relays
// that inject faults.
type System struct {
	t        testing.TB
	dir      string
	binaries string
	http     *http.Client

	Client     *administration.Client
	Log        *Process
	LogAddress string
	Entries    [entryCount]*Entry
	Nodes      [workerCount]*Node
	Victim     *Node // the node on which a fault is injected
	relays     []*relay.Relay
}

// Entry is an entry process and the relay of its connection to the log.
type Entry struct {
	*Process
	ID            units.EntryID
	CallerAddress string
	AdminAddress  string
	linkAddress   string
	ToLog         *relay.Relay
}

// Node is a worker with its agent, its endpoint and the relays of their
// connections.
type Node struct {
	ID               units.WorkerID
	Domain           units.DomainName
	Worker           *Process
	Agent            *Process
	Endpoint         *Process
	WorkerAddress    string
	EndpointAddress  string
	ToEntry          [entryCount]*relay.Relay
	ToWorker         *relay.Relay
	ToEndpoint       *relay.Relay
	ToLink           *relay.Relay // lease requests from other agents to this agent
	linkAddress      string       // of the agent
	announceAddress  string       // of the agent
	announceProxyURL string       // receives the endpoint's announcements
	leaving          atomic.Bool  // the proxy announces that the endpoint is leaving
}

// Start starts a system and waits until every worker and endpoint is ready.
// The system is stopped when the test ends.
func Start(t testing.TB, binaries string) *System {
	t.Helper()
	s := &System{t: t, dir: t.TempDir(), binaries: binaries, http: &http.Client{Timeout: 3 * time.Second}}
	t.Cleanup(s.stop)
	s.LogAddress = FreeAddress(t)
	s.Log = s.newProcess("log", "wasabihill-standin", "log", "--listen", s.LogAddress, "--rate", "400")
	s.Client = &administration.Client{Token: operatorToken, Timeout: 4 * time.Second}
	for i := range s.Entries {
		s.Entries[i] = s.newEntry(i)
		s.Client.Servers = append(s.Client.Servers, s.Entries[i].AdminAddress)
	}
	for i := range s.Nodes {
		s.Nodes[i] = s.newNode(i)
	}
	s.Victim = s.Nodes[1]
	for _, p := range s.processes() {
		p.Start(t)
	}
	s.publishDocument()
	s.WaitUntil(readyTimeout, "every worker and endpoint is ready", s.checkReady)
	return s
}

func (s *System) processes() []*Process {
	all := []*Process{s.Log}
	for _, n := range s.Nodes {
		all = append(all, n.Worker)
	}
	for _, e := range s.Entries {
		all = append(all, e.Process)
	}
	for _, n := range s.Nodes {
		all = append(all, n.Agent, n.Endpoint)
	}
	return all
}

// stop kills every process and saves the logs of a failed test.
func (s *System) stop() {
	if s.Nodes[workerCount-1] != nil {
		for _, p := range s.processes() {
			p.Kill()
		}
	}
	for _, r := range s.relays {
		r.Close()
	}
	s.http.CloseIdleConnections()
	s.saveLogs()
}

// saveLogs copies the logs of a failed test to the directory in the environment
// variable FAULTTEST_LOGS, if that is set.
func (s *System) saveLogs() {
	to := os.Getenv("FAULTTEST_LOGS")
	if to == "" || !s.t.Failed() {
		return
	}
	to = filepath.Join(to, filepath.Base(s.t.Name()))
	if err := os.RemoveAll(to); err != nil {
		s.t.Log(err)
	}
	if err := os.CopyFS(to, os.DirFS(s.dir)); err != nil {
		s.t.Log(err)
	}
}

func (s *System) newProcess(name, binary string, args ...string) *Process {
	return &Process{childprocess.Process{
		Name: name, Args: append([]string{filepath.Join(s.binaries, binary)}, args...), LogPath: filepath.Join(s.dir, name+".log"),
	}}
}

func (s *System) newRelay(target string) *relay.Relay {
	r, err := relay.New(target)
	if err != nil {
		s.t.Fatal(err)
	}
	s.relays = append(s.relays, r)
	return r
}

func (s *System) writeSettings(name string, fields map[string]any) string {
	data, err := json.Marshal(fields)
	if err != nil {
		s.t.Fatal(err)
	}
	path := filepath.Join(s.dir, name+".json")
	if err := os.WriteFile(path, data, 0o644); err != nil {
		s.t.Fatal(err)
	}
	return path
}

// newEntry configures an entry process without starting it. The process
// advertises an address on which nothing listens: agents connect over their own
// relays, and a learned address must not let them bypass a faulty relay.
func (s *System) newEntry(i int) *Entry {
	e := &Entry{ID: units.EntryID(fmt.Sprintf("entry-%d", i+1)), CallerAddress: FreeAddress(s.t), AdminAddress: FreeAddress(s.t), linkAddress: FreeAddress(s.t), ToLog: s.newRelay(s.LogAddress)}
	path := s.writeSettings(string(e.ID), map[string]any{
		"id": e.ID, "environment": environmentName, "failureDomain": domains[i], "region": "pwani",
		"callerAddress": e.CallerAddress, "adminAddress": e.AdminAddress, "linkAddress": e.linkAddress, "advertisedLinkAddress": FreeAddress(s.t),
		"logAddress": e.ToLog.Address(), "operatorToken": operatorToken,
	})
	e.Process = s.newProcess(string(e.ID), "wasabihill", "entry", path)
	return e
}

func (s *System) newNode(i int) *Node {
	n := &Node{ID: units.WorkerID(fmt.Sprintf("worker-%d", i+1)), Domain: domains[i],
		WorkerAddress: FreeAddress(s.t), EndpointAddress: FreeAddress(s.t), linkAddress: FreeAddress(s.t), announceAddress: FreeAddress(s.t)}
	n.ToWorker, n.ToEndpoint, n.ToLink = s.newRelay(n.WorkerAddress), s.newRelay(n.EndpointAddress), s.newRelay(n.linkAddress)
	var entries []string
	for k, e := range s.Entries {
		n.ToEntry[k] = s.newRelay(e.linkAddress)
		entries = append(entries, n.ToEntry[k].Address())
	}
	n.announceProxyURL = s.startAnnouncementProxy(n)
	path := s.writeSettings(fmt.Sprintf("agent-%d", i+1), map[string]any{
		"worker": n.ID, "environment": environmentName, "failureDomain": n.Domain, "rack": fmt.Sprintf("rack-%d", i+1), "region": "pwani",
		"linkAddress": n.linkAddress, "advertisedLinkAddress": n.ToLink.Address(), "announceAddress": n.announceAddress,
		"workerAddress": n.ToWorker.Address(), "entries": entries,
	})
	n.Worker = s.newProcess(string(n.ID), "wasabihill-standin", "worker", "--name", string(n.ID), "--address", n.WorkerAddress,
		"--processors", "8", "--memory", "16GB", "--usage-lag", "1s")
	n.Agent = s.newProcess(fmt.Sprintf("agent-%d", i+1), "wasabihill", "agent", path)
	n.Endpoint = s.newProcess(fmt.Sprintf("endpoint-%d", i+1), "wasabihill-standin", "endpoint", "--service", serviceName,
		"--address", n.EndpointAddress, "--agent", n.announceProxyURL, "--slots", "8", "--connections", "64")
	return n
}

// AnnounceLeaving makes the endpoint announce that it is leaving. The endpoint
// continues to serve, so that a test can see which requests still reach it.
func (n *Node) AnnounceLeaving() { n.leaving.Store(true) }

// startAnnouncementProxy starts a proxy that forwards the endpoint's
// announcements to the agent and replaces the endpoint's address with that of its
// relay. It returns the URL of the proxy.
func (s *System) startAnnouncementProxy(n *Node) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	server := &http.Server{ReadHeaderTimeout: 5 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var announcement map[string]any
		if err := json.NewDecoder(io.LimitReader(r.Body, 4096)).Decode(&announcement); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		announcement["address"] = n.ToEndpoint.Address()
		if n.leaving.Load() {
			announcement["state"] = "leaving"
		}
		body, _ := json.Marshal(announcement) // a decoded JSON object always encodes
		response, err := s.http.Post("http://"+n.announceAddress+r.URL.Path, "application/json", bytes.NewReader(body))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		response.Body.Close()
		w.WriteHeader(response.StatusCode)
	})}
	go func() { _ = server.Serve(listener) }()
	s.t.Cleanup(func() { server.Close() })
	return "http://" + listener.Addr().String()
}

// Document returns the environment document of the system, with a team quota of
// the given number of processors.
func Document(processors int) []byte {
	return fmt.Appendf(nil, `{
  "environment": %q,
  "failureDomains": [
    {"name": "pwani-a", "region": "pwani", "state": "in"},
    {"name": "pwani-b", "region": "pwani", "state": "in"},
    {"name": "pwani-c", "region": "pwani", "state": "in"}
  ],
  "teams": [{"name": %q, "quota": {"processors": "%d", "memory": "64GB"}, "mayBorrow": true}],
  "services": [{"name": %q, "team": %q, "priority": "urgent", "latencyTarget": "500ms",
                "perEndpoint": {"processors": "2", "memory": "2GB"}, "slots": 8, "connections": 64}],
  "watchers": [{"name": "freezeMonitor1", "team": %q, "priority": "high", "size": {"processors": "250m", "memory": "256MiB"}}],
  "guards": {"enabled": false, "latencyRatio": 1.2},
  "drainedWorkers": [],
  "largestWorker": {"processors": "8", "memory": "16GB"}
}
`, environmentName, teamName, processors, serviceName, teamName, teamName)
}

func (s *System) publishDocument() {
	key := administration.NewKey()
	s.WaitUntil(readyTimeout, "the document is published", func(ctx context.Context) error {
		_, err := s.Client.Publish(ctx, administration.Publication{Environment: environmentName, Key: key, Author: "faulttest", Text: Document(32)}, "document.json")
		return err
	})
}

func (s *System) checkReady(ctx context.Context) error {
	for _, e := range s.Entries {
		client := administration.Client{Servers: []string{e.AdminAddress}, Token: operatorToken, Timeout: 2 * time.Second}
		workers, err := client.Workers(ctx)
		if err != nil {
			return err
		}
		ready := 0
		for _, w := range workers {
			if w.State == "ready" && w.Lessor != "" && len(w.Endpoints) == 1 && w.Endpoints[0].State == "ready" {
				ready++
			}
		}
		if ready < workerCount {
			return fmt.Errorf("%s: %d of %d workers are ready", e.ID, ready, workerCount)
		}
	}
	return nil
}

// WaitUntil polls the condition until it returns nil, and fails the test if that
// does not happen within the limit.
func (s *System) WaitUntil(limit time.Duration, what string, condition func(context.Context) error) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	for {
		err := condition(ctx)
		if err == nil {
			return
		}
		select {
		case <-time.After(200 * time.Millisecond):
		case <-ctx.Done():
			s.t.Fatalf("timed out after %v waiting until %s; last error: %v", limit, what, err)
		}
	}
}

// SetFault sets the injected fault of the stand-in at the address; body is the
// JSON object of the fault, and {} clears it.
func (s *System) SetFault(address, body string) {
	s.t.Helper()
	response, err := s.http.Post("http://"+address+"/v1/faults", "application/json", bytes.NewReader([]byte(body)))
	if err != nil {
		s.t.Fatal(err)
	}
	response.Body.Close()
	if response.StatusCode/100 != 2 {
		s.t.Fatalf("POST /v1/faults %s: %s", body, response.Status)
	}
}

func (s *System) getJSON(url string, into any) error {
	response, err := s.http.Get(url)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(into)
}
