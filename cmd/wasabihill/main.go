// Command wasabihill runs the processes of the scheduler and the verbs of its
// teams and operators.
package main

import (
	"context"
	"os"

	"wasabihill.example/wasabihill/internal/operator"
	"wasabihill.example/wasabihill/internal/process"
)

func main() {
	os.Exit(operator.Main(context.Background(), os.Args, process.Entry(), process.Agent()))
}
