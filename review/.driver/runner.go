package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// runner is a stand-in for one runner and its machine. It can end and begin again under its
// id, as a new incarnation that knows nothing of before.
type runner struct {
	id, service, zone string
	address, control  string
	labels            []string
	cpu, memMb        int
	guards            bool // rejects what does not fit
	// phase is set if the first heartbeat of an incarnation comes half an interval after its
	// start, and not at once.
	phase   bool
	tickets func(step, runner string, born int64, ticket string) bool // nil if no queue has advice
	// latePercent is the share of calls that get no answer. They are carried out 2 to 12 s later,
	// or at once if lost is set.
	latePercent atomic.Int32
	lost        atomic.Bool
	world       *world
	log         *recordLog

	mu       sync.Mutex
	up       bool
	server   *http.Server
	stop     context.CancelFunc
	started  time.Time
	born     int64
	token    int64
	untilMs  int64
	lapsed   bool // a lease of this incarnation has expired
	runs     map[string]*taskRun
	highest  map[string]int64
	ended    []endRow
	lastEnd  int64
	seq      int64
	draining bool
	acked    chan struct{} // closed when a heartbeat that says draining was acknowledged
	polls    int
	refusals int // of starts, in all incarnations
	wake     chan struct{}
}

type taskRun struct {
	attempt  int64
	timer    *time.Timer
	stopping bool
	percent  int
	began    time.Time
	cpu, mem int
}

type endRow struct {
	n       int64
	task    string
	attempt int64
	how     string
}

// begin starts an incarnation: it listens and then sends heartbeats.
func (r *runner) begin() error {
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	r.up, r.started, r.born = true, time.Now(), time.Now().UnixMilli()
	r.token, r.untilMs, r.lapsed, r.lastEnd, r.seq, r.draining, r.polls = 0, 0, false, 0, 0, false, 0
	r.runs, r.highest, r.ended = make(map[string]*taskRun), make(map[string]int64), nil
	r.acked, r.wake = make(chan struct{}), make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", r.serve(r.serveStart))
	mux.HandleFunc("POST /api/run-stop", r.serve(r.serveStop))
	mux.HandleFunc("POST /api/hold", r.serve(r.serveHold))
	mux.HandleFunc("POST /api/pace", r.serve(r.servePace))
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	r.server = &http.Server{Handler: mux}
	server, born := r.server, r.born
	r.log.printf("runner", "%s begins, born %d, labels %v, cpu %d", r.id, r.born, r.labels, r.cpu)
	go func() { _ = server.Serve(listener) }() // ends with the incarnation
	go r.beat(ctx, born)
	go r.watchLease(ctx, born)
	return nil
}

// end ends the incarnation with everything that runs on it, and resets its connections.
func (r *runner) end(why string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.up {
		return
	}
	r.up = false
	for task, x := range r.runs {
		x.timer.Stop()
		r.world.runEnded(r, task, x.attempt, "gone")
		r.world.leaveGang(task, x.attempt, "gone")
	}
	r.runs = make(map[string]*taskRun)
	r.stop()
	r.server.Close()
	r.log.printf("runner", "%s has ended: %s", r.id, why)
}

// drain makes the runner leave as planned: it says so, serves for drainMs and a little longer
// after the acknowledgement, deregisters and ends.
func (r *runner) drain(ctx context.Context) {
	r.mu.Lock()
	r.draining = true
	born, acked := r.born, r.acked
	r.mu.Unlock()
	r.log.printf("runner", "%s drains", r.id)
	r.sendBeat(born)
	select {
	case <-acked:
	case <-time.After(5 * time.Second):
	case <-ctx.Done():
	}
	sleep(ctx, drainTime+300*time.Millisecond)
	status := r.post("/api/instances/"+r.id+"/deregister", map[string]any{"born": born})
	r.log.printf("runner", "%s deregisters: %d", r.id, status)
	r.end("drained")
}

func (r *runner) held() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.polls > 0 && r.untilMs > 0
}

// busy reports whether the runner has a run.
func (r *runner) busy() bool { return r.runCount() > 0 }

func (r *runner) runCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.runs)
}

func (r *runner) clockMs() int64 { return time.Since(r.started).Milliseconds() + 1000 }

// beat sends heartbeats until the incarnation ends.
func (r *runner) beat(ctx context.Context, born int64) {
	if r.phase && !sleep(ctx, heartbeatTime/2) {
		return
	}
	for ctx.Err() == nil {
		r.sendBeat(born)
		sleep(ctx, heartbeatTime)
	}
}

func (r *runner) sendBeat(born int64) {
	r.mu.Lock()
	if !r.up || r.born != born {
		r.mu.Unlock()
		return
	}
	r.seq++
	state, draining := "ready", r.draining
	if draining {
		state = "draining"
	}
	body := map[string]any{"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 8, "state": state, "coldMs": 0,
		"capacity": map[string]any{"cpu": r.cpu, "memMb": r.memMb, "gpu": 0}, "labels": r.labels, "clockMs": r.clockMs(), "seq": r.seq, "born": born}
	seq := r.seq
	r.mu.Unlock()
	status := r.post("/api/instances/"+r.id+"/heartbeat", body)
	if seq <= 2 || status != http.StatusOK || draining {
		r.log.printf("runner", "%s heartbeat seq %d born %d state %s: %d", r.id, seq, born, state, status)
	}
	if draining && status/100 == 2 {
		r.mu.Lock()
		defer r.mu.Unlock()
		select {
		case <-r.acked:
		default:
			close(r.acked)
		}
	}
}

func (r *runner) post(path string, body any) int {
	data, err := json.Marshal(body)
	if err != nil {
		return 0
	}
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post("http://"+r.control+path, "application/json", bytes.NewReader(data))
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// loggedRefusals limits the refused starts in the record: the first of them, and then each
// one whose number is a multiple of it.
const loggedRefusals = 50

// callBody has the fields of all calls.
type callBody struct {
	Task         string `json:"task"`
	Attempt      int64  `json:"attempt"`
	Spec         string `json:"spec"`
	UntilMs      int64  `json:"untilMs"`
	FencingToken int64  `json:"fencingToken"`
	LastSeen     int64  `json:"lastSeen"`
	WaitMs       int64  `json:"waitMs"`
	Percent      int    `json:"percent"`
	Ticket       string `json:"ticket"`
	Checkpoint   string `json:"checkpoint"`
}

func (r *runner) serve(fn func(*http.Request, callBody) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		var body callBody
		if err := json.NewDecoder(q.Body).Decode(&body); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if q.Header.Get("X-Expected-Instance") != r.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if percent := r.latePercent.Load(); percent > 0 && rand.Int32N(100) < percent {
			r.leaveUnanswered(w, q, body, fn)
			return
		}
		status, reply := fn(q, body)
		r.mu.Lock()
		reply["clockMs"], reply["born"] = r.clockMs(), r.born
		r.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(reply) // a write error means that the caller has disconnected
	}
}

// leaveUnanswered carries a call out now or later and never answers it. The connection returns
// nothing further.
func (r *runner) leaveUnanswered(w http.ResponseWriter, q *http.Request, body callBody, fn func(*http.Request, callBody) (int, map[string]any)) {
	body.WaitMs = 0
	later := q.Clone(context.WithoutCancel(q.Context()))
	if r.lost.Load() {
		fn(later, body)
	} else {
		r.mu.Lock()
		born := r.born
		r.mu.Unlock()
		time.AfterFunc(2*time.Second+time.Duration(rand.Int64N(int64(10*time.Second))), func() {
			r.mu.Lock()
			same := r.up && r.born == born // a call is lost with the incarnation that has received it
			r.mu.Unlock()
			if same {
				fn(later, body)
			}
		})
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		time.AfterFunc(20*time.Second, func() { conn.Close() })
	}
}

func refuse(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

// fenced reports whether a call has a lower token than one before. The caller holds mu.
func (r *runner) fenced(token int64) bool {
	if token < r.token {
		return true
	}
	r.token = token
	return false
}

// extend extends the lease. The caller holds mu.
func (r *runner) extend(untilMs int64) {
	r.untilMs = max(r.untilMs, min(untilMs, r.clockMs()+holdMaxTime.Milliseconds()))
}

func (r *runner) serveStart(_ *http.Request, in callBody) (int, map[string]any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	status, reply := r.startLocked(in)
	if status != http.StatusOK {
		r.refusals++
		if r.refusals <= loggedRefusals || r.refusals%loggedRefusals == 0 {
			r.log.printf("runner", "%s run-start %s attempt %d ticket %q: %d %v, refusal %d", r.id, in.Task, in.Attempt, in.Ticket, status, reply["reason"], r.refusals)
		}
	}
	return status, reply
}

func (r *runner) startLocked(in callBody) (int, map[string]any) {
	if !r.up {
		return http.StatusServiceUnavailable, map[string]any{} // the call has arrived while the incarnation ended
	}
	if r.fenced(in.FencingToken) {
		return refuse("fence")
	}
	if x := r.runs[in.Task]; x != nil && x.attempt == in.Attempt {
		r.extend(in.UntilMs)
		return http.StatusOK, map[string]any{}
	}
	if in.UntilMs <= r.clockMs() {
		return refuse("late")
	}
	r.extend(in.UntilMs)
	if in.Attempt <= r.highest[in.Task] {
		return refuse("old")
	}
	work := r.world.workOf(in.Task)
	if r.tickets != nil && work.advised && !r.tickets(stepOf(in.Task), r.id, r.born, in.Ticket) {
		return refuse("ticket")
	}
	usedCPU, usedMem := work.cpu, work.mem
	for _, x := range r.runs {
		usedCPU, usedMem = usedCPU+x.cpu, usedMem+x.mem
	}
	if r.guards && (usedCPU > r.cpu || usedMem > r.memMb) {
		return refuse("room")
	}
	r.highest[in.Task] = in.Attempt
	x := &taskRun{attempt: in.Attempt, began: time.Now(), cpu: work.cpu, mem: work.mem, percent: 0}
	r.runs[in.Task] = x
	born := r.born
	how := "done"
	if work.fails {
		how = "failed"
	}
	after := work.duration
	if work.lasts && !work.fails {
		after = time.Hour
	}
	end := func() { r.finish(born, in.Task, in.Attempt, how) }
	if work.gang > 0 {
		x.timer = time.AfterFunc(time.Hour, func() {})
		r.world.joinGang(r, in.Task, in.Attempt, work, born)
	} else {
		x.timer = time.AfterFunc(after, end)
	}
	r.world.checkCheckpoint(r, in)
	r.world.runStarted(r, in.Task, in.Attempt, in.Spec, usedCPU > r.cpu)
	return http.StatusOK, map[string]any{}
}

func stepOf(task string) string { return task[:strings.LastIndexByte(task, '.')] }

// finish ends a run and lists its end.
func (r *runner) finish(born int64, task string, attempt int64, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.runs[task]
	if !r.up || r.born != born || x == nil || x.attempt != attempt {
		return
	}
	x.timer.Stop()
	delete(r.runs, task)
	r.lastEnd++
	r.ended = append(r.ended, endRow{r.lastEnd, task, attempt, how})
	r.world.leaveGang(task, attempt, how)
	r.world.runEnded(r, task, attempt, how)
	r.signal()
}

// signal wakes the calls that wait for an end. The caller holds mu.
func (r *runner) signal() {
	close(r.wake)
	r.wake = make(chan struct{})
}

func (r *runner) serveStop(_ *http.Request, in callBody) (int, map[string]any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fenced(in.FencingToken) {
		return refuse("fence")
	}
	r.highest[in.Task] = max(r.highest[in.Task], in.Attempt)
	if x := r.runs[in.Task]; x != nil && x.attempt <= in.Attempt && !x.stopping {
		x.stopping = true
		born := r.born
		time.AfterFunc(stopTime/2, func() { r.finish(born, in.Task, x.attempt, "stopped") })
	}
	return http.StatusOK, map[string]any{}
}

func (r *runner) servePace(_ *http.Request, in callBody) (int, map[string]any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fenced(in.FencingToken) {
		return refuse("fence")
	}
	return http.StatusOK, map[string]any{}
}

func (r *runner) serveHold(q *http.Request, in callBody) (int, map[string]any) {
	r.mu.Lock()
	if r.fenced(in.FencingToken) {
		r.mu.Unlock()
		return refuse("fence")
	}
	if in.UntilMs > 0 {
		r.extend(in.UntilMs)
	}
	r.polls++
	before := len(r.ended)
	for len(r.ended) > 0 && r.ended[0].n <= in.LastSeen {
		r.world.endNoted(r.ended[0])
		r.ended = r.ended[1:]
	}
	if len(r.ended) < before {
		r.log.printf("runner", "%s: ends up to %d are taken note of, %d others are listed", r.id, in.LastSeen, len(r.ended))
	}
	wake, nothing := r.wake, len(r.ended) == 0
	r.mu.Unlock()
	if nothing && in.WaitMs > 0 {
		select {
		case <-wake:
		case <-q.Context().Done():
		case <-time.After(time.Duration(in.WaitMs) * time.Millisecond):
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	running, ended := [][]any{}, [][]any{}
	for task, x := range r.runs {
		work := r.world.workOf(task)
		percent := 100
		if !work.lasts {
			percent = min(99, int(100*time.Since(x.began)/max(work.duration, 1)))
		}
		running = append(running, []any{task, x.attempt, r.world.checkpointOf(task, x.attempt), percent, work.cpu})
	}
	for _, e := range r.ended[:min(len(r.ended), 500)] {
		ended = append(ended, []any{e.n, e.task, e.attempt, e.how, r.world.checkpointOf(e.task, e.attempt)})
	}
	return http.StatusOK, map[string]any{"running": running, "ended": ended}
}

// watchLease ends the runs when the lease has expired.
func (r *runner) watchLease(ctx context.Context, born int64) {
	for sleep(ctx, 20*time.Millisecond) {
		r.mu.Lock()
		expired := r.up && r.born == born && r.clockMs() > r.untilMs
		var lapsed []endRow
		if expired {
			r.lapsed = r.lapsed || r.untilMs > 0
			for task, x := range r.runs {
				lapsed = append(lapsed, endRow{0, task, x.attempt, ""})
			}
		}
		r.mu.Unlock()
		for _, e := range lapsed {
			r.finish(born, e.task, e.attempt, "lapsed")
		}
	}
}

func (r *runner) String() string { return fmt.Sprintf("%s (%s)", r.id, r.zone) }
