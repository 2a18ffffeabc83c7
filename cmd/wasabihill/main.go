// Command wasabihill runs the processes of the scheduler and the verbs of its
// teams and operators.
package main

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"wasabihill.example/wasabihill/internal/load"
	"wasabihill.example/wasabihill/internal/operator"
	"wasabihill.example/wasabihill/internal/process"
)

// processes returns the commands besides the operators' verbs.
func processes() []*cli.Command {
	return []*cli.Command{process.Entry(), process.Agent(), load.Command()}
}

func main() {
	os.Exit(operator.Main(context.Background(), os.Args, processes()...))
}
