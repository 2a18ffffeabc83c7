package taskrunner

import (
	"fmt"
	"sync"
	"time"
)

// Run is the record of one run.
type Run struct {
	Task         string
	Attempt      int64
	Runner       string
	Domain       string
	StartTime    time.Time
	EndTime      time.Time // zero while it runs
	End          string    // how it ended; "gone" if its runner restarted or crashed
	Acknowledged bool      // the agent has acknowledged the end
}

// Violation is a start of a task that was already running or completed.
type Violation struct {
	At   time.Time
	Task string
	Text string
}

// runKey identifies a run on a runner.
type runKey struct {
	task    string
	attempt int64
	runner  string
}

// Recorder records the runs of all runners. It is safe for concurrent use.
type Recorder struct {
	mu             sync.Mutex
	runs           []*Run
	newestRun      map[runKey]*Run // the newest run of each key
	running        map[string]*Run
	completed      map[string]*Run      // by task: its newest completed run, or the first acknowledged one
	repeatedStarts map[*Run][]Violation // starts after a completion that is not acknowledged yet
	violations     []Violation
}

// NewRecorder returns a recorder without runs.
func NewRecorder() *Recorder {
	return &Recorder{newestRun: make(map[runKey]*Run), running: make(map[string]*Run), completed: make(map[string]*Run), repeatedStarts: make(map[*Run][]Violation)}
}

func (w *Recorder) recordStart(task string, attempt int64, r *Runner) {
	w.mu.Lock()
	defer w.mu.Unlock()
	x := &Run{Task: task, Attempt: attempt, Runner: r.ID, Domain: r.Domain, StartTime: time.Now()}
	w.runs = append(w.runs, x)
	w.newestRun[runKey{task, attempt, r.ID}] = x
	if previous := w.running[task]; previous != nil {
		w.addViolation(x, "%s attempt %d started on %s while it runs on %s", task, attempt, r.ID, previous.Runner)
	}
	if first := w.completed[task]; first != nil {
		v := Violation{x.StartTime, task, fmt.Sprintf("%s attempt %d started on %s after it was done on %s", task, attempt, r.ID, first.Runner)}
		// A start after a completion is allowed as long as the agent has not
		// acknowledged the completion.
		if first.Acknowledged {
			w.violations = append(w.violations, v)
		} else {
			w.repeatedStarts[first] = append(w.repeatedStarts[first], v)
		}
	}
	w.running[task] = x
}

func (w *Recorder) addViolation(x *Run, format string, args ...any) {
	w.violations = append(w.violations, Violation{x.StartTime, x.Task, fmt.Sprintf(format, args...)})
}

func (w *Recorder) recordEnd(task string, attempt int64, runner, end string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	x := w.newestRun[runKey{task, attempt, runner}]
	if x == nil {
		return
	}
	x.EndTime, x.End = time.Now(), end
	if w.running[task] == x {
		delete(w.running, task)
	}
	if first := w.completed[task]; end == "done" && (first == nil || !first.Acknowledged) {
		w.completed[task] = x
	}
}

// recordAcknowledgement records that the agent has acknowledged the end of a run.
// Starts of the task after that end become violations.
func (w *Recorder) recordAcknowledgement(task string, attempt int64, runner string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	x := w.newestRun[runKey{task, attempt, runner}]
	if x == nil {
		return
	}
	x.Acknowledged = true
	w.violations = append(w.violations, w.repeatedStarts[x]...)
	delete(w.repeatedStarts, x)
}

// Runs returns all runs in the order of their starts.
func (w *Recorder) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := make([]Run, len(w.runs))
	for i, x := range w.runs {
		all[i] = *x
	}
	return all
}

// Violations returns the violations found so far.
func (w *Recorder) Violations() []Violation {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Violation(nil), w.violations...)
}

// ViolationTexts returns the texts of the violations.
func (w *Recorder) ViolationTexts() []string {
	var texts []string
	for _, v := range w.Violations() {
		texts = append(texts, v.Text)
	}
	return texts
}

// CompletedTasks returns the number of the job's tasks that have completed.
func (w *Recorder) CompletedTasks(job string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return countTasks(w.completed, job)
}

// RunningTasks returns the number of the job's tasks that are running.
func (w *Recorder) RunningTasks(job string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return countTasks(w.running, job)
}

func countTasks(tasks map[string]*Run, job string) int {
	n := 0
	for task := range tasks {
		if jobOf(task) == job {
			n++
		}
	}
	return n
}

// StartCount returns the number of runs of the job that were started.
func (w *Recorder) StartCount(job string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, x := range w.runs {
		if jobOf(x.Task) == job {
			n++
		}
	}
	return n
}
