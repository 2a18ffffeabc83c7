// Command wasabihill-acceptance plans and drives the acceptance run, a shortened
// day of both firms, that `make run` starts.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"wasabihill.example/wasabihill/internal/acceptance"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := acceptance.Command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "wasabihill-acceptance:", err)
		os.Exit(1)
	}
}
