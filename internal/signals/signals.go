// Package signals receives the signals of a process.
//
// Signals come in series and overlap: SIGTERM twice, SIGHUP while the process stops
// or before it has started. The default action of each of them kills the process
// with its requests in flight, so the handlers stay until the process has exited.
package signals

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"k8s.io/klog/v2"
)

// exitInterrupted is the exit code after a second SIGINT, which shells report for
// a process that SIGINT has killed.
const exitInterrupted = 128 + int(syscall.SIGINT)

// Receiver has the signals that a process has received. It is safe for concurrent
// use.
type Receiver struct {
	stop   chan struct{} // closed by the first SIGTERM or SIGINT
	reload chan os.Signal
}

// Receive begins to receive SIGTERM, SIGINT and SIGHUP, and does so until the
// process exits. Call it once, before anything else. The first SIGTERM or SIGINT
// requests a stop; later ones are ignored. A second SIGINT, which is the user's at a
// terminal, exits the process at once.
func Receive() *Receiver {
	r := &Receiver{stop: make(chan struct{}), reload: make(chan os.Signal, 1)}
	signal.Notify(r.reload, syscall.SIGHUP)
	// SIGTERM has a channel of its own, so that no series of SIGINT or SIGHUP
	// displaces it.
	terminations, interrupts := make(chan os.Signal, 1), make(chan os.Signal, 2)
	signal.Notify(terminations, syscall.SIGTERM)
	signal.Notify(interrupts, os.Interrupt)
	go func() {
		select {
		case received := <-terminations:
			r.requestStop(received)
			<-interrupts
		case received := <-interrupts:
			r.requestStop(received)
		}
		<-interrupts
		os.Exit(exitInterrupted)
	}()
	return r
}

func (r *Receiver) requestStop(received os.Signal) {
	klog.InfoS("stop requested", "signal", received)
	close(r.stop)
}

// Context returns a copy of parent that is cancelled when a stop is requested. It is
// cancelled at once if that has happened before.
func (r *Receiver) Context(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	go func() {
		select {
		case <-r.stop:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// Reload returns a channel that receives a value after SIGHUP. Several signals
// before a receive give one value.
func (r *Receiver) Reload() <-chan os.Signal { return r.reload }
