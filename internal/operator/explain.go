// The verb explain reads log files and needs no server.

package operator

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"wasabihill.example/wasabihill/internal/explain"
)

const explainDescription = `Merges the logs of several processes by time and prints the lines that name the
job, marked with *. Between them it prints changes that affect every job, such as
a new leader, a worker that was declared lost or a store that did not respond, and
lines that tell where a process omitted lines from its log. It reads files and
needs no server.

Examples:
  wasabihill explain 5c0e7a21d94b36f8 edge-1.log edge-2.log agent-7.log`

func newExplain() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "show what happened to a job according to log files", ArgsUsage: "ID LOGFILE...", Category: categoryViews,
		Description: explainDescription,
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() < 2 {
				return usageErrorf("run wasabihill explain --help", "got %d arguments; want the ID of a job and at least one log file", cmd.Args().Len())
			}
			return printExplanation(cmd, cmd.Args().First(), cmd.Args().Tail())
		},
	}
}

func printExplanation(cmd *cli.Command, id string, files []string) error {
	var lines []explain.Line
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return err
		}
		read, err := explain.Read(file, name)
		file.Close()
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		lines = append(lines, read...)
	}
	path := explain.Select(id, lines)
	if len(path) == 0 {
		return fmt.Errorf("none of the %d log lines names job %s", len(lines), id)
	}
	return explain.Write(cmd.Root().Writer, id, path)
}
