package endpoint

import (
	"context"
	"fmt"
	"maps"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"
)

const description = `Serves every path, echoes the header Request-Id and a digest of the body, and
records executed request ids (GET /v1/executed). SIGTERM makes it leave:
it announces that, finishes its requests and exits.

Faults: resetBefore, resetAfter (the execution), silentBefore, silent, slow,
truncated, duplicate, error; by header "Fault" for one request, or for a share of them.

Examples:
  # A runner of mouldDesk beside the agent that listens on 127.0.0.1:7201
  wasabihill-standin endpoint --service mouldDesk --agent http://127.0.0.1:7201

  # 20 ms on average, widely spread; one response in a hundred is truncated
  wasabihill-standin endpoint --service mouldDesk --agent http://127.0.0.1:7201 \
    --service-time 20ms --spread 0.8 --fault truncated --fault-share 0.01

  # What was executed, for a checker
  curl http://127.0.0.1:8080/v1/executed`

// Command returns the subcommand that runs an Endpoint.
func Command() *cli.Command {
	return &cli.Command{
		Name:        "endpoint",
		Usage:       "stand in for an endpoint of a service",
		Description: description,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "service", Required: true, Usage: "name of the service"},
			&cli.StringFlag{Name: "address", Value: "127.0.0.1:0", Usage: "IP:port to listen on"},
			&cli.StringFlag{Name: "agent", Usage: "base URL of the agent's announcement listener"},
			&cli.IntFlag{Name: "slots", Value: 8, Usage: "requests served at a time"},
			&cli.IntFlag{Name: "connections", Value: 64, Usage: "connections accepted"},
			&cli.DurationFlag{Name: "service-time", Value: 5 * time.Millisecond, Usage: "median service time"},
			&cli.FloatFlag{Name: "spread", Usage: "sigma of the log-normal service time; 0 for a constant one"},
			&cli.IntFlag{Name: "response-bytes", Usage: "length of a response body"},
			&cli.StringFlag{Name: "fault", Usage: "fault to inject"},
			&cli.FloatFlag{Name: "fault-share", Usage: "share of requests with the fault, 0 to 1"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of service times and faults"},
		},
		Action: run,
	}
}

func run(ctx context.Context, c *cli.Command) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if name := c.String("fault"); name != "" && faults[name] == nil {
		return fmt.Errorf("--fault %q: unknown fault; want one of: %s", name, strings.Join(slices.Sorted(maps.Keys(faults)), ", "))
	}
	e, err := New(Options{
		Service: c.String("service"), Address: c.String("address"), Agent: c.String("agent"),
		Slots: c.Int("slots"), Connections: c.Int("connections"),
		ServiceTime: c.Duration("service-time"), Spread: c.Float("spread"), ResponseBytes: c.Int("response-bytes"),
		Fault: c.String("fault"), FaultShare: c.Float("fault-share"), Seed: c.Uint64("seed"),
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(c.Root().Writer, "endpoint of %s listens on %s\n", c.String("service"), e.Address())
	return e.Run(ctx)
}
