package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// A stand-in for the platform's runners, as PROTOCOL.md describes them: fencing tokens, leases,
// room, ends that are listed until they are acknowledged, checkpoints, gangs, and tickets.

const (
	holdMax         = 10 * time.Second
	gangWait        = 3 * time.Second
	checkpointEvery = 500 * time.Millisecond
	restoreTime     = 100 * time.Millisecond
	maxEnds         = 500
)

// spec is what the spec of a job tells the stand-in: "work=400,gang=3,fail=1,...".
type spec map[string]int

func parseSpec(s string) spec {
	out := spec{}
	for _, part := range strings.Split(s, ",") {
		if name, value, ok := strings.Cut(part, "="); ok {
			out[name], _ = strconv.Atoi(value)
		}
	}
	return out
}

type taskRun struct {
	task    string
	attempt int64
	started time.Time
	work    time.Duration // left when it begins to work
	total   time.Duration
	lasts   bool
	fails   bool
	working time.Time // since when it works; zero while it waits for its gang
	cpu     int64
	mem     int64
	timer   *time.Timer
	alone   *time.Timer
	stop    bool
	pace    int
}

type endRow struct {
	number  uint64
	task    string
	attempt int64
	how     string
	saved   string
	lapsed  bool // the lease lapsed after the end
}

type runnerNode struct {
	w       *world
	agent   *process // of the same machine
	address string
	labels  []string
	cpu     int64
	mem     int64
	slow    float64 // rate of its clock

	mu         sync.Mutex
	id         string
	lives      int
	born       time.Time
	up         bool
	draining   bool
	drainAcked time.Time
	hidden     bool // another runner has its address; it works on and says nothing any more
	token      uint64
	lease      time.Time
	runs       map[string]*taskRun
	highest    map[string]int64
	ends       []endRow
	lastEnd    uint64
	seq        int64
	changed    chan struct{}
	server     *http.Server
	late       time.Duration // orders get no answer and are carried out so much later
	lateEach   int           // every so many orders
	orders     int
	failing    bool // all that it starts fails
}

func newRunner(w *world, agent *process, address string, labels []string) *runnerNode {
	return &runnerNode{w: w, agent: agent, address: address, labels: labels, cpu: 32000, mem: 128000, slow: 1}
}

// start begins a life of the runner. With sameID it has the id of its last life.
func (r *runnerNode) start(sameID bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.up {
		return
	}
	if !sameID || r.id == "" {
		r.lives++
		r.id = fmt.Sprintf("i-%s-%d", r.agent.name, r.lives)
	}
	time.Sleep(2 * time.Millisecond)
	r.born, r.up, r.draining, r.token, r.lease = time.Now(), true, false, 0, time.Time{}
	r.runs, r.highest = map[string]*taskRun{}, map[string]int64{}
	r.ends, r.lastEnd, r.seq = nil, 0, 0
	r.changed = make(chan struct{})
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		r.w.record("runner %s can't listen: %v", r.id, err)
		r.up = false
		return
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", r.call)
	mux.HandleFunc("POST /api/run-stop", r.call)
	mux.HandleFunc("POST /api/hold", r.call)
	mux.HandleFunc("POST /api/pace", r.call)
	r.server = &http.Server{Handler: mux}
	go r.server.Serve(listener)
	r.w.record("runner %s starts on %s", r.id, r.agent.name)
	go r.beat(r.born)
}

// crash ends the process of the runner, and with it all that it runs.
func (r *runnerNode) crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.up {
		return
	}
	r.w.record("runner %s crashes with %d runs", r.id, len(r.runs))
	r.up = false
	for _, x := range r.runs {
		x.cancelTimers()
		r.w.runGone(r, x)
	}
	r.runs = map[string]*taskRun{}
	close(r.changed)
	r.server.Close()
}

func (x *taskRun) cancelTimers() {
	if x.timer != nil {
		x.timer.Stop()
	}
	if x.alone != nil {
		x.alone.Stop()
	}
}

func (r *runnerNode) clock() int64 {
	return int64(float64(time.Since(r.born).Milliseconds())*r.slow) + 1
}

func (r *runnerNode) at(clockMs int64) time.Time {
	return r.born.Add(time.Duration(float64(clockMs) / r.slow * float64(time.Millisecond)))
}

func (r *runnerNode) beat(born time.Time) {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for {
		r.mu.Lock()
		if !r.up || r.born != born || r.hidden {
			r.mu.Unlock()
			return
		}
		r.seq++
		state := "ready"
		if r.draining {
			state = "draining"
		}
		message := map[string]any{"service": serviceName, "address": r.address, "zone": r.agent.zone, "version": "v1", "slots": 8, "state": state, "coldMs": 0,
			"capacity": map[string]any{"cpu": r.cpu, "memMb": r.mem, "gpu": 0}, "labels": r.labels, "clockMs": r.clock(), "seq": r.seq, "born": born.UnixMilli()}
		if r.draining {
			message["remainingMs"] = 1000
		}
		body, _ := json.Marshal(message)
		url := "http://" + r.agent.ip + ":8166/api/instances/" + r.id + "/heartbeat"
		r.mu.Unlock()
		if response, err := client.Post(url, "application/json", strings.NewReader(string(body))); err == nil {
			response.Body.Close()
			r.mu.Lock()
			if state == "draining" && response.StatusCode/100 == 2 && r.drainAcked.IsZero() {
				r.drainAcked = time.Now()
				r.w.record("runner %s: draining is acknowledged", r.id)
			}
			r.mu.Unlock()
		}
		time.Sleep(1100 * time.Millisecond)
	}
}

type callBody struct {
	Task         string `json:"task"`
	Attempt      int64  `json:"attempt"`
	Spec         string `json:"spec"`
	UntilMs      int64  `json:"untilMs"`
	FencingToken uint64 `json:"fencingToken"`
	Checkpoint   string `json:"checkpoint"`
	Ticket       string `json:"ticket"`
	LastSeen     uint64 `json:"lastSeen"`
	WaitMs       int64  `json:"waitMs"`
	Percent      int    `json:"percent"`
}

func (r *runnerNode) call(w http.ResponseWriter, q *http.Request) {
	var in callBody
	if json.NewDecoder(q.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	expected := q.Header.Get("X-Expected-Instance")
	isOrder := q.URL.Path == "/api/run-start" || q.URL.Path == "/api/run-stop"
	if isOrder && r.late > 0 {
		r.orders++
		if r.orders%r.lateEach == 0 {
			delay := r.late
			r.mu.Unlock()
			time.AfterFunc(delay, func() {
				r.mu.Lock()
				defer r.mu.Unlock()
				if r.up && r.id == expected {
					r.w.record("runner %s carries out %s %s %d late", r.id, q.URL.Path, in.Task, in.Attempt)
					if q.URL.Path == "/api/run-start" {
						r.runStart(in)
					} else {
						r.runStop(in)
					}
				}
			})
			<-q.Context().Done()
			return
		}
	}
	defer r.mu.Unlock()
	if !r.up || r.id != expected {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	reason := ""
	switch q.URL.Path {
	case "/api/run-start":
		reason = r.runStart(in)
	case "/api/run-stop":
		reason = r.runStop(in)
	case "/api/pace":
		if in.FencingToken < r.token {
			reason = "fence"
		} else if r.token = in.FencingToken; r.runs[in.Task] != nil {
			r.runs[in.Task].pace = in.Percent
		}
	case "/api/hold":
		if in.FencingToken < r.token {
			reason = "fence"
			break
		}
		r.token = in.FencingToken
		r.markLapsed()
		if in.UntilMs > 0 {
			r.extend(in.UntilMs)
		}
		for len(r.ends) > 0 && r.ends[0].number <= in.LastSeen {
			r.w.noted(r, r.ends[0])
			r.ends = r.ends[1:]
		}
		if len(r.ends) == 0 && in.WaitMs > 0 {
			changed, born := r.changed, r.born
			r.mu.Unlock()
			select {
			case <-changed:
			case <-q.Context().Done():
			case <-time.After(time.Duration(in.WaitMs) * time.Millisecond):
			}
			r.mu.Lock()
			if !r.up || r.born != born {
				w.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
		}
		running, ended := [][]any{}, [][]any{}
		for _, x := range r.runs {
			running = append(running, []any{x.task, x.attempt, x.saved(), x.percent(), 0})
		}
		for _, e := range r.ends[:min(len(r.ends), maxEnds)] {
			ended = append(ended, []any{e.number, e.task, e.attempt, e.how, e.saved})
		}
		reply(w, 200, map[string]any{"clockMs": r.clock(), "born": r.born.UnixMilli(), "running": running, "ended": ended})
		return
	}
	if reason != "" {
		reply(w, 409, map[string]any{"clockMs": r.clock(), "born": r.born.UnixMilli(), "reason": reason})
		return
	}
	reply(w, 200, map[string]any{"clockMs": r.clock(), "born": r.born.UnixMilli()})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// markLapsed marks the ends that are listed beyond their lease. r.mu is held.
func (r *runnerNode) markLapsed() {
	if r.lease.IsZero() || time.Now().Before(r.lease) {
		return
	}
	for i := range r.ends {
		r.ends[i].lapsed = true
	}
}

func (r *runnerNode) extend(untilMs int64) {
	until := r.at(untilMs)
	if limit := time.Now().Add(holdMax); until.After(limit) {
		until = limit
	}
	if until.After(r.lease) {
		r.lease = until
		time.AfterFunc(time.Until(until)+time.Millisecond, r.lapse)
	}
}

func (r *runnerNode) lapse() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.up || time.Now().Before(r.lease) {
		return
	}
	r.markLapsed()
	for _, x := range r.runs {
		r.end(x, "lapsed")
	}
}

// runStart carries out a start and returns the reason for which it is rejected. r.mu is held.
func (r *runnerNode) runStart(in callBody) string {
	if in.FencingToken < r.token {
		return "fence"
	}
	r.token = in.FencingToken
	if x := r.runs[in.Task]; x != nil && x.attempt == in.Attempt {
		r.extend(in.UntilMs)
		return ""
	}
	if time.Now().After(r.at(in.UntilMs)) {
		return "late"
	}
	r.markLapsed()
	r.extend(in.UntilMs)
	if in.Attempt <= r.highest[in.Task] || r.runs[in.Task] != nil {
		return "old"
	}
	step, ok := r.w.stepOf(in.Task)
	cpu, mem := step.CPU, step.MemMb
	if !step.Fills {
		for _, x := range r.runs {
			cpu += x.cpu
		}
	}
	for _, x := range r.runs {
		mem += x.mem
	}
	if ok && (!step.Fills && cpu > r.cpu || mem > r.mem) {
		return "room"
	}
	if ok && r.w.needsTicket(in.Task) && !r.w.ticketIsValid(r, in) {
		return "ticket"
	}
	r.highest[in.Task] = in.Attempt
	s := parseSpec(in.Spec)
	x := &taskRun{task: in.Task, attempt: in.Attempt, started: time.Now(), cpu: step.CPU, mem: step.MemMb, lasts: step.LongRunning, pace: 100}
	if step.Fills {
		x.cpu = 0
	}
	x.total = time.Duration(s["work"]) * time.Millisecond
	x.work = x.total
	if in.Checkpoint != "" {
		if saved, err := strconv.ParseInt(in.Checkpoint[:8], 16, 64); err == nil {
			x.work = max(x.work-time.Duration(saved)*time.Millisecond, time.Millisecond)
		}
		x.work += restoreTime
	}
	x.fails = r.failing || s["fail"] > 0 && r.w.firstRun(in.Task) || s["hopeless"] > 0
	r.runs[in.Task] = x
	r.w.started(r, x, in)
	if step.Gang {
		r.w.joinGang(r, x)
	} else {
		r.begin(x)
	}
	return ""
}

// begin lets a run work. r.mu is held.
func (r *runnerNode) begin(x *taskRun) {
	x.working = time.Now()
	if x.alone != nil {
		x.alone.Stop()
	}
	if x.lasts && !x.fails {
		return
	}
	how, after := "done", x.work
	if x.fails {
		how, after = "failed", min(x.work, 50*time.Millisecond)
	}
	x.timer = time.AfterFunc(after, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.up && r.runs[x.task] == x {
			r.end(x, how)
		}
	})
}

func (x *taskRun) done() time.Duration {
	if x.working.IsZero() {
		return 0
	}
	return min(x.total-x.work+time.Since(x.working), x.total)
}

func (x *taskRun) percent() int {
	if x.lasts {
		return 100
	}
	if x.total == 0 {
		return 0
	}
	return int(100 * x.done() / x.total)
}

func (x *taskRun) saved() string {
	done := x.done() / checkpointEvery * checkpointEvery
	if done <= 0 || x.lasts {
		return ""
	}
	return fmt.Sprintf("%08x7a21d94b", done.Milliseconds())
}

// end ends a run. r.mu is held.
func (r *runnerNode) end(x *taskRun, how string) {
	x.cancelTimers()
	delete(r.runs, x.task)
	r.lastEnd++
	r.ends = append(r.ends, endRow{number: r.lastEnd, task: x.task, attempt: x.attempt, how: how, saved: x.saved()})
	r.w.ended(r, x, how)
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *runnerNode) runStop(in callBody) string {
	if in.FencingToken < r.token {
		return "fence"
	}
	r.token = in.FencingToken
	r.highest[in.Task] = max(r.highest[in.Task], in.Attempt)
	if x := r.runs[in.Task]; x != nil && x.attempt <= in.Attempt && !x.stop {
		x.stop = true
		time.AfterFunc(100*time.Millisecond, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			if r.up && r.runs[x.task] == x {
				r.end(x, "stopped")
			}
		})
	}
	return ""
}

// runningTasks returns the tasks that run here.
func (r *runnerNode) runningTasks() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var tasks []string
	for task := range r.runs {
		tasks = append(tasks, task)
	}
	slices.Sort(tasks)
	return tasks
}

// failAll lets all runs fail, as tasks that last may at any time.
func (r *runnerNode) failAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range r.runs {
		r.end(x, "failed")
	}
}

// drain lets the runner report that it leaves.
func (r *runnerNode) drain() {
	r.mu.Lock()
	r.draining = true
	r.w.record("runner %s drains with %d runs", r.id, len(r.runs))
	r.mu.Unlock()
}

// handOver lets the next runner of the machine take the address, while this one works on until its
// runs have ended.
func (r *runnerNode) handOver() *runnerNode {
	r.mu.Lock()
	r.hidden = true
	r.server.Close()
	r.w.record("runner %s gives its address to the next one and works on with %d runs", r.id, len(r.runs))
	next := newRunner(r.w, r.agent, r.address, r.labels)
	next.lives = r.lives
	r.mu.Unlock()
	next.start(false)
	return next
}
