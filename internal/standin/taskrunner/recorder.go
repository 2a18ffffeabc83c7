package taskrunner

import (
	"fmt"
	"sync"
	"time"
)

// Run is what the witness saw of one run.
type Run struct {
	Task         string
	Attempt      int64
	Runner       string
	Domain       string
	StartTime    time.Time
	EndTime      time.Time // zero while it runs
	End          string    // it ended; "gone" with its runner
	Acknowledged bool      // the agent has acknowledged the end
}

// Violation is a broken promise.
type Violation struct {
	At   time.Time
	Task string
	Text string
}

// attemptOn names a run on a runner.
type runKey struct {
	task    string
	attempt int64
	runner  string
}

// Witness sees every run of every runner.
type Recorder struct {
	mu             sync.Mutex
	runs           []*Run
	newestRun      map[runKey]*Run // the newest run of each
	running        map[string]*Run
	completed      map[string]*Run      // the newest end of that kind
	repeatedStarts map[*Run][]Violation // starts after an end that nobody has acknowledged yet
	violations     []Violation
}

// NewWitness returns a witness that has seen nothing.
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
		// Repeating what nobody has learned of is allowed, until somebody does.
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

// noted records that the agent has acknowledged an end.
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

// Violations returns the promises that were broken.
func (w *Recorder) Violations() []Violation {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Violation(nil), w.violations...)
}

// Broken returns the texts of the violations.
func (w *Recorder) ViolationTexts() []string {
	var texts []string
	for _, v := range w.Violations() {
		texts = append(texts, v.Text)
	}
	return texts
}

// Done returns how many tasks of the job have ended well.
func (w *Recorder) CompletedTasks(job string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return countTasks(w.completed, job)
}

// Live returns how many tasks of the job run.
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

// Starts returns how often runs of the job were started.
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
