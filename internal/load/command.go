package load

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"
)

const description = `Sends POST requests at planned times and measures latency from the planned
time. Each answer is checked to belong to its request and to be whole; this
needs endpoints like those of wasabihill-standin. Exits with an error when a
check fails.

Examples:
  # 200 requests a second for 30 s through two entry processes
  wasabihill load --target http://127.0.0.1:7001 --target http://127.0.0.1:7002 \
    --service mouldDesk --rate 200 --time 30s

  # half of them must run at most once, all within 250 ms; report as JSON
  wasabihill load --target http://127.0.0.1:7001 --service mouldDesk \
    --rate 500 --time 10s --non-idempotent 0.5 --deadline 250ms --json

  # straight to an endpoint, for comparison
  wasabihill load --target http://127.0.0.1:8080 --rate 200 --time 30s`

// Command is the subcommand load of wasabihill.
func Command() *cli.Command {
	return &cli.Command{
		Name:        "load",
		Usage:       "offer load to a service and check every answer",
		Description: description,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "target", Required: true, Usage: "base URL of an entry process; may be repeated"},
			&cli.StringFlag{Name: "service", Usage: "service to call; empty sends straight to an endpoint"},
			&cli.FloatFlag{Name: "rate", Value: 100, Usage: "planned requests per second"},
			&cli.DurationFlag{Name: "time", Value: 10 * time.Second, Usage: "how long requests are planned"},
			&cli.IntFlag{Name: "in-flight", Value: 256, Usage: "most requests at a time"},
			&cli.IntFlag{Name: "body-bytes", Value: 256, Usage: "length of a request body"},
			&cli.DurationFlag{Name: "deadline", Usage: "deadline of each request; 0 sends none"},
			&cli.FloatFlag{Name: "non-idempotent", Usage: "share of requests that must run at most once, 0 to 1"},
			&cli.BoolFlag{Name: "poisson", Usage: "exponential gaps between requests"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the plan"},
			&cli.StringFlag{Name: "prefix", Usage: "prefix of request ids"},
			&cli.BoolFlag{Name: "json", Usage: "report as JSON"},
		},
		Action: run,
	}
}

func run(ctx context.Context, c *cli.Command) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	r, err := Run(ctx, Options{
		Targets: c.StringSlice("target"), Service: c.String("service"), Rate: c.Float("rate"), Duration: c.Duration("time"),
		MaxInFlight: c.Int("in-flight"), BodyBytes: c.Int("body-bytes"), Deadline: c.Duration("deadline"),
		NonIdempotentShare: c.Float("non-idempotent"), Poisson: c.Bool("poisson"), Seed: c.Uint64("seed"), Prefix: c.String("prefix"),
	})
	if err != nil {
		return err
	}
	write := r.WriteText
	if c.Bool("json") {
		write = r.WriteJSON
	}
	if err := write(c.Root().Writer); err != nil {
		return err
	}
	if len(r.Faults) > 0 {
		return fmt.Errorf("load: answers failed their checks:%s", formatCounts(r.Faults))
	}
	return nil
}
