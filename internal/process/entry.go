package process

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/urfave/cli/v3"

	"wasabihill.example/wasabihill/internal/administration"
	"wasabihill.example/wasabihill/internal/entry"
	"wasabihill.example/wasabihill/internal/settings"
	"wasabihill.example/wasabihill/internal/signals"
	"wasabihill.example/wasabihill/pkg/logservice"
)

const entryDescription = `Serves callers, teams and operators, reads the log service and dispatches tasks.
It stores nothing on disk. SIGTERM stops it gracefully: it reports that it is not
ready, then closes its listeners and completes the requests in flight. Meanwhile
SIGHUP and further SIGTERM have no effect; a second SIGINT (Ctrl-C) ends it at once.

Examples:
  wasabihill entry /etc/wasabihill/entry.json
  wasabihill entry --check /etc/wasabihill/entry.json`

// Entry returns the command that runs an entry process.
func Entry() *cli.Command {
	return &cli.Command{
		Name: "entry", Usage: "run an entry process", ArgsUsage: "SETTINGS", Category: commandCategory, Description: entryDescription,
		Flags: []cli.Flag{
			checkFlag,
			&cli.DurationFlag{Name: "drain-for", Value: 3 * time.Second, Usage: "least `TIME` between the end of readiness and the closing of the listeners on a planned stop"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			received := signals.Receive()
			path, err := settingsPath(cmd)
			if err != nil {
				return err
			}
			s, err := settings.LoadEntry(path)
			if err != nil || cmd.Bool(checkFlag.Name) {
				return err
			}
			return runEntry(ctx, received, s, cmd.Duration("drain-for"))
		},
	}
}

func runEntry(ctx context.Context, received *signals.Receiver, s *settings.Entry, drainFor time.Duration) error {
	scope, metrics, closer := administration.NewMetrics(string(s.ID))
	defer closer.Close()
	e := NewEntry(s, scope)
	e.MetricsHandler, e.DrainDelay = metrics, drainFor
	return runUntilSignal(ctx, received, e.Run)
}

// NewEntry returns an entry process with its log client and its request server.
func NewEntry(s *settings.Entry, scope tally.Scope) *entry.Entry {
	return &entry.Entry{
		Settings: s, MetricsScope: scope, NewRequestServer: newRequestServer(s, scope),
		Log: &logservice.Client{
			BaseURL: "http://" + s.LogAddress.String(),
			HTTP:    newHTTPClient(maxIdleLogConnections),
		},
	}
}

// maxIdleLogConnections covers the concurrent connections of three followers and
// three writers.
const maxIdleLogConnections = 8
