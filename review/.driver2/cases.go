package main

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"wasabihill.example/wasabihill/internal/standin/metastore"
)

var cases = map[string]func(w *world, program string, trouble bool) error{"mix": mix, "backlog": backlog, "wide": wide, "advised": advised, "unadvised": unadvised, "silent": silent, "silentstore": silentStore, "describe": describe, "successor": successor, "gang": starvedGang}

func jobID(rng *rand.Rand) string { return fmt.Sprintf("%016x", rng.Uint64()) }

// adviceTimes are the times of a queue with advice.
type adviceTimes struct{ decide, each, valid time.Duration }

func (a adviceTimes) config() map[string]int {
	return map[string]int{"decideMs": int(a.decide.Milliseconds()), "eachMs": int(a.each.Milliseconds()), "validMs": int(a.valid.Milliseconds())}
}

// serveAdvice serves the advice service. Of the workers named it allows all, or about two thirds.
func (w *world) serveAdvice(a adviceTimes) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.advice = listener.Addr().String()
	var turn sync.Mutex
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/advise", func(rw http.ResponseWriter, q *http.Request) {
		var in struct {
			Step    string   `json:"step"`
			Workers []string `json:"workers"`
		}
		if json.NewDecoder(q.Body).Decode(&in) != nil {
			rw.WriteHeader(400)
			return
		}
		turn.Lock()
		time.Sleep(a.decide + time.Duration(len(in.Workers))*a.each)
		turn.Unlock()
		good := [][]string{}
		for _, r := range w.runners {
			r.mu.Lock()
			for _, id := range in.Workers {
				if id == r.id && r.up && (w.allGood || (len(in.Step)+int(id[len(id)-3]))%3 != 0) {
					t := fmt.Sprintf("t-%x-%s", time.Now().UnixNano(), id)
					w.mu.Lock()
					w.tickets[t] = ticket{runner: id + " " + in.Step, born: r.born, until: time.Now().Add(a.valid)}
					w.mu.Unlock()
					good = append(good, []string{id, t})
				}
			}
			r.mu.Unlock()
		}
		w.record("advice %s for %d workers: %v", in.Step, len(in.Workers), good)
		reply(rw, 200, map[string]any{"good": good, "validMs": a.valid.Milliseconds()})
	})
	go http.Serve(listener, mux)
	return nil
}

func randomJob(rng *rand.Rand) *job {
	j := &job{id: jobID(rng), queue: "/runs/"}
	work := 100 + rng.Intn(1500)
	gang := rng.Intn(2) == 0
	spec := fmt.Sprintf("work=%d", work)
	if rng.Intn(6) == 0 {
		spec += ",fail=1"
	}
	if rng.Intn(15) == 0 {
		spec += ",hopeless=1"
	}
	steps := 1 + rng.Intn(3)
	for i := range steps {
		st := step{Count: 1 + rng.Intn(5), CPU: int64(500 + rng.Intn(6000)), MemMb: int64(500 + rng.Intn(4000)), EstimateMs: int64(work), Gang: gang && rng.Intn(3) > 0, Checkpointing: rng.Intn(2) == 0}
		if i > 0 {
			st.After = []int{i - 1}
		}
		if rng.Intn(4) == 0 {
			st.Requirements = []string{"a", "b"}[rng.Intn(2)]
		}
		if rng.Intn(4) == 0 {
			st.AntiAffinity = 2
			if st.Gang {
				st.Requirements = ""
			}
		}
		if rng.Intn(4) == 0 {
			st.SameRack = true
		}
		j.body.Steps = append(j.body.Steps, st)
	}
	if rng.Intn(4) == 0 {
		j.body.Repetitions, j.body.FirstMs, j.body.IntervalMs = 2+rng.Intn(6), time.Now().UnixMilli()+int64(rng.Intn(4000)), int64(300+rng.Intn(3000))
	} else if rng.Intn(8) == 0 {
		j.body.Steps = []step{{Count: 2 + rng.Intn(4), CPU: 3000, MemMb: 4000, EstimateMs: 500, LongRunning: true, AntiAffinity: rng.Intn(3)}}
	}
	if rng.Intn(4) == 0 {
		j.queue = "/advised/"
	}
	j.body.Spec = spec + fmt.Sprintf(",n=%d", rng.Intn(1000000))
	return j
}

// mix plays random jobs with random disruptions. It is for looking around, not a case.
func mix(w *world, program string, trouble bool) error {
	times := adviceTimes{decide: 20 * time.Millisecond, each: 2 * time.Millisecond, valid: 3 * time.Second}
	w.relayed, w.storeRelayed = true, true
	if err := w.serveAdvice(times); err != nil {
		return err
	}
	if err := w.open(program, 3, 6); err != nil {
		return err
	}
	if err := w.startAll(); err != nil {
		return err
	}
	w.configure(7, []route{{"runs", "/runs/", 1, maxAttempts, nil}, {"advised", "/advised/", 1, maxAttempts, times.config()}})
	time.Sleep(4 * time.Second)
	rng := rand.New(rand.NewSource(w.rng.Int63()))
	end := time.Now().Add(45 * time.Second)
	var wait sync.WaitGroup
	go func() {
		for trouble && time.Now().Before(end.Add(-3*time.Second)) {
			time.Sleep(time.Duration(500+rng.Intn(3000)) * time.Millisecond)
			w.disrupt(rng)
		}
	}()
	jrng := rand.New(rand.NewSource(w.rng.Int63()))
	var jobs []*job
	for time.Now().Before(end) {
		j := randomJob(jrng)
		cancelAfter := time.Duration(-1)
		if jrng.Intn(6) == 0 || j.body.Steps[0].LongRunning {
			cancelAfter = time.Duration(jrng.Intn(12000)) * time.Millisecond
		}
		jobs = append(jobs, j)
		wait.Go(func() {
			if !w.submit(j, 5) {
				return
			}
			if cancelAfter >= 0 {
				time.Sleep(cancelAfter)
				w.cancel(j, 8)
			}
		})
		time.Sleep(time.Duration(100+jrng.Intn(300)) * time.Millisecond)
	}
	wait.Wait()
	time.Sleep(4 * time.Second) // the tasks of the last cancelled jobs have to end
	for _, r := range w.runners {
		r.start(true)
	}
	deadline := time.Now().Add(34 * time.Second)
	for time.Now().Before(deadline) {
		left := 0
		for _, j := range jobs {
			if j.accepted.IsZero() || j.state == "completed" || j.state == "failed" || j.state == "cancelled" {
				continue
			}
			status, state := w.state(j, 3)
			j.state = state
			if status == 410 {
				w.mu.Lock()
				w.fail("LOST: %s is not known", j.id)
				w.mu.Unlock()
				j.state = "failed"
			}
			if state != "completed" && state != "failed" && state != "cancelled" {
				left++
			}
		}
		if left == 0 {
			break
		}
		time.Sleep(time.Second)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, j := range jobs {
		if j.accepted.IsZero() {
			all := true
			for _, s := range j.attempts {
				all = all && (s == 429 || s == 503 || s == 404 || s == 400)
			}
			for task := range w.tasks {
				if all && strings.HasPrefix(task, j.id) {
					w.fail("REFUSED: %s ran, attempts %v", task, j.attempts)
				}
			}
			continue
		}
		hopeless := strings.Contains(j.body.Spec, "hopeless")
		switch {
		case j.state == "failed" && !hopeless:
			w.fail("LOST: %s is shown as failed", j.id)
		case j.state == "cancelled" && j.cancelAcked.IsZero():
			w.fail("LOST: %s is shown as cancelled", j.id)
		case j.state == "completed":
			for k := range max(1, j.body.Repetitions) {
				for n, st := range j.body.Steps {
					for i := range st.Count {
						task := fmt.Sprintf("%s.%d.%d.%d", j.id, k, n, i)
						if !w.taskState(task).done {
							w.fail("MIXED: %s is shown as completed and %s has not ended so", j.id, task)
						}
					}
				}
			}
		case j.state != "cancelled" && j.state != "failed":
			w.fail("LOST: %s is %q at the end: %+v", j.id, j.state, j.body)
		}
		if !j.cancelAcked.IsZero() {
			for task, t := range w.tasks {
				if strings.HasPrefix(task, j.id) && len(t.running) > 0 {
					w.fail("UNASKED: %s runs on after its cancel", task)
				}
			}
		}
	}
	return nil
}

// disrupt applies one random disruption.
func (w *world) disrupt(rng *rand.Rand) {
	pause := time.Duration(500+rng.Intn(3500)) * time.Millisecond
	e := w.entries[rng.Intn(len(w.entries))]
	n := rng.Intn(len(w.agents))
	a, r := w.agents[n], w.runners[n]
	switch k := rng.Intn(15); k {
	case 0, 1:
		w.record("disrupt: kill %s for %v", e.name, pause)
		e.child.Kill()
		time.Sleep(pause / 4)
		_ = e.child.Start()
	case 2:
		w.record("disrupt: stop %s for %v", e.name, pause)
		e.child.Signal(syscall.SIGSTOP)
		time.Sleep(pause)
		e.child.Signal(syscall.SIGCONT)
	case 3:
		w.record("disrupt: kill %s", a.name)
		a.child.Kill()
		time.Sleep(pause / 4)
		_ = a.child.Start()
	case 4, 5:
		w.record("disrupt: crash the runner of %s", a.name)
		r.crash()
		time.Sleep(pause)
		r.start(k == 4)
	case 6:
		w.record("disrupt: orders late at %s", a.name)
		r.mu.Lock()
		r.late, r.lateEach = time.Duration(2000+rng.Intn(8000))*time.Millisecond, 1+rng.Intn(3)
		r.mu.Unlock()
		time.Sleep(pause)
		r.mu.Lock()
		r.late = 0
		r.mu.Unlock()
	case 7:
		w.record("disrupt: kill all entries")
		for _, e := range w.entries {
			e.child.Kill()
		}
		time.Sleep(pause / 4)
		for _, e := range w.entries {
			_ = e.child.Start()
		}
	case 9:
		w.record("disrupt: stop %s for %v", a.name, pause)
		a.child.Signal(syscall.SIGSTOP)
		time.Sleep(pause)
		a.child.Signal(syscall.SIGCONT)
	case 10:
		w.record("disrupt: no answers of the store for %s for %v", e.name, pause)
		e.store.Set(metastore.Fault{NoReply: true})
		time.Sleep(pause)
		e.store.Set(metastore.Fault{})
	case 11:
		w.record("disrupt: appends without answers, late, for %v", pause)
		for _, e := range w.entries {
			e.store.Set(metastore.Fault{DropReply: true, OnlyAppends: true, ApplyDelay: 1500 * time.Millisecond})
		}
		time.Sleep(pause)
		for _, e := range w.entries {
			e.store.Set(metastore.Fault{})
		}
	case 13:
		w.record("disrupt: %d connections of %s to its runner go silent", w.relays[n].silence(), a.name)
	case 14:
		for _, r := range w.storeRelays {
			r.silence()
		}
		w.record("disrupt: the connections to the store go silent")
	case 12:
		w.record("disrupt: kill %s and crash its runner", a.name)
		a.child.Kill()
		r.crash()
		time.Sleep(pause / 4)
		r.start(rng.Intn(2) == 0)
		_ = a.child.Start()
	case 8:
		w.record("disrupt: terminate %s", e.name)
		e.child.Terminate(6 * time.Second)
		_ = e.child.Start()
	}
	w.record("disrupt: over")
}

// watchJobs watches the jobs for the given time and returns for how long each of them had nothing
// running on end although the turn of a task had come, the runners that may run it had room twice
// over for all such tasks of the job, and under half of the service's capacity was in use.
func (w *world) watchJobs(jobs []*job, d time.Duration) map[*job]time.Duration {
	longest, since := map[*job]time.Duration{}, map[*job]time.Time{}
	deadline := time.Now().Add(d)
	for time.Now().Before(deadline) {
		used, capacity := int64(0), int64(0)
		room := map[*job]int{}
		for _, r := range w.runners {
			r.mu.Lock()
			free := r.cpu
			for _, x := range r.runs {
				used += x.cpu
				free -= x.cpu
			}
			capacity += r.cpu
			for _, j := range jobs {
				if st := j.body.Steps[0]; st.Requirements == "" || st.Requirements == r.labels[0] {
					room[j] += int(free / st.CPU)
				}
			}
			r.mu.Unlock()
		}
		w.mu.Lock()
		for _, j := range jobs {
			running, due := 0, 0
			for n, st := range j.body.Steps {
				ready := true
				for _, dependency := range st.After {
					for i := range j.body.Steps[dependency].Count {
						ready = ready && w.taskState(fmt.Sprintf("%s.0.%d.%d", j.id, dependency, i)).done
					}
				}
				for i := range st.Count {
					t := w.taskState(fmt.Sprintf("%s.0.%d.%d", j.id, n, i))
					running += len(t.running)
					if ready && !t.done {
						due++
					}
				}
			}
			if j.accepted.IsZero() || running > 0 || due == 0 || room[j] < 2*due || used*2 >= capacity {
				delete(since, j)
				continue
			}
			if since[j].IsZero() {
				since[j] = time.Now()
			}
			longest[j] = max(longest[j], time.Since(since[j]))
		}
		w.mu.Unlock()
		time.Sleep(50 * time.Millisecond)
	}
	return longest
}

var plainRoutes = []route{{"runs", "/runs/", 1, maxAttempts, nil}}

func plainJob(rng *rand.Rand) *job {
	return &job{id: jobID(rng), queue: "/runs/", body: jobBody{Spec: "work=300", Steps: []step{
		{Count: 3, CPU: 500, MemMb: 500, EstimateMs: 300}, {Count: 3, CPU: 500, MemMb: 500, EstimateMs: 300, After: []int{0}}}}}
}

// backlog hands in a schedule of which many occurrences are due already.
func backlog(w *world, program string, trouble bool) error {
	w.limited = true
	if err := w.open(program, 3, 6); err != nil {
		return err
	}
	if err := w.startAll(); err != nil {
		return err
	}
	w.configure(7, plainRoutes)
	time.Sleep(4 * time.Second)
	due := 500
	if trouble {
		due = 50_000
	}
	const interval = 1000 // a second
	schedule := &job{id: jobID(w.rng), queue: "/runs/", body: jobBody{Spec: "work=200", Repetitions: due + 30,
		FirstMs: time.Now().UnixMilli() - int64(due*interval), IntervalMs: interval, Steps: []step{{Count: 1, CPU: 1000, MemMb: 100, EstimateMs: 200}}}}
	if !w.submit(schedule, 5) {
		w.record("note: the schedule is not accepted")
	}
	var jobs []*job
	for range 12 {
		j := plainJob(w.rng)
		if w.submit(j, 5) {
			jobs = append(jobs, j)
		}
		time.Sleep(500 * time.Millisecond)
	}
	w.finish(jobs, 14*time.Second, 40*time.Second)
	return nil
}

// finish checks that the jobs end: after the given time none may have nothing running for 3 s.
func (w *world) finish(jobs []*job, after, d time.Duration) {
	time.Sleep(after)
	longest := w.watchJobs(jobs, d-after)
	for _, j := range jobs {
		status, state := w.state(j, 5)
		w.mu.Lock()
		switch {
		case status == 410 || status == 0:
			w.fail("LOST: %s is asked for: status %d", j.id, status)
		case longest[j] >= 3*time.Second:
			w.fail("LOST: %s is %q and had nothing running for %v, with room for it", j.id, state, longest[j].Round(time.Millisecond))
		}
		w.mu.Unlock()
	}
}

// wide hands in a job with many small tasks and a long spec that only two runners may run.
func wide(w *world, program string, trouble bool) error {
	if err := w.open(program, 3, 6); err != nil {
		return err
	}
	if err := w.startAll(); err != nil {
		return err
	}
	w.configure(7, plainRoutes)
	time.Sleep(4 * time.Second)
	spec := "work=1000,text="
	if trouble {
		spec += strings.Repeat("x", 4000-len(spec))
	}
	j := &job{id: jobID(w.rng), queue: "/runs/", body: jobBody{Spec: spec, Steps: []step{{Count: 2200, CPU: 10, MemMb: 1, EstimateMs: 1000, Requirements: "b"}}}}
	if !w.submit(j, 5) {
		return fmt.Errorf("the job was not accepted")
	}
	w.finish([]*job{j}, 14*time.Second, 26*time.Second)
	return nil
}

func unadvised(w *world, program string, trouble bool) error {
	return lasting(w, program, trouble, "/runs/")
}

func advised(w *world, program string, trouble bool) error {
	return lasting(w, program, trouble, "/advised/")
}

// lasting hands in jobs that last and lets their tasks fail at once on the only runner with their label.
func lasting(w *world, program string, trouble bool, queue string) error {
	w.allGood = true
	times := adviceTimes{decide: 200 * time.Millisecond, each: 20 * time.Millisecond, valid: 3 * time.Second}
	if err := w.serveAdvice(times); err != nil {
		return err
	}
	if err := w.open(program, 3, 10); err != nil {
		return err
	}
	for i, r := range w.runners {
		r.labels[0] = "a"
		if i == 0 {
			r.labels[0] = "b"
		}
	}
	if err := w.startAll(); err != nil {
		return err
	}
	w.configure(7, []route{{"runs", "/runs/", 1, maxAttempts, nil}, {"advised", "/advised/", 1, maxAttempts, times.config()}})
	time.Sleep(4 * time.Second)
	var jobs []*job
	for range 2 {
		j := &job{id: jobID(w.rng), queue: queue, body: jobBody{Spec: "lasts=1", Steps: []step{{Count: 4, CPU: 1000, MemMb: 1000, EstimateMs: 500, LongRunning: true, Requirements: "b"}}}}
		if w.submit(j, 5) {
			jobs = append(jobs, j)
		}
	}
	time.Sleep(8 * time.Second)
	if trouble {
		w.record("disrupt: the tasks on %s fail", w.runners[0].id)
		w.runners[0].failAll()
	}
	calm := time.Now()
	w.watchLasting(jobs, calm, 20*time.Second)
	return nil
}

// watchLasting checks that each task that lasts runs: from 6 s after its last run on it may not be
// down for 3 s, if these and the 4 s before them are calm.
func (w *world) watchLasting(jobs []*job, calm time.Time, d time.Duration) {
	failed := map[string]bool{}
	deadline := time.Now().Add(d)
	for time.Now().Before(deadline) {
		w.mu.Lock()
		for _, j := range jobs {
			for i := range j.body.Steps[0].Count {
				task := fmt.Sprintf("%s.0.0.%d", j.id, i)
				t := w.taskState(task)
				last := t.lastChange
				if last.IsZero() {
					last = j.accepted
				}
				from := last.Add(6 * time.Second)
				if start := calm.Add(4 * time.Second); start.After(from) {
					from = start
				}
				if len(t.running) == 0 && !failed[task] && time.Since(from) >= 3*time.Second {
					failed[task] = true
					w.fail("LOST: %s is to last and doesn't run, %v after its last run and %v after the disruption", task, time.Since(last).Round(time.Millisecond), time.Since(calm).Round(time.Millisecond))
				}
			}
		}
		w.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
	}
}

// silent lets the open connections between the agents and their runners go silent after a burst.
func silent(w *world, program string, trouble bool) error {
	w.relayed = true
	if err := w.open(program, 3, 6); err != nil {
		return err
	}
	if err := w.startAll(); err != nil {
		return err
	}
	w.configure(7, plainRoutes)
	time.Sleep(4 * time.Second)
	var watched []*job
	for range 3 {
		j := &job{id: jobID(w.rng), queue: "/runs/", body: jobBody{Spec: "lasts=1", Steps: []step{{Count: 4, CPU: 1000, MemMb: 1000, EstimateMs: 500, LongRunning: true}}}}
		if w.submit(j, 5) {
			watched = append(watched, j)
		}
	}
	time.Sleep(2 * time.Second)
	var wait sync.WaitGroup
	for range 4 {
		j := &job{id: jobID(w.rng), queue: "/runs/", body: jobBody{Spec: "work=600", Steps: []step{{Count: 36, CPU: 500, MemMb: 500, EstimateMs: 600}}}}
		wait.Go(func() { w.submit(j, 5) })
	}
	wait.Wait()
	time.Sleep(4 * time.Second)
	if trouble {
		for i, r := range w.relays {
			w.record("disrupt: %d connections of %s to its runner go silent", r.silence(), w.agents[i].name)
		}
	}
	w.watchLasting(watched, time.Now(), 30*time.Second)
	return nil
}

// silentStore lets the open connections to the store go silent. It is for looking around, not a case.
func silentStore(w *world, program string, trouble bool) error {
	w.storeRelayed = true
	if err := w.open(program, 3, 6); err != nil {
		return err
	}
	if err := w.startAll(); err != nil {
		return err
	}
	w.configure(7, plainRoutes)
	time.Sleep(4 * time.Second)
	j := &job{id: jobID(w.rng), queue: "/runs/", body: jobBody{Spec: "lasts=1", Steps: []step{{Count: 12, CPU: 1000, MemMb: 1000, EstimateMs: 500, LongRunning: true}}}}
	w.submit(j, 5)
	victim := &job{id: jobID(w.rng), queue: "/runs/", body: jobBody{Spec: "lasts=1", Steps: []step{{Count: 2, CPU: 1000, MemMb: 1000, EstimateMs: 500, LongRunning: true}}}}
	w.submit(victim, 5)
	var wait sync.WaitGroup
	for range 60 {
		j := plainJob(w.rng)
		wait.Go(func() { w.submit(j, 5) })
		time.Sleep(10 * time.Millisecond)
	}
	wait.Wait()
	time.Sleep(time.Second)
	if trouble {
		for i, r := range w.storeRelays {
			w.record("disrupt: %d connections of process %d to the store go silent", r.silence(), i)
		}
	}
	begin := time.Now()
	wait.Go(func() { w.cancel(victim, 20); w.record("note: cancelled after %v", time.Since(begin)) })
	for i := range 20 {
		wait.Go(func() {
			time.Sleep(time.Duration(i) * 700 * time.Millisecond)
			j := plainJob(rand.New(rand.NewSource(int64(i) + 77)))
			at := time.Now()
			ok := w.submit(j, 5)
			w.record("note: submitted %t at %v after %v", ok, at.Sub(begin), time.Since(at))
		})
	}
	w.watchLasting([]*job{j}, begin, 25*time.Second)
	wait.Wait()
	return nil
}

// describe kills and restarts the agent of a runner with many runs, and cancels their jobs later.
func describe(w *world, program string, trouble bool) error {
	if err := w.open(program, 3, 6); err != nil {
		return err
	}
	if err := w.startAll(); err != nil {
		return err
	}
	w.configure(7, plainRoutes)
	time.Sleep(4 * time.Second)
	spec := "lasts=1,text="
	spec += strings.Repeat("x", 4000-len(spec))
	var jobs []*job
	for range 40 {
		j := &job{id: jobID(w.rng), queue: "/runs/", body: jobBody{Spec: spec, Steps: []step{{Count: 80, CPU: 10, MemMb: 1, EstimateMs: 1000, LongRunning: true, Requirements: "b"}}}}
		if w.submit(j, 5) {
			jobs = append(jobs, j)
		}
		time.Sleep(300 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	agent, r := w.agents[2], w.runners[2]
	w.record("note: %s runs %d tasks", r.id, len(r.runningTasks()))
	if trouble {
		w.record("disrupt: kill %s", agent.name)
		agent.child.Kill()
		time.Sleep(500 * time.Millisecond)
		if err := agent.child.Start(); err != nil {
			return err
		}
	}
	time.Sleep(10 * time.Second)
	for _, j := range jobs {
		w.cancel(j, 10)
	}
	time.Sleep(3*time.Second + 200*time.Millisecond + 3*time.Second)
	for _, r := range w.runners {
		tasks := r.runningTasks()
		w.record("note: %s runs %d tasks at the end", r.id, len(tasks))
		w.mu.Lock()
		for _, task := range tasks[:min(3, len(tasks))] {
			w.fail("UNASKED: %s runs on %s, over 6 s after the cancelling of its job was acknowledged", task, r.id)
		}
		w.mu.Unlock()
	}
	return nil
}

// successor lets the next runner of a machine take over the address of one that drains, and kills
// all processes of the system soon afterwards.
func successor(w *world, program string, trouble bool) error {
	if err := w.open(program, 3, successorAgents); err != nil {
		return err
	}
	if err := w.startAll(); err != nil {
		return err
	}
	w.configure(7, plainRoutes)
	time.Sleep(4 * time.Second)
	j := &job{id: jobID(w.rng), queue: "/runs/", body: jobBody{Spec: "work=15000", Steps: []step{{Count: 2 * successorAgents, CPU: 4000, MemMb: 4000, EstimateMs: 15000}}}}
	if !w.submit(j, 5) {
		return fmt.Errorf("the job was not accepted")
	}
	time.Sleep(2 * time.Second)
	only := os.Getenv("ONLY")
	if trouble && only != "kill" {
		r := w.runners[0]
		r.drain()
		for acked := false; !acked; time.Sleep(50 * time.Millisecond) {
			r.mu.Lock()
			acked = !r.drainAcked.IsZero()
			r.mu.Unlock()
		}
		time.Sleep(drainTime + 300*time.Millisecond)
		w.runners = append(w.runners, r.handOver())
		time.Sleep(time.Second)
	}
	if trouble && only != "successor" {
		w.record("disrupt: all processes of the system are killed")
		all := append(append([]*process(nil), w.entries...), w.agents...)
		for _, p := range all {
			p.child.Signal(syscall.SIGKILL)
		}
		for _, p := range all {
			p.child.Kill()
		}
		time.Sleep(killedFor)
		for _, p := range all {
			if err := p.child.Start(); err != nil {
				return err
			}
		}
	}
	time.Sleep(20 * time.Second)
	_, state := w.state(j, 5)
	w.record("note: the job is %s", state)
	return nil
}

// successorAgents is such that one runner of them is within the site's share for scale_in, 0.065.
const successorAgents = 16

// killedFor is how long all processes are down, as in the site's kill_all.
const killedFor = time.Second

// drainTime is drainMs.
const drainTime = 2 * time.Second

// starvedGang hands in a job that lasts and whose tasks fail, and a gang that needs the same runners.
func starvedGang(w *world, program string, trouble bool) error {
	if err := w.open(program, 3, 6); err != nil {
		return err
	}
	if err := w.startAll(); err != nil {
		return err
	}
	w.configure(7, plainRoutes)
	time.Sleep(4 * time.Second)
	// The failing job is one of 22, within the site's share for poison, 0.05.
	for range 20 {
		if !w.submit(plainJob(w.rng), 5) {
			return fmt.Errorf("a plain job was not accepted")
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	spec := "work=500"
	if trouble {
		spec += ",hopeless=1"
	}
	lasts := &job{id: jobID(w.rng), queue: "/runs/", body: jobBody{Spec: spec, Steps: []step{{Count: 6, CPU: 1000, MemMb: 1000, EstimateMs: 500, LongRunning: true, Requirements: "b"}}}}
	if !w.submit(lasts, 5) {
		return fmt.Errorf("the job that lasts was not accepted")
	}
	time.Sleep(2 * time.Second)
	gang := &job{id: jobID(w.rng), queue: "/runs/", body: jobBody{Spec: "work=500", Steps: []step{{Count: 4, CPU: 1000, MemMb: 1000, EstimateMs: 500, Gang: true, Requirements: "b"}}}}
	if !w.submit(gang, 5) {
		return fmt.Errorf("the gang was not accepted")
	}
	w.finish([]*job{gang}, 14*time.Second, 60*time.Second)
	return nil
}
