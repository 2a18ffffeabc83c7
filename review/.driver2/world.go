package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"wasabihill.example/wasabihill/internal/childprocess"
	"wasabihill.example/wasabihill/internal/standin/metastore"
)

const (
	serviceName = "desk"
	queueHost   = "nony24.example"
)

// process is a process of the system: an entry process or an agent.
type process struct {
	name, role, ip, zone string
	store                *metastore.Server
	storeAddress         string
	child                *childprocess.Process
	settings             string
}

// step is a step of a job as clients submit it.
type step struct {
	Count         int    `json:"count"`
	CPU           int64  `json:"cpu,omitempty"`
	MemMb         int64  `json:"memMb,omitempty"`
	EstimateMs    int64  `json:"estimateMs,omitempty"`
	After         []int  `json:"after,omitempty"`
	Checkpointing bool   `json:"checkpointing,omitempty"`
	Gang          bool   `json:"gang,omitempty"`
	SameRack      bool   `json:"sameRack,omitempty"`
	Requirements  string `json:"requirements,omitempty"`
	DataRack      string `json:"dataRack,omitempty"`
	AntiAffinity  int    `json:"antiAffinity,omitempty"`
	LongRunning   bool   `json:"longRunning,omitempty"`
	Fills         bool   `json:"fills,omitempty"`
}

type jobBody struct {
	Spec        string `json:"spec"`
	Steps       []step `json:"steps"`
	Repetitions int    `json:"repetitions,omitempty"`
	FirstMs     int64  `json:"firstMs,omitempty"`
	IntervalMs  int64  `json:"intervalMs,omitempty"`
}

type job struct {
	id, queue   string
	body        jobBody
	accepted    time.Time
	cancelAcked time.Time
	state       string
	attempts    []int
}

// taskState is what the runners have seen of a task.
type taskState struct {
	running    map[string]*taskRun // by runner id
	failures   int                 // ends that were taken note of
	notedDone  time.Time
	done       bool
	lastChange time.Time
}

type gangRun struct {
	members map[string]gangMember
	whole   bool
}

type gangMember struct {
	r *runnerNode
	x *taskRun
}

type world struct {
	dir          string
	log          *metastore.Log
	file         *os.File
	begin        time.Time
	entries      []*process
	agents       []*process
	runners      []*runnerNode
	allGood      bool     // the policy of the queue with advice allows all runners
	relays       []*relay // to the runners, if relayed
	relayed      bool
	storeRelays  []*relay // to the store, if storeRelayed
	storeRelayed bool
	limited      bool   // the store rejects records above its limits
	advice       string // address of the advice service
	rng          *rand.Rand

	mu         sync.Mutex
	jobs       map[string]*job
	tasks      map[string]*taskState
	gangs      map[string]*gangRun
	tickets    map[string]ticket
	broken     []string
	disrupted  time.Time // last disruption
	adviceBody map[string]int
}

type ticket struct {
	runner string
	born   time.Time
	until  time.Time
}

func (w *world) record(format string, args ...any) {
	fmt.Fprintf(w.file, "%8.3f %s\n", time.Since(w.begin).Seconds(), fmt.Sprintf(format, args...))
}

// fail records that a rule was broken. w.mu is held.
func (w *world) fail(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.broken = append(w.broken, text)
	w.record("BROKEN %s", text)
}

// newWorld returns a world whose processes keep their settings and logs in dir and that writes what
// is sent, answered and run to the file record.
func newWorld(dir, record string, seed int64) (*world, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	return &world{dir: dir, log: metastore.NewLog(), file: file, begin: time.Now(), rng: rand.New(rand.NewSource(seed)),
		jobs: map[string]*job{}, tasks: map[string]*taskState{}, gangs: map[string]*gangRun{}, tickets: map[string]ticket{}}, nil
}

func (w *world) settingsOf(p *process, first bool) string {
	app := ""
	if p.role == "agent" {
		app = fmt.Sprintf("app = %q\nservice = %q\n", p.ip+":8165", serviceName)
	}
	advice := ""
	if w.advice != "" {
		advice = fmt.Sprintf("advice = %q\n", w.advice)
	}
	listen := fmt.Sprintf("control = %q\n", p.ip+":8166")
	if p.role == "entry" {
		listen = fmt.Sprintf("front = %q\nready = %q\n", p.ip+":8161", p.ip+":8167")
	}
	return fmt.Sprintf(`node = %q
ip = %q
zone = %q
region = "pwani"
internalPorts = [7720,7735]
bootstrap = %t
heartbeatMs = 1100
controlMode = "invoke"
%s%s[listenAddrs]
%s[limits]
cpuShare = 0.4
cores = 1
memoryMb = 284
maxFds = 4100
[bounds]
contactMs = 3000
ackMs = 4000
graceS = 6
configApplyMs = 2000
holdMaxMs = 10000
stopMs = 200
gangMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
leaseMs = 3000
[platform]
address = %q
form = "log"
writesPerS = 800
readsPerS = 2000
recordBytes = 262144
callBytes = 2097152
keep_s = 300
partMb = 200
`, p.name, p.ip, p.zone, first, app, advice, listen, p.storeAddress)
}

// open creates the processes and the runners, without starting them.
func (w *world) open(program string, entries, agents int) error {
	base, err := freeSubnet(entries + agents)
	if err != nil {
		return err
	}
	zones := []string{"kariakoo", "mikocheni", "kibaha"}
	for i := range entries + agents {
		role, n := "entry", i
		if i >= entries {
			role, n = "agent", i-entries
		}
		p := &process{name: fmt.Sprintf("%s-%d", role, n), role: role, ip: fmt.Sprintf("%s.%d", base, i+1), zone: zones[n%3], store: w.log.NewServer()}
		p.storeAddress = p.store.Address
		if w.limited {
			address, err := w.limitStore(p)
			if err != nil {
				return err
			}
			p.storeAddress = address
		}
		if w.storeRelayed {
			address := p.ip + ":8170"
			r, err := newRelay(address, p.storeAddress)
			if err != nil {
				return err
			}
			p.storeAddress = address
			w.storeRelays = append(w.storeRelays, r)
		}
		p.settings = filepath.Join(w.dir, p.name+".toml")
		p.child = &childprocess.Process{Name: p.name, Args: []string{program, role}, Env: []string{"WASABIHILL_SETTINGS=" + p.settings}, LogPath: filepath.Join(w.dir, p.name+".log")}
		if err := os.WriteFile(p.settings, []byte(w.settingsOf(p, true)), 0o644); err != nil {
			return err
		}
		if role == "entry" {
			w.entries = append(w.entries, p)
			continue
		}
		w.agents = append(w.agents, p)
		label := "a"
		if n%3 == 2 {
			label = "b"
		}
		address := p.ip + ":8165"
		if w.relayed {
			address = p.ip + ":8175"
			r, err := newRelay(p.ip+":8165", address)
			if err != nil {
				return err
			}
			w.relays = append(w.relays, r)
		}
		w.runners = append(w.runners, newRunner(w, p, address, []string{label, fmt.Sprintf("r1-%d", n/3)}))
	}
	return nil
}

// ports are those that the processes and the runners listen on, each at its own loopback address.
var ports = []int{7720, 8161, 8165, 8166, 8167, 8175, 9464}

// freeSubnet returns the first three numbers of n loopback addresses at which all ports are free.
func freeSubnet(n int) (string, error) {
	for try := range 50 {
		base := fmt.Sprintf("127.%d.%d", 64+(os.Getpid()+try)%128, 1+(os.Getpid()/128+7*try)%250)
		if isFree(base, n) {
			return base, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

func isFree(base string, n int) bool {
	for i := range n {
		for _, port := range ports {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", base, i+1, port))
			if err != nil {
				return false
			}
			listener.Close()
		}
	}
	return true
}

func (w *world) startAll() error {
	for _, p := range append(append([]*process(nil), w.entries...), w.agents...) {
		if err := p.child.Start(); err != nil {
			return err
		}
	}
	for _, r := range w.runners {
		r.start(false)
	}
	for _, p := range append(append([]*process(nil), w.entries...), w.agents...) {
		_ = os.WriteFile(p.settings, []byte(w.settingsOf(p, false)), 0o644)
	}
	return nil
}

func (w *world) close() {
	for _, p := range append(append([]*process(nil), w.entries...), w.agents...) {
		p.child.Signal(syscall.SIGCONT)
		p.child.Kill()
		p.store.Close()
	}
	for _, r := range w.runners {
		r.crash()
	}
	w.file.Close()
}

type route struct {
	name, prefix string
	priority     int
	maxAttempts  int
	advice       map[string]int
}

func (w *world) configure(version int, routes []route) {
	var list []map[string]any
	for _, r := range routes {
		m := map[string]any{"name": r.name, "host": queueHost, "pathPrefix": r.prefix, "type": "non_idempotent", "timeoutMs": 3000,
			"targetLatencyMs": 1000, "priority": r.priority, "service": serviceName, "maxAttempts": r.maxAttempts, "stretch": 2.0}
		if r.advice != nil {
			m["advice"] = r.advice
		}
		list = append(list, m)
	}
	data, _ := json.Marshal(map[string]any{"version": version, "routes": list, "services": []any{map[string]any{"name": serviceName, "rejectsOverload": true}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 20000}})
	w.log.Put("keyed.op", "config", data)
	w.record("configuration %d with %d routes", version, len(routes))
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}

// send sends a request of a client to an entry process and returns the status, or 0 without a
// complete answer within the deadline.
func (w *world) send(p *process, method, path string, body any) (int, map[string]any) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	request, err := http.NewRequest(method, "http://"+p.ip+":8161"+path, bytes.NewReader(data))
	if err != nil {
		return 0, nil
	}
	request.Host = queueHost
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Deadline-Ms", "3000")
	c := *client
	c.Timeout = 3 * time.Second
	response, err := c.Do(request)
	if err != nil {
		w.record("client %s %s at %s: %v", method, path, p.name, err)
		return 0, nil
	}
	defer response.Body.Close()
	data, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	var out map[string]any
	_ = json.Unmarshal(data, &out)
	w.record("client %s %s at %s: %d %s", method, path, p.name, response.StatusCode, bytes.TrimSpace(data))
	return response.StatusCode, out
}

func (w *world) anyEntry() *process {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.entries[w.rng.Intn(len(w.entries))]
}

// submit hands a job in, with up to tries attempts, and reports whether it was accepted.
func (w *world) submit(j *job, tries int) bool {
	w.mu.Lock()
	w.jobs[j.id] = j
	w.mu.Unlock()
	for range tries {
		status, _ := w.send(w.anyEntry(), http.MethodPost, j.queue+j.id, j.body)
		w.mu.Lock()
		j.attempts = append(j.attempts, status)
		if status/100 == 2 {
			j.accepted = time.Now()
		}
		w.mu.Unlock()
		if status/100 == 2 {
			return true
		}
		time.Sleep(400 * time.Millisecond)
	}
	return false
}

// cancel cancels a job, with up to tries attempts.
func (w *world) cancel(j *job, tries int) bool {
	for range tries {
		status, _ := w.send(w.anyEntry(), http.MethodDelete, j.queue+j.id, nil)
		if status/100 == 2 || status == 410 {
			w.mu.Lock()
			j.cancelAcked = time.Now()
			w.mu.Unlock()
			return true
		}
		time.Sleep(400 * time.Millisecond)
	}
	return false
}

// state asks for the state of a job.
func (w *world) state(j *job, tries int) (int, string) {
	status := 0
	for range tries {
		s, out := w.send(w.anyEntry(), http.MethodGet, j.queue+j.id, nil)
		if status = s; status == 200 || status == 410 {
			text, _ := out["state"].(string)
			return status, text
		}
		time.Sleep(300 * time.Millisecond)
	}
	return status, ""
}

// parseTask splits the name of a task.
func parseTask(task string) (id string, k, stepNumber, index int) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return "", 0, 0, 0
	}
	k, _ = strconv.Atoi(parts[1])
	stepNumber, _ = strconv.Atoi(parts[2])
	index, _ = strconv.Atoi(parts[3])
	return parts[0], k, stepNumber, index
}

func (w *world) stepOf(task string) (step, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	id, _, n, _ := parseTask(task)
	j := w.jobs[id]
	if j == nil || n >= len(j.body.Steps) {
		return step{}, false
	}
	return j.body.Steps[n], true
}

func (w *world) needsTicket(task string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	id, _, _, _ := parseTask(task)
	return w.jobs[id] != nil && strings.HasPrefix(w.jobs[id].queue, "/advised/")
}

func (w *world) ticketIsValid(r *runnerNode, in callBody) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	t, ok := w.tickets[in.Ticket]
	id, k, n, _ := parseTask(in.Task)
	return ok && t.runner == fmt.Sprintf("%s %s.%d.%d", r.id, id, k, n) && t.born.Equal(r.born) && time.Now().Before(t.until)
}

func (w *world) taskState(task string) *taskState {
	t := w.tasks[task]
	if t == nil {
		t = &taskState{running: map[string]*taskRun{}}
		w.tasks[task] = t
	}
	return t
}

// started checks a start that a runner has carried out.
func (w *world) started(r *runnerNode, x *taskRun, in callBody) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record("start  %s attempt %d on %s checkpoint %q", x.task, x.attempt, r.id, in.Checkpoint)
	id, k, n, index := parseTask(x.task)
	j := w.jobs[id]
	if j == nil || n >= len(j.body.Steps) || index >= j.body.Steps[n].Count || k >= max(1, j.body.Repetitions) || in.Spec != j.body.Spec {
		w.fail("UNASKED: %s attempt %d was started on %s with spec %q, and nobody has sent that", x.task, x.attempt, r.id, in.Spec)
		return
	}
	t := w.taskState(x.task)
	for other, run := range t.running {
		w.fail("TWICE: %s attempt %d was started on %s while attempt %d runs on %s", x.task, x.attempt, r.id, run.attempt, other)
	}
	if !t.notedDone.IsZero() {
		w.fail("TWICE: %s attempt %d was started on %s %v after its end was taken note of", x.task, x.attempt, r.id, time.Since(t.notedDone))
	}
	if !j.cancelAcked.IsZero() && time.Since(j.cancelAcked) > 3*time.Second {
		w.fail("UNASKED: %s attempt %d was started on %s %v after its cancel was acknowledged", x.task, x.attempt, r.id, time.Since(j.cancelAcked))
	}
	st := j.body.Steps[n]
	for _, dependency := range st.After {
		for i := range j.body.Steps[dependency].Count {
			if !w.taskState(fmt.Sprintf("%s.%d.%d.%d", id, k, dependency, i)).done {
				w.fail("ORDER: %s attempt %d was started on %s before task %d of step %d was done", x.task, x.attempt, r.id, i, dependency)
				break
			}
		}
	}
	if j.body.Repetitions > 0 {
		due := time.UnixMilli(j.body.FirstMs + int64(k)*j.body.IntervalMs)
		if early := time.Until(due); early > 250*time.Millisecond {
			w.fail("ORDER: %s attempt %d was started %v before its time", x.task, x.attempt, early)
		}
	}
	if st.Requirements != "" && r.labels[0] != st.Requirements && r.labels[1] != st.Requirements {
		w.fail("ROUTE: %s was started on %s without label %s", x.task, r.id, st.Requirements)
	}
	if !st.LongRunning && t.failures >= maxAttempts {
		w.fail("BUDGET: %s attempt %d was started on %s after %d failures", x.task, x.attempt, r.id, t.failures)
	}
	t.running[r.id] = x
	t.lastChange = time.Now()
}

func (w *world) runGone(r *runnerNode, x *taskRun) {
	w.mu.Lock()
	t := w.taskState(x.task)
	delete(t.running, r.id)
	t.lastChange = time.Now()
	w.mu.Unlock()
	w.leaveGang(r, x, "gone")
}

func (w *world) ended(r *runnerNode, x *taskRun, how string) {
	w.mu.Lock()
	w.record("end    %s attempt %d on %s: %s", x.task, x.attempt, r.id, how)
	t := w.taskState(x.task)
	delete(t.running, r.id)
	t.lastChange = time.Now()
	if how == "done" {
		t.done = true
		if step, gang := w.gangOf(x.task); gang {
			for i := range step.Count {
				id, k, n, _ := parseTask(x.task)
				w.taskState(fmt.Sprintf("%s.%d.%d.%d", id, k, n, i)).done = true
			}
		}
	}
	w.mu.Unlock()
	w.leaveGang(r, x, how)
}

func (w *world) gangOf(task string) (step, bool) {
	id, _, n, _ := parseTask(task)
	j := w.jobs[id]
	if j == nil || n >= len(j.body.Steps) {
		return step{}, false
	}
	return j.body.Steps[n], j.body.Steps[n].Gang
}

// noted notes that an end was acknowledged.
func (w *world) noted(r *runnerNode, e endRow) {
	if e.lapsed {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	t := w.taskState(e.task)
	switch e.how {
	case "done":
		if t.notedDone.IsZero() {
			t.notedDone = time.Now()
			for other, run := range t.running {
				if run.started.After(t.lastChange) && time.Since(run.started) > time.Second {
					w.record("note: %s runs on %s while its end is taken note of", e.task, other)
				}
			}
		}
	case "failed":
		t.failures++
	}
}

// firstRun reports whether the task has not run before and is the first of its step.
func (w *world) firstRun(task string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.taskState(task).lastChange.IsZero() && strings.HasSuffix(task, ".0")
}

func gangKey(x *taskRun) string {
	i := strings.LastIndexByte(x.task, '.')
	return fmt.Sprintf("%s/%d", x.task[:i], x.attempt)
}

// joinGang adds a run to its gang. r.mu is held.
func (w *world) joinGang(r *runnerNode, x *taskRun) {
	w.mu.Lock()
	defer w.mu.Unlock()
	key := gangKey(x)
	g := w.gangs[key]
	if g == nil {
		g = &gangRun{members: map[string]gangMember{}}
		w.gangs[key] = g
	}
	g.members[x.task] = gangMember{r, x}
	step, _ := w.gangOf(x.task)
	if len(g.members) == step.Count {
		g.whole = true
		for _, m := range g.members {
			go func() {
				m.r.mu.Lock()
				defer m.r.mu.Unlock()
				if m.r.up && m.r.runs[m.x.task] == m.x {
					m.r.begin(m.x)
				}
			}()
		}
		return
	}
	x.alone = time.AfterFunc(gangWait, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		w.mu.Lock()
		whole := g.whole
		w.mu.Unlock()
		if r.up && r.runs[x.task] == x && !whole {
			r.end(x, "alone")
		}
	})
}

// leaveGang removes a run from its gang; if it is not done, the others end as broken.
func (w *world) leaveGang(r *runnerNode, x *taskRun, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	g := w.gangs[gangKey(x)]
	if g == nil {
		return
	}
	delete(g.members, x.task)
	if how == "alone" {
		w.record("note: GANG %s attempt %d ended alone", x.task, x.attempt)
	}
	if !g.whole {
		return
	}
	end := "broken"
	if how == "done" {
		end = "done"
	}
	for _, m := range g.members {
		go func() {
			m.r.mu.Lock()
			defer m.r.mu.Unlock()
			if m.r.up && m.r.runs[m.x.task] == m.x {
				m.r.end(m.x, end)
			}
		}()
	}
}
