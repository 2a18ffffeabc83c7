// Package childprocess runs programs of the project under test: it starts them,
// signals them, and ends only what it has started.
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

// Kind tells errors of this package apart.
type Kind string

// The kinds of Error.
const (
	AlreadyRunning Kind = "running"    // the process runs already
	NotStarted     Kind = "notStarted" // the program or its log can't be opened
)

// Process is a program that is started, stopped and started again. Set the
// exported fields before Start. It is safe for concurrent use.
type Process struct {
	Name    string
	Args    []string // the program and its arguments
	Env     []string // added to the environment
	LogPath string   // file that the output is appended to

	mu     sync.Mutex
	cmd    *exec.Cmd // nil while it does not run
	exited chan struct{}
}

// starts runs on one locked thread for the life of this process: Linux
// delivers Pdeathsig when the thread that started the child ends.
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

// Start starts the process. It appends its output to the process's log file.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return fault.New("start "+p.Name, AlreadyRunning, "it runs already")
	}
	log, err := os.OpenFile(p.LogPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return fault.Wrap("start "+p.Name, NotStarted, err)
	}
	defer log.Close()
	command := exec.Command(p.Args[0], p.Args[1:]...)
	command.Env = append(os.Environ(), p.Env...)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error, 1)
	starterQueue() <- func() { started <- command.Start() }
	if err := <-started; err != nil {
		return fault.Wrap("start "+p.Name, NotStarted, err)
	}
	ended := make(chan struct{})
	go func() {
		_ = command.Wait() // how it ended is in its log
		close(ended)
	}()
	p.cmd, p.exited = command, ended
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

// Kill ends the process without notice and waits for its end.
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

// Terminate asks the process to stop, kills it when it has not ended within
// grace, and reports whether it ended by itself.
func (p *Process) Terminate(grace time.Duration) bool {
	p.Signal(syscall.SIGTERM)
	p.mu.Lock()
	ended := p.exited
	p.mu.Unlock()
	if ended == nil {
		return true
	}
	byItself := true
	select {
	case <-ended:
	case <-time.After(grace):
		byItself = false
	}
	p.Kill()
	return byItself
}

// Ended reports whether the process ended without Kill or Terminate.
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
