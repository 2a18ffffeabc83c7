package process

import (
	"context"
	"crypto/rand"
	"os"
	"os/signal"
	"syscall"

	"github.com/samber/oops"
	"github.com/urfave/cli/v3"
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

// runUntilSignal runs fn and cancels its context when the process receives SIGINT
// or SIGTERM. A second signal terminates the process immediately.
func runUntilSignal(ctx context.Context, fn func(context.Context) error) error {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	go func() {
		<-ctx.Done()
		stop()
	}()
	return fn(ctx)
}

// newIncarnationID returns a random ID for one incarnation of a process. It
// distinguishes the events of successive incarnations on the timeline.
func newIncarnationID() string { return rand.Text()[:8] }
