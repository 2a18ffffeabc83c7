// Command wasabihill-standin runs stand-ins for the platform's log service, worker
// and endpoint, for tests and `make run`.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"wasabihill.example/wasabihill/internal/operator"
	"wasabihill.example/wasabihill/internal/standin/endpoint"
	"wasabihill.example/wasabihill/internal/standin/logservice"
	"wasabihill.example/wasabihill/internal/standin/worker"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cli.Command{
		Name:                  "wasabihill-standin",
		Usage:                 "run stand-ins for the platform's log service, worker and endpoint",
		Version:               operator.Version,
		EnableShellCompletion: true,
		Commands:              []*cli.Command{logservice.Command(), worker.Command(), endpoint.Command()},
	}
	if err := root.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "wasabihill-standin:", err)
		os.Exit(1)
	}
}
