// Package process turns settings files into running processes: the commands
// `wasabihill entry` and `wasabihill agent`.
package process

import (
	"context"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/urfave/cli/v3"

	"wasabihill.example/wasabihill/internal/administration"
	"wasabihill.example/wasabihill/internal/entry"
	"wasabihill.example/wasabihill/internal/settings"
	"wasabihill.example/wasabihill/pkg/logservice"
)

const entryDescription = `Answers callers, teams and operators, follows the log and dispatches tasks.
It keeps nothing on disk. SIGTERM stops it gracefully: readiness goes off, then
requests in flight are answered.

Examples:
  wasabihill entry /etc/wasabihill/entry.json
  wasabihill entry --check /etc/wasabihill/entry.json`

// Entry returns the command that runs an entry process.
func Entry() *cli.Command {
	return &cli.Command{
		Name: "entry", Usage: "run an entry process", ArgsUsage: "SETTINGS", Category: commandCategory, Description: entryDescription,
		Flags: []cli.Flag{
			checkFlag,
			&cli.DurationFlag{Name: "drain-for", Value: 3 * time.Second, Usage: "`TIME` for which readiness is off before listeners close on a planned stop"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			path, err := settingsPath(cmd)
			if err != nil {
				return err
			}
			s, err := settings.LoadEntry(path)
			if err != nil || cmd.Bool(checkFlag.Name) {
				return err
			}
			return runEntry(ctx, s, cmd.Duration("drain-for"))
		},
	}
}

func runEntry(ctx context.Context, s *settings.Entry, drainFor time.Duration) error {
	scope, metrics, closer := administration.NewMetrics(string(s.ID))
	defer closer.Close()
	e := NewEntry(s, scope)
	e.MetricsHandler, e.DrainDelay = metrics, drainFor
	return runUntilSignal(ctx, e.Run)
}

// NewEntry connects the parts of an entry process.
func NewEntry(s *settings.Entry, scope tally.Scope) *entry.Entry {
	return &entry.Entry{
		Settings: s, MetricsScope: scope, NewRequestServer: newRequestServer(s, scope),
		Log: &logservice.Client{
			BaseURL: "http://" + s.LogAddress.String(),
			HTTP:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleLogConnections, IdleConnTimeout: time.Minute}},
		},
	}
}

// logConnections covers three followers and three writers.
const maxIdleLogConnections = 8
