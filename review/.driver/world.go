package main

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// work is what a task does.
type work struct {
	duration time.Duration
	fails    bool
	lasts    bool
	advised  bool
	gang     int // members; 0 for other tasks
	cpu, mem int
}

// world knows the jobs that clients have sent and all runs.
type world struct {
	log *recordLog

	mu     sync.Mutex
	jobs   map[string]job
	taken  map[string]bool // jobs that were accepted
	active map[string]map[*runner]int64
	starts map[string]int
	done   map[string]bool
	lastAt map[string]time.Time // end of the last run of a task
	noted  map[string]bool      // tasks, and runs by runOf, of which an end done was taken note of
	endsOf map[string][]string  // the runs of a task that have ended done, by runOf
	gangs  map[string]*gang
	alone  []string
	saved  map[string]string // checkpoint that each gang has started with, by step and attempt
	twice  []string
	again  []string // the runs that had ended done when their task was started again, by runOf
	faults []string
}

func newWorld(log *recordLog) *world {
	return &world{log: log, jobs: make(map[string]job), taken: make(map[string]bool), active: make(map[string]map[*runner]int64),
		starts: make(map[string]int), done: make(map[string]bool), noted: make(map[string]bool), endsOf: make(map[string][]string), gangs: make(map[string]*gang), saved: make(map[string]string), lastAt: make(map[string]time.Time)}
}

// add makes a job known before it is submitted.
func (w *world) add(j job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs[j.ID] = j
}

func (w *world) accepted(j job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.taken[j.ID] = true
}

// workOf returns the work of a task. The spec of a job says it, as "ms=300 lasts fails advised".
func (w *world) workOf(task string) work {
	w.mu.Lock()
	defer w.mu.Unlock()
	parts := strings.Split(task, ".")
	j, ok := w.jobs[parts[0]]
	if !ok || len(parts) != 4 {
		return work{duration: time.Second}
	}
	out := work{duration: time.Second}
	if n, err := strconv.Atoi(parts[2]); err == nil && n < len(j.Steps) {
		if j.Steps[n].Gang {
			out.gang = j.Steps[n].Count
		}
		out.cpu, out.mem, out.lasts = j.Steps[n].CPU, j.Steps[n].MemMb, j.Steps[n].LongRunning
	}
	for _, word := range strings.Fields(j.Spec) {
		switch {
		case word == "fails":
			out.fails = true
		case word == "advised":
			out.advised = true
		case strings.HasPrefix(word, "ms="):
			if ms, err := strconv.Atoi(word[3:]); err == nil {
				out.duration = time.Duration(ms) * time.Millisecond
			}
		}
	}
	return out
}

func (w *world) runStarted(r *runner, task string, attempt int64, spec string, over bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts[task]++
	if w.active[task] == nil {
		w.active[task] = make(map[*runner]int64)
	}
	for other := range w.active[task] {
		w.twice = append(w.twice, task+" on "+other.id+" and "+r.id)
	}
	w.active[task][r] = attempt
	w.checkStart(r, task)
	if over && !r.guards {
		w.faults = append(w.faults, fmt.Sprintf("%.3f start of %s brings %s over its capacity", time.Since(w.log.begin).Seconds(), task, r.id))
	}
	w.log.printf("runner", "%s starts %s attempt %d over=%t", r.id, task, attempt, over)
}

func (w *world) runEnded(r *runner, task string, attempt int64, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.active[task], r)
	w.lastAt[task] = time.Now()
	if how == "done" {
		w.done[task] = true
		w.endsOf[task] = append(w.endsOf[task], runOf(task, attempt))
	}
	w.log.printf("runner", "%s ends %s attempt %d: %s", r.id, task, attempt, how)
}

// runOf names a run of a task.
func runOf(task string, attempt int64) string { return fmt.Sprintf("%s#%d", task, attempt) }

// endNoted records that an end has been taken note of.
func (w *world) endNoted(e endRow) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if e.how == "done" {
		w.noted[e.task] = true
		w.noted[runOf(e.task, e.attempt)] = true
	}
}

// gang is one run of a gang.
type gang struct {
	members map[string]func(how string) // ends a member, by task
	size    int
	begun   bool
	ended   bool
	alone   *time.Timer
	timer   *time.Timer
}

func (w *world) joinGang(r *runner, task string, attempt int64, work work, born int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	key := fmt.Sprint(stepOf(task), " ", attempt)
	g := w.gangs[key]
	if g == nil {
		g = &gang{members: make(map[string]func(string)), size: work.gang}
		g.alone = time.AfterFunc(3*time.Second, func() { w.endGang(key, "alone", false) })
		w.gangs[key] = g
	}
	g.members[task] = func(how string) { r.finish(born, task, attempt, how) }
	if len(g.members) == g.size && !g.begun {
		g.begun = true
		g.alone.Stop()
		g.timer = time.AfterFunc(work.duration, func() { w.endGang(key, "done", true) })
	}
}

func (w *world) endGang(key, how string, begun bool) {
	w.mu.Lock()
	g := w.gangs[key]
	if g == nil || g.ended || g.begun != begun {
		w.mu.Unlock()
		return
	}
	g.ended = true
	members := g.members
	if how == "alone" {
		w.alone = append(w.alone, fmt.Sprintf("%.3f %s", time.Since(w.log.begin).Seconds(), key))
	}
	w.mu.Unlock()
	for _, end := range members {
		go end(how)
	}
}

// leaveGang ends the others when a member has ended.
func (w *world) leaveGang(task string, attempt int64, how string) {
	key := fmt.Sprint(stepOf(task), " ", attempt)
	w.mu.Lock()
	g := w.gangs[key]
	if g == nil || g.ended {
		w.mu.Unlock()
		return
	}
	delete(g.members, task)
	g.ended = true
	g.alone.Stop()
	if g.timer != nil {
		g.timer.Stop()
	}
	members := g.members
	w.mu.Unlock()
	for _, end := range members {
		go end("broken")
	}
}

// running returns the number of runs of a job.
func (w *world) running(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for task, runs := range w.active {
		if strings.HasPrefix(task, id+".") {
			n += len(runs)
		}
	}
	return n
}

// checkStart notes a start that breaks TWICE, ORDER or ROUTE. The caller holds mu.
func (w *world) checkStart(r *runner, task string) {
	fault := func(text string) {
		w.faults = append(w.faults, fmt.Sprintf("%.3f %s: %s on %s", time.Since(w.log.begin).Seconds(), text, task, r.id))
	}
	if w.noted[task] {
		fault("start after the end was taken note of")
	}
	if w.done[task] {
		w.again = append(w.again, w.endsOf[task]...)
	}
	parts := strings.Split(task, ".")
	j, ok := w.jobs[parts[0]]
	if !ok {
		fault("start of a job that nobody sent")
		return
	}
	k, _ := strconv.Atoi(parts[1])
	n, _ := strconv.Atoi(parts[2])
	if j.Repetitions > 0 && time.Now().UnixMilli() < j.FirstMs+int64(k)*j.IntervalMs-250 {
		fault("start before its time")
	}
	for _, before := range j.Steps[n].After {
		for i := range j.Steps[before].Count {
			name := fmt.Sprintf("%s.%d.%d.%d", parts[0], k, before, i)
			if !w.done[name] && !j.Steps[before].Gang {
				fault("start before " + name + " was done")
				break
			}
		}
	}
	if label := j.Steps[n].Requirements; label != "" && !slices.Contains(r.labels, label) {
		fault("start without the label " + label)
	}
	if limit := j.Steps[n].AntiAffinity; limit > 0 {
		same := 0
		for other, runs := range w.active {
			if _, here := runs[r]; here && stepOf(other) == stepOf(task) {
				same++
			}
		}
		if same > limit {
			fault("start beyond antiAffinity")
		}
	}
}

// checkpointOf returns the checkpoint of a run, which names the task or, in a gang, the step. It
// is empty for a task that has none.
func (w *world) checkpointOf(task string, attempt int64) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	parts := strings.Split(task, ".")
	j, ok := w.jobs[parts[0]]
	if !ok {
		return ""
	}
	n, err := strconv.Atoi(parts[2])
	switch {
	case err != nil || n >= len(j.Steps) || !j.Steps[n].Checkpointing:
		return ""
	case j.Steps[n].Gang:
		return fmt.Sprintf("%s#%d", stepOf(task), attempt)
	}
	return fmt.Sprintf("%s#%d", task, attempt)
}

// checkCheckpoint notes a start with the checkpoint of another task, and members of a gang that
// start with different ones.
func (w *world) checkCheckpoint(r *runner, in callBody) {
	gang := w.workOf(in.Task).gang > 0
	owner, _, _ := strings.Cut(in.Checkpoint, "#")
	w.mu.Lock()
	defer w.mu.Unlock()
	if in.Checkpoint != "" && owner != in.Task && (!gang || owner != stepOf(in.Task)) {
		w.faults = append(w.faults, fmt.Sprintf("start of %s on %s with the checkpoint %s", in.Task, r.id, in.Checkpoint))
	}
	if !gang {
		return
	}
	key := fmt.Sprint(stepOf(in.Task), " ", in.Attempt)
	if before, ok := w.saved[key]; ok && before != in.Checkpoint {
		w.faults = append(w.faults, fmt.Sprintf("members of the gang %s start with the checkpoints %q and %q", key, before, in.Checkpoint))
	}
	w.saved[key] = in.Checkpoint
}
