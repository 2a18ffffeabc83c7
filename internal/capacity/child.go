package capacity

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"time"

	"k8s.io/klog/v2"
)

// A child is a process of the measurement that runs one role, so that the
// operating system accounts for each role separately. The parent writes a line to
// request a sample and closes the pipe to stop the child.

// stopTimeout is the time after which a child that has not stopped is killed.
const stopTimeout = 20 * time.Second

type child struct {
	command *exec.Cmd
	input   io.WriteCloser
	output  *bufio.Scanner
}

// startChild starts this program as a child process in the given role, sends it
// its settings, and decodes the first line of its output into ready.
func startChild(ctx context.Context, role string, settings, ready any) (*child, error) {
	encoded, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	c := &child{command: exec.CommandContext(ctx, program, "role", role)}
	c.command.Stderr = os.Stderr
	c.command.Env = append(os.Environ(), "GOMAXPROCS=4")
	if c.input, err = c.command.StdinPipe(); err != nil {
		return nil, err
	}
	output, err := c.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	c.output = bufio.NewScanner(output)
	c.output.Buffer(nil, 1<<20)
	if err := c.command.Start(); err != nil {
		return nil, err
	}
	if _, err := c.input.Write(append(encoded, '\n')); err != nil {
		return nil, err
	}
	return c, c.read(ready)
}

// read decodes the next reply.
func (c *child) read(into any) error {
	if err := readJSONLine(c.output, into); err != nil {
		return fmt.Errorf("read reply of child process: %w", err)
	}
	return nil
}

// readJSONLine decodes the next line into a value. The error is io.ErrUnexpectedEOF if the
// input has ended.
func readJSONLine(lines *bufio.Scanner, into any) error {
	if !lines.Scan() {
		return cmp.Or(lines.Err(), io.ErrUnexpectedEOF)
	}
	return json.Unmarshal(lines.Bytes(), into)
}

// reportEnd reports that a component of a child process has failed. It writes to standard
// error, because the parent decodes standard output as JSON.
func reportEnd(component string, err error) {
	fmt.Fprintf(os.Stderr, "wasabihill-capacity: %s ended: %v\n", component, err)
}

// Detail selects the contents of a sample.
type Detail string

// The details. Reading the traffic of thousands of connections takes tens of
// milliseconds, which is too long for polling.
const (
	CountersOnly Detail = "counted"   // only the counters
	Full         Detail = "full"      // everything
	FullAfterGC  Detail = "collected" // everything, after a garbage collection
)

// sample requests a sample and waits for it.
func (c *child) sample(detail Detail) (s Sample, err error) {
	if _, err := io.WriteString(c.input, string(detail)+"\n"); err != nil {
		return s, err
	}
	err = c.read(&s)
	return s, err
}

// stop ends the child and waits until it has ended. It kills a child that does not end
// within stopTimeout.
func (c *child) stop() {
	c.input.Close()
	kill := time.AfterFunc(stopTimeout, func() { _ = c.command.Process.Kill() })
	defer kill.Stop()
	_ = c.command.Wait()
}

// serveChild runs in the child process: it reads the settings, starts the role,
// reports that it is ready, and replies with samples until the parent closes the
// pipe.
func serveChild[S any](ctx context.Context, start func(context.Context, S) (ready any, sample func(Detail) Sample, stop func(), err error)) error {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard) // each entry process logs each document
	input := bufio.NewScanner(os.Stdin)
	input.Buffer(nil, 1<<20)
	var settings S
	if err := readJSONLine(input, &settings); err != nil {
		return fmt.Errorf("read settings from the parent process: %w", err)
	}
	ready, sample, stop, err := start(ctx, settings)
	if err != nil {
		return err
	}
	defer stop()
	output := json.NewEncoder(os.Stdout)
	if err := output.Encode(ready); err != nil {
		return err
	}
	for input.Scan() {
		if err := output.Encode(sample(Detail(input.Text()))); err != nil {
			return err
		}
	}
	return nil
}
