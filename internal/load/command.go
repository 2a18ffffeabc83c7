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
time. Checks that each response is complete and belongs to its request; this
requires endpoints like those of wasabihill-standin. Exits with an error when a
check fails.

Examples:
  # 200 requests a second for 30 s through two entry processes
  wasabihill load --target http://127.0.0.1:7001 --target http://127.0.0.1:7002 \
    --service mouldDesk --rate 200 --time 30s

  # half of the requests are non-idempotent, all have a deadline of 250 ms;
  # report as JSON
  wasabihill load --target http://127.0.0.1:7001 --service mouldDesk \
    --rate 500 --time 10s --non-idempotent 0.5 --deadline 250ms --json

  # directly to an endpoint, for comparison
  wasabihill load --target http://127.0.0.1:8080 --rate 200 --time 30s`

// Command returns the load subcommand of wasabihill.
func Command() *cli.Command {
	return &cli.Command{
		Name:        "load",
		Usage:       "send load to a service and check every response",
		Description: description,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "target", Required: true, Usage: "base URL of an entry process; may be repeated"},
			&cli.StringFlag{Name: "service", Usage: "service to call; if empty, the targets are endpoints"},
			&cli.FloatFlag{Name: "rate", Value: 100, Usage: "planned requests per second"},
			&cli.DurationFlag{Name: "time", Value: 10 * time.Second, Usage: "how long requests are sent"},
			&cli.IntFlag{Name: "in-flight", Value: 256, Usage: "maximum number of concurrent requests"},
			&cli.IntFlag{Name: "body-bytes", Value: 256, Usage: "size of each request body"},
			&cli.DurationFlag{Name: "deadline", Usage: "deadline of each request; 0 for none"},
			&cli.FloatFlag{Name: "non-idempotent", Usage: "share of non-idempotent requests, 0 to 1"},
			&cli.BoolFlag{Name: "poisson", Usage: "use exponentially distributed gaps between requests"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the request schedule"},
			&cli.StringFlag{Name: "prefix", Usage: "prefix of request IDs"},
			&cli.BoolFlag{Name: "json", Usage: "write the report as JSON"},
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
		return fmt.Errorf("load: responses failed their checks:%s", formatCounts(r.Faults))
	}
	return nil
}
