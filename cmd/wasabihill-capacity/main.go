// Command wasabihill-capacity measures the cost of the control plane as the number
// of workers, entry processes and task starts grows.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"wasabihill.example/wasabihill/internal/capacity"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := capacity.Command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "wasabihill-capacity:", err)
		os.Exit(1)
	}
}
