package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"wasabihill.example/wasabihill/internal/childprocess"
	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/pause"
	"wasabihill.example/wasabihill/internal/relay"
	"wasabihill.example/wasabihill/internal/standin/deployment"
	"wasabihill.example/wasabihill/internal/standin/metastore"
	"wasabihill.example/wasabihill/internal/standin/taskrunner"
)

const (
	service     = "desk"
	domainCount = 3
	runnerCores = 8
	maxAttempts = 2
	runnerPort  = 8165
	// runnerPrefix followed by the name of its host is the ID of a runner.
	runnerPrefix = "runner-"
	// gracePeriod is the time after which a planned stop becomes a kill. The
	// settings of the processes have the same value.
	gracePeriod = 6 * time.Second
)

// host is one machine: an entry process or an agent with the relays of its
// connections and, beside an agent, the runner.
type host struct {
	name     string
	role     string // entry or agent
	domain   string
	settings deployment.Process
	process  *childprocess.Process
	store    *metastore.Server
	toStore  *relay.Relay
	sessions *relay.Relay // sessions from other processes to this one
	clients  *relay.Relay // callers to the entry process; nil for an agent
	machine  *machine     // of the runner; nil for an entry process
	toRunner *relay.Relay
	toAgent  *relay.Relay // announcements of the runner
	hostFaults
}

// deploymentCount gives each deployment of this process its own addresses.
var deploymentCount atomic.Int64

// fleet is the processes and stand-ins of a run.
type fleet struct {
	store       *metastore.Log
	operator    deployment.Operator
	runRecorder *taskrunner.Recorder
	entries     []*host
	agents      []*host
	stop        context.CancelFunc // stops the runners

	mu      sync.Mutex
	version int // of the configuration
}

var routes = []deployment.Route{
	{Name: "quick", Host: callersHost, Prefix: "/quick/", Priority: 0, MaxAttempts: maxAttempts},
	{Name: "runs", Host: callersHost, Prefix: "/runs/", Priority: 2, MaxAttempts: maxAttempts},
}

// workOf returns the work of a task for the spec of its job.
func workOf(_, spec string) taskrunner.Work {
	return map[string]taskrunner.Work{
		quickSpec: {Duration: 60 * time.Millisecond}, slowSpec: {Duration: 700 * time.Millisecond},
		failingSpec: {Duration: 30 * time.Millisecond, Fails: true}, watchSpec: {}, longSpec: {Duration: 8 * time.Second},
	}[spec]
}

func newFleet(r *Run) (*fleet, error) {
	store := metastore.NewLog()
	f := &fleet{store: store, operator: deployment.Operator{Store: store}, runRecorder: taskrunner.NewRecorder()}
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	// Each process of a run has its own loopback address, and a second one on which
	// the relay of its sessions listens.
	subnet := fmt.Sprintf("127.%d.%d", 64+os.Getpid()%128, deploymentCount.Add(1)%250)
	for i := range r.Entries + r.Agents {
		role, n := "entry", i
		if i >= r.Entries {
			role, n = "agent", i-r.Entries
		}
		h := &host{name: fmt.Sprintf("%s-%d", role, n), role: role, domain: fmt.Sprintf("zone-%d", n%domainCount), store: store.NewServer()}
		if err := h.connect(r, fmt.Sprintf("%s.%d", subnet, 2*i+1), fmt.Sprintf("%s.%d", subnet, 2*i+2)); err != nil {
			f.close()
			return nil, err
		}
		if role == "entry" {
			f.entries = append(f.entries, h)
			continue
		}
		f.agents = append(f.agents, h)
	}
	for n := range f.agents {
		if err := f.startRunner(ctx, r, n); err != nil {
			f.close()
			return nil, err
		}
	}
	if r.Catalog == MachineFaults {
		f.connectNetworks()
	}
	return f, f.configure()
}

// connect creates the relays and the settings of a host. Its process listens on ip
// and advertises the address advertised.
func (h *host) connect(r *Run, ip, advertised string) (err error) {
	open := func(address, target string) *relay.Relay {
		if err != nil {
			return nil
		}
		var opened *relay.Relay
		opened, err = relay.NewAt(address, target)
		return opened
	}
	h.toStore = open("127.0.0.1:0", h.store.Address)
	h.sessions = open(joinAddress(advertised, deployment.SessionPort), joinAddress(ip, deployment.SessionPort))
	h.settings = deployment.Process{Name: h.name, IP: ip, Domain: h.domain, Service: service, MemoryMb: 256, FirstStart: true}
	if h.role == "entry" {
		h.clients = open("127.0.0.1:0", joinAddress(ip, deployment.ClientsPort))
	} else {
		h.toRunner = open("127.0.0.1:0", joinAddress(ip, runnerPort))
		h.toAgent = open("127.0.0.1:0", joinAddress(ip, deployment.HeartbeatsPort))
	}
	if err != nil {
		return fault.Wrap("open relays of "+h.name, NotStarted, err)
	}
	h.settings.StoreAddress = h.toStore.Address()
	if h.toRunner != nil {
		h.settings.RunnerAddress = h.toRunner.Address()
	}
	path := h.settingsPath(r)
	h.process = &childprocess.Process{
		Name: h.name, Args: []string{r.Binary, h.role, "--advertise", advertised},
		Env: []string{deployment.SettingsVariable + "=" + path}, LogPath: filepath.Join(r.Dir, h.name+".log"),
	}
	return h.writeSettings(path)
}

func (h *host) settingsPath(r *Run) string { return filepath.Join(r.Dir, h.name+".toml") }

func joinAddress(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

func (h *host) writeSettings(path string) error {
	// The rename is atomic, so a process that reads the file at any time never reads
	// a partial one.
	if err := os.WriteFile(path+".new", []byte(h.settings.Settings()), 0o600); err != nil {
		return fault.Wrap("write settings of "+h.name, NotStarted, err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return fault.Wrap("write settings of "+h.name, NotStarted, err)
	}
	return nil
}

// configure writes the next version of the configuration to the store.
func (f *fleet) configure() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	all := routes
	for i := range f.version {
		all = append(all, deployment.Route{Name: fmt.Sprint("spare-", i), Host: callersHost, Prefix: fmt.Sprintf("/spare-%d/", i), Priority: 3, MaxAttempts: 1})
	}
	return f.operator.Configure(f.version, service, all)
}

func (f *fleet) hosts() []*host { return append(append([]*host(nil), f.entries...), f.agents...) }

func (f *fleet) start() error {
	for _, h := range f.hosts() {
		if err := h.process.Start(); err != nil {
			return fault.Wrap("start", NotStarted, err)
		}
	}
	return nil
}

// restart starts a process again after it has ended. Its settings no longer say
// that this is the first start.
func (h *host) restart(r *Run) error {
	h.settings.FirstStart = false
	if err := h.writeSettings(h.settingsPath(r)); err != nil {
		return err
	}
	return h.process.Start()
}

// awaitReady waits until the readiness check of every entry process passes.
func (f *fleet) awaitReady(ctx context.Context, within time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	deadline := time.Now().Add(within)
	for _, h := range f.entries {
		for !h.ready(client) {
			if time.Now().After(deadline) || !pause.For(ctx, pollInterval) {
				return fault.New("start", NotStarted, "%s did not become ready in time; its log is in %s", h.name, h.process.LogPath)
			}
		}
	}
	return nil
}

func (h *host) ready(client *http.Client) bool {
	response, err := client.Get("http://" + joinAddress(h.settings.IP, deployment.ReadinessPort) + deployment.ReadinessPath)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// relays returns the relays of the host.
func (h *host) relays() []*relay.Relay {
	var all []*relay.Relay
	for _, l := range []*relay.Relay{h.toStore, h.sessions, h.clients, h.toRunner, h.toAgent} {
		if l != nil {
			all = append(all, l)
		}
	}
	return all
}

// clearFaults clears every fault, resumes paused processes and puts all failure
// domains back into service.
func (f *fleet) clearFaults(r *Run) {
	for _, h := range f.hosts() {
		h.store.Set(metastore.Fault{})
		for _, l := range h.relays() {
			l.ClearFaults()
		}
		if h.machine != nil {
			h.runner().Set(taskrunner.Fault{})
			h.machine.endOverlaps()
		}
		h.process.Signal(syscall.SIGCONT)
	}
	for i := range domainCount {
		f.operator.Evacuate(fmt.Sprint("zone-", i), false)
	}
}

// close stops the processes and closes the stand-ins and relays.
func (f *fleet) close() {
	for _, h := range f.hosts() {
		h.process.Signal(syscall.SIGCONT)
		h.process.Kill()
		h.killPredecessor()
	}
	f.stop()
	for _, h := range f.hosts() {
		for _, l := range h.relays() {
			l.Close()
		}
		h.store.Close()
	}
}
