package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"wasabihill.example/wasabihill/internal/childprocess"
	"wasabihill.example/wasabihill/internal/standin/metastore"
)

// Figures of the deployment. They are those of the small site files.
const (
	serviceName   = "volo44a"
	hostName      = "nony24.example"
	heartbeatTime = 1100 * time.Millisecond
	drainTime     = 2 * time.Second
	stopTime      = 200 * time.Millisecond
	holdMaxTime   = 10 * time.Second
	finishTime    = 14 * time.Second
	deadlineMs    = 3000

	frontPort   = 8161
	readyPort   = 8167
	controlPort = 8166
	appPort     = 8165
	proxyPort   = 8170
	sessionPort = 7720
	advicePort  = 8169
)

// recordLog writes the record of a case.
type recordLog struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
}

// printf writes a line with the time since the beginning of the case.
func (l *recordLog) printf(who, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.file, "%8.3f %-12s %s\n", time.Since(l.begin).Seconds(), who, fmt.Sprintf(format, args...))
}

// site is one deployment: the project's processes and the stand-ins.
type site struct {
	log     *recordLog
	trouble bool // whether the disruption of the case takes place
	dir     string
	node    string
	temp    bool // dir is temporary
	subnet  string
	log0    *metastore.Log
	store   *metastore.Server
	advice  *advisor
	entries []*process
	agents  []*process
	runners []*runner
	proxies []*proxy // between the agents and their runners; none unless a case adds them
	toStore *proxy   // to the store; nil unless a case adds it
	peers   []*proxy // to the sessions of the processes; none unless a case adds them
	storeAt string   // address of the store for the project's processes; its own when empty
	world   *world
	client  *http.Client
	version int
}

// process is one process of the project on a machine of its own.
type process struct {
	*childprocess.Process
	name  string
	ip    string
	role  string
	zone  string
	store string // address of the store for this process; that of the others when empty
}

func newSite(record, node, keep string, trouble bool) (*site, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	s := &site{log: &recordLog{file: file, begin: time.Now()}, trouble: trouble, node: node, dir: keep}
	if keep == "" {
		if s.dir, err = os.MkdirTemp("", "review-"); err != nil {
			return nil, err
		}
		s.temp = true
	}
	pid := os.Getpid()
	s.subnet = fmt.Sprintf("127.%d.%d", 32+pid%90, pid/90%250)
	s.log0 = metastore.NewLog()
	s.store = s.log0.NewServer()
	s.world = newWorld(s.log)
	s.client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	s.log.printf("case", "trouble=%t", trouble)
	return s, nil
}

func (s *site) address(ip string, port int) string { return net.JoinHostPort(ip, fmt.Sprint(port)) }

func (s *site) ip(n int) string { return fmt.Sprintf("%s.%d", s.subnet, n) }

var zoneNames = []string{"kariakoo", "mikocheni", "kibaha"}

// addEntries adds the machines that serve clients.
func (s *site) addEntries(n int) {
	for i := range n {
		s.entries = append(s.entries, s.newProcess("entry", "edge", i, s.ip(1+i)))
	}
}

// addRunners adds machines of runners, each with an agent. tune may change each runner.
func (s *site) addRunners(n int, tune func(i int, r *runner)) {
	for i := range n {
		ip := s.ip(11 + i)
		p := s.newProcess("agent", "side", i, ip)
		r := &runner{id: fmt.Sprintf("i-%08x", 0x7f3a0000+i), service: serviceName, zone: p.zone, address: s.address(ip, appPort),
			control: s.address(ip, controlPort), labels: []string{"a", fmt.Sprintf("r1-%d", i/3)}, cpu: 32000, memMb: 128000, guards: true,
			world: s.world, log: s.log}
		if tune != nil {
			tune(i, r)
		}
		s.agents = append(s.agents, p)
		s.runners = append(s.runners, r)
	}
}

func (s *site) newProcess(role, class string, i int, ip string) *process {
	zone := zoneNames[i%len(zoneNames)]
	name := fmt.Sprintf("%s-%s-%d", class, zone, i/len(zoneNames)+1)
	path := filepath.Join(s.dir, name+".toml")
	return &process{name: name, ip: ip, role: role, zone: zone, Process: &childprocess.Process{Name: name, Args: []string{s.node, role},
		Env: []string{"WASABIHILL_SETTINGS=" + path}, LogPath: filepath.Join(s.dir, name+".log")}}
}

// settingsOf returns the settings of a process in the form of DEPLOY.md.
func (s *site) settingsOf(p *process, bootstrap bool) string {
	var b strings.Builder
	cpu, memory, serves := 0.4, 284, "edge"
	if p.role == "agent" {
		cpu, memory, serves = 0.24, 152, "side"
	}
	advice := ""
	if s.advice != nil {
		advice = s.advice.address
	}
	fmt.Fprintf(&b, "node = %q\nrole = %q\nmachineClass = %q\nserves = [%q]\nip = %q\nzone = %q\nregion = \"pwani\"\ninternalPorts = [%d,%d]\nseeds = []\nbootstrap = %t\n",
		p.name, p.role, serves, serves, p.ip, p.zone, sessionPort, sessionPort+15, bootstrap)
	fmt.Fprintf(&b, "inTolerance = false\ndiscovery = \"local\"\nentry = \"anycast\"\nheartbeatMs = %d\ncontrolMode = \"invoke\"\nadvice = %q\n", heartbeatTime.Milliseconds(), advice)
	if p.role == "agent" {
		app := appPort
		if len(s.proxies) > 0 {
			app = proxyPort
		}
		fmt.Fprintf(&b, "app = %q\nservice = %q\n", s.address(p.ip, app), serviceName)
	}
	fmt.Fprint(&b, "[listenAddrs]\n")
	if p.role == "agent" {
		fmt.Fprintf(&b, "control = %q\n", s.address(p.ip, controlPort))
	} else {
		fmt.Fprintf(&b, "front = %q\nready = %q\n", s.address(p.ip, frontPort), s.address(p.ip, readyPort))
	}
	fmt.Fprintf(&b, "[limits]\ncpuShare = %g\ncores = 1\nmemoryMb = %d\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n", cpu, memory)
	fmt.Fprint(&b, "[faultTolerance]\nmachines = 1\nzones = 1\nregions = 0\n[bounds]\ncontactMs = 3000\nackMs = 4000\ncatchUpS = 4\ndrainMs = 2000\ngraceS = 6\nlossSlackMs = 200\nconfigApplyMs = 2000\nholdMaxMs = 10000\nstopMs = 200\ngangMs = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = 120\nnoticeMs = 4500\nleaseMs = 3000\n")
	fmt.Fprintf(&b, "[platform]\naddress = %q\nform = \"log\"\nwritesPerS = 800\nreadsPerS = 2000\nrecordBytes = %d\ncallBytes = 2097152\nkeep_s = 300\n", cmp.Or(p.store, s.storeAddress()), 262144)
	return b.String()
}

// storeAddress returns the address of the store for the project's processes.
func (s *site) storeAddress() string {
	if s.storeAt != "" {
		return s.storeAt
	}
	if s.toStore != nil {
		return s.toStore.listener.Addr().String()
	}
	return s.store.Address
}

// startProcess writes the settings of a process and starts it.
func (s *site) startProcess(p *process, bootstrap bool) error {
	if err := os.WriteFile(filepath.Join(s.dir, p.name+".toml"), []byte(s.settingsOf(p, bootstrap)), 0o600); err != nil {
		return err
	}
	return p.Start()
}

// start starts everything and waits until the entry processes are ready and every runner has
// had a poll of its agent.
func (s *site) start(ctx context.Context) error {
	for _, r := range s.runners {
		if err := r.begin(); err != nil {
			return err
		}
	}
	for _, p := range append(append([]*process(nil), s.entries...), s.agents...) {
		if err := s.startProcess(p, true); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(25 * time.Second)
	for _, p := range s.entries {
		for !s.ready(p) {
			if time.Now().After(deadline) || !sleep(ctx, 50*time.Millisecond) {
				return fmt.Errorf("%s did not become ready", p.name)
			}
		}
	}
	for _, r := range s.runners {
		for !r.held() {
			if time.Now().After(deadline) || !sleep(ctx, 50*time.Millisecond) {
				return fmt.Errorf("the agent of %s does not hold it", r.id)
			}
		}
	}
	s.log.printf("case", "%d entry processes and %d agents run", len(s.entries), len(s.agents))
	sleep(ctx, 2*time.Second)
	return nil
}

func (s *site) ready(p *process) bool {
	response, err := s.client.Get("http://" + s.address(p.ip, readyPort) + "/api/readiness")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// close ends all processes and stand-ins.
func (s *site) close() {
	var wait sync.WaitGroup
	for _, p := range append(append([]*process(nil), s.entries...), s.agents...) {
		wait.Go(func() {
			p.Signal(syscall.SIGCONT)
			p.Kill()
		})
	}
	wait.Wait()
	for _, r := range s.runners {
		r.end("end of the case")
	}
	for _, p := range append(s.proxies, s.peers...) {
		p.close()
	}
	s.store.Close()
	if s.advice != nil {
		s.advice.close()
	}
	if s.temp {
		os.RemoveAll(s.dir)
	}
	s.log.file.Close()
}

// queue is a route of the configuration.
type queue struct {
	Name        string
	Prefix      string
	Priority    int
	MaxAttempts int
	Target      int
	Advice      map[string]int
}

// configure writes a version of the configuration, as the operator does.
func (s *site) configure(guards bool, queues ...queue) {
	s.version += 3
	var routes []map[string]any
	for _, q := range queues {
		route := map[string]any{"name": q.Name, "host": hostName, "pathPrefix": q.Prefix, "type": "non_idempotent", "timeoutMs": 3000,
			"targetLatencyMs": q.Target, "priority": q.Priority, "service": serviceName, "maxAttempts": q.MaxAttempts, "stretch": 1.5}
		if q.Advice != nil {
			route["advice"] = q.Advice
		}
		routes = append(routes, route)
	}
	record, err := json.Marshal(map[string]any{"version": s.version, "routes": routes,
		"services": []map[string]any{{"name": serviceName, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "coldS": 0.0,
			"coldPerS": 0.0, "rejectsOverload": guards, "standby": false}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})
	if err != nil {
		panic(err)
	}
	s.log.printf("operator", "writes op/config version %d with %d routes", s.version, len(queues))
	s.log0.Put("keyed.op", "config", record)
}

// sleep pauses. It returns false when ctx has ended.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
