// Command wasabihill-soak injects faults into running processes of the scheduler
// and checks that the scheduler's guarantees hold.
package main

import (
	"context"
	"fmt"
	"os"

	"wasabihill.example/wasabihill/internal/soak"
)

func main() {
	if err := soak.Command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintf(os.Stderr, "wasabihill-soak: %v\n", err)
		os.Exit(1)
	}
}
