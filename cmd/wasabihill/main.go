// Command wasabihill runs the processes of the scheduler and the verbs with which
// teams and operators control it.
package main

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"wasabihill.example/wasabihill/internal/load"
	"wasabihill.example/wasabihill/internal/operator"
	"wasabihill.example/wasabihill/internal/process"
)

// extraCommands returns the commands besides the verbs of teams and operators.
func extraCommands() []*cli.Command {
	return []*cli.Command{process.Entry(), process.Agent(), load.Command()}
}

func main() {
	os.Exit(operator.Main(context.Background(), os.Args, extraCommands()...))
}
