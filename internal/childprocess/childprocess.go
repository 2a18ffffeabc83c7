// Package childprocess runs programs of the project for tests. It starts and
// signals processes, and terminates only those that it started.
package childprocess

import (
	"os"
	"os/exec"
	"runtime"
	"sync"
	"syscall"
	"time"

	"wasabihill.example/wasabihill/internal/fault"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of Error.
const (
	AlreadyRunning Kind = "running"    // the process is already running
	NotStarted     Kind = "notStarted" // the log can't be opened or the program can't be started
)

// Process runs a program, which can be started again after it was stopped. Set the
// exported fields before Start. A Process is safe for concurrent use.
type Process struct {
	Name    string
	Args    []string // the program and its arguments
	Env     []string // added to the environment of this process
	LogPath string   // file to which standard output and standard error are appended

	mu     sync.Mutex
	cmd    *exec.Cmd // nil before Start and after Kill or Terminate
	exited chan struct{}
	result *error // of the process; set once exited is closed, nil for exit code 0
}

// starterQueue returns the queue of functions that start children. They run on one
// thread that is locked as long as this process lives, because Linux sends
// Pdeathsig to a child when the thread that started it ends.
var starterQueue = sync.OnceValue(func() chan func() {
	queue := make(chan func())
	go func() {
		runtime.LockOSThread()
		for start := range queue {
			start()
		}
	}()
	return queue
})

// Start starts the process. Its output is appended to the log file. The child is
// killed when this process ends.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return fault.New("start "+p.Name, AlreadyRunning, "the process is already running")
	}
	logFile, err := os.OpenFile(p.LogPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return fault.Wrap("start "+p.Name, NotStarted, err)
	}
	defer logFile.Close()
	cmd := exec.Command(p.Args[0], p.Args[1:]...)
	cmd.Env = append(os.Environ(), p.Env...)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error, 1)
	starterQueue() <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		return fault.Wrap("start "+p.Name, NotStarted, err)
	}
	exited := make(chan struct{})
	result := new(error)
	go func() {
		*result = cmd.Wait()
		close(exited)
	}()
	p.cmd, p.exited, p.result = cmd, exited, result
	return nil
}

// Signal sends a signal to the running process.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// Kill sends SIGKILL to the process and waits until it has exited.
func (p *Process) Kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	_ = p.cmd.Process.Kill()
	<-p.exited
	p.cmd = nil
}

// Terminate sends SIGTERM to the process and kills it if it has not exited within
// the grace period. It reports whether the process exited within that period.
func (p *Process) Terminate(grace time.Duration) bool {
	p.Signal(syscall.SIGTERM)
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited == nil {
		return true
	}
	exitedInTime := true
	select {
	case <-exited:
	case <-time.After(grace):
		exitedInTime = false
	}
	p.Kill()
	return exitedInTime
}

// Result returns how the last process ended: nil for exit code 0, and otherwise an
// error with the exit code or the signal. Call it after Kill or Terminate.
func (p *Process) Result() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.result == nil {
		return nil
	}
	<-p.exited
	return *p.result
}

// Exited reports whether the process has exited without a call of Kill or Terminate.
func (p *Process) Exited() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}
