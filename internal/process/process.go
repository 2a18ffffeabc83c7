// Package process implements the commands `wasabihill entry` and `wasabihill
// agent`, which run a process as its settings file describes.
package process

import (
	"context"
	"crypto/rand"
	"net/http"
	"time"

	"github.com/samber/oops"
	"github.com/urfave/cli/v3"
	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/internal/connpool"
	"wasabihill.example/wasabihill/internal/signals"
)

// commandCategory is the help heading of the commands that run a process.
const commandCategory = "processes"

var checkFlag = &cli.BoolFlag{Name: "check", Usage: "check the settings file and exit"}

// settingsPath returns the path of the settings file, the only argument of cmd.
func settingsPath(cmd *cli.Command) (string, error) {
	if cmd.Args().Len() != 1 {
		return "", oops.Code("usage").Hint("run "+cmd.FullName()+" --help").
			Errorf("got %d arguments; want one argument, the path of the settings file", cmd.Args().Len())
	}
	return cmd.Args().First(), nil
}

// runUntilSignal runs fn and cancels its context when a stop is requested. SIGHUP has
// no effect: the settings of these processes are read once.
func runUntilSignal(ctx context.Context, received *signals.Receiver, fn func(context.Context) error) error {
	ctx, stop := received.Context(ctx)
	defer stop()
	go func() {
		for {
			select {
			case <-received.Reload():
				klog.InfoS("SIGHUP has no effect; settings are read at the start")
			case <-ctx.Done():
				return
			}
		}
	}()
	return fn(ctx)
}

// idleConnectionTimeout closes a connection to the log service or to the worker that
// has not been used for this long.
const idleConnectionTimeout = time.Minute

// newHTTPClient returns a client that keeps at most maxIdle unused connections open.
func newHTTPClient(maxIdle int) *http.Client {
	return &http.Client{Transport: &connpool.Pool{New: func() *http.Transport {
		return &http.Transport{MaxIdleConnsPerHost: maxIdle, IdleConnTimeout: idleConnectionTimeout}
	}}}
}

// newIncarnationID returns a random ID for one incarnation of a process. It
// distinguishes the events of successive incarnations on the timeline.
func newIncarnationID() string { return rand.Text()[:8] }
