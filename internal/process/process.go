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

// category is the heading of the processes in the help.
const commandCategory = "processes"

var checkFlag = &cli.BoolFlag{Name: "check", Usage: "check the settings and exit"}

// settingsPath returns the only argument.
func settingsPath(cmd *cli.Command) (string, error) {
	if cmd.Args().Len() != 1 {
		return "", oops.Code("usage").Hint("run "+cmd.FullName()+" --help").
			Errorf("got %d arguments; want the path of one settings file", cmd.Args().Len())
	}
	return cmd.Args().First(), nil
}

// interruptible runs fn until it returns or the process gets SIGINT or SIGTERM;
// a second signal ends the process at once.
func runUntilSignal(ctx context.Context, fn func(context.Context) error) error {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	go func() {
		<-ctx.Done()
		stop()
	}()
	return fn(ctx)
}

// runID tells runs of one process apart on the time line.
func newIncarnationID() string { return rand.Text()[:8] }
