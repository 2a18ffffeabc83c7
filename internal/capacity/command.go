// Package capacity measures the cost of the control plane for clusters of
// different sizes: the processor time, memory and traffic of agents and entry
// processes, and the appends to the log service. It runs the product's own code
// against stand-ins of the platform over loopback. All agents run in one process
// and all entry processes in another, so that the operating system accounts for
// each role separately.
package capacity

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"
)

// Command returns the root command of wasabihill-capacity.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "wasabihill-capacity",
		Usage: "measure the cost of control",
		Commands: []*cli.Command{
			clusterCommand(),
			recoveryCommand(),
			{Name: "role", Hidden: true, Commands: []*cli.Command{
				{Name: "entries", Action: func(ctx context.Context, _ *cli.Command) error { return serveChild(ctx, startEntries) }},
				{Name: "agents", Action: func(ctx context.Context, _ *cli.Command) error { return serveChild(ctx, startAgents) }},
			}},
		},
	}
}

func clusterCommand() *cli.Command {
	return &cli.Command{
		Name:  "cluster",
		Usage: "measure agents, entry processes and the log of one cluster",
		Description: `Measures an idle window, one with long tasks running and one in which short tasks start.

Example:
  wasabihill-capacity cluster --workers 100 --entries 3 --starts 98`,
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "workers", Value: 11, Usage: "workers, each with an agent"},
			&cli.IntFlag{Name: "entries", Value: 3, Usage: "entry processes"},
			&cli.IntFlag{Name: "tasks", Value: 10, Usage: "long tasks per worker; 0 skips the window"},
			&cli.FloatFlag{Name: "starts", Usage: "short tasks per second; 0 skips the window"},
			&cli.IntFlag{Name: "job-tasks", Value: 10, Usage: "tasks of each short job"},
			&cli.FloatFlag{Name: "rate", Value: 400, Usage: "appends per second that the log accepts"},
			&cli.DurationFlag{Name: "window", Value: 15 * time.Second, Usage: "length of each window"},
			&cli.IntFlag{Name: "changes", Value: 3, Usage: "documents to publish"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			r, err := Measure(ctx, Options{
				Workers: c.Int("workers"), Entries: c.Int("entries"), Tasks: c.Int("tasks"), Starts: c.Float("starts"), JobTasks: c.Int("job-tasks"),
				Rate: c.Float("rate"), Window: c.Duration("window"), Changes: c.Int("changes"),
			})
			if printErr := r.Print(os.Stdout); err == nil {
				err = printErr
			}
			if err != nil {
				return fmt.Errorf("measure: %w", err)
			}
			return nil
		},
	}
}

func recoveryCommand() *cli.Command {
	return &cli.Command{
		Name:  "recovery",
		Usage: "measure how an entry process without state loads a day of jobs",
		Flags: []cli.Flag{
			&cli.FloatSliceFlag{Name: "scale", Value: []float64{0.25, 0.5, 1}, Usage: "shares of 13,000 jobs with 10,400 running tasks"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			for _, scale := range c.FloatSlice("scale") {
				r, err := Recover(ctx, scale)
				if err != nil {
					return fmt.Errorf("recovery at scale %g: %w", scale, err)
				}
				r.Print(os.Stdout)
			}
			return nil
		},
	}
}
