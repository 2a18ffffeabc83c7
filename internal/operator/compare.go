// The verb compare compares files without a server, so that a change can be
// reviewed before it is published.

package operator

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"wasabihill.example/wasabihill/pkg/environment"
	"wasabihill.example/wasabihill/pkg/units"
)

func newCompare() *cli.Command {
	return &cli.Command{
		Name:      "compare",
		Usage:     "list the fields that differ between two documents",
		ArgsUsage: "[FILE FILE]",
		Category:  categoryDocuments,
		Description: `Compares two files, or two published versions of an environment.

Examples:
  wasabihill compare trial.json production.json
  wasabihill compare -e production --from 1042
  wasabihill compare -e production --from 1042 --to 1050`,
		Flags: []cli.Flag{
			environmentFlag(),
			&cli.Uint64Flag{Name: "from", Usage: "`VERSION` to compare from; the version in force when omitted"},
			&cli.Uint64Flag{Name: "to", Usage: "`VERSION` to compare with; the version in force when omitted"},
		},
		Action: compare,
	}
}

func compare(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Present() {
		return compareFiles(ctx, cmd)
	}
	if !cmd.IsSet("from") && !cmd.IsSet("to") {
		return usageErrorf("run wasabihill compare --help", "want two files, or at least one of --from and --to")
	}
	env, err := environmentOf(cmd)
	if err != nil {
		return err
	}
	inv, err := connect(ctx, cmd)
	if err != nil {
		return err
	}
	changes, err := inv.Compare(ctx, env, units.Offset(cmd.Uint64("from")), units.Offset(cmd.Uint64("to")))
	if err != nil {
		return err
	}
	return inv.printChanges(changes)
}

func compareFiles(ctx context.Context, cmd *cli.Command) error {
	args, err := arguments(cmd, "FILE", "FILE")
	if err != nil {
		return err
	}
	inv := &invocation{ctx: ctx, cmd: cmd}
	if err := inv.checkOutput(); err != nil {
		return err
	}
	var documents [2]*environment.Document
	var problems []environment.Problem
	for i, path := range args {
		text, err := readInput(cmd, path)
		if err != nil {
			return err
		}
		documents[i], err = environment.Parse(path, text)
		problems = append(problems, environment.Problems(err)...)
	}
	if len(problems) > 0 {
		return invalidDocument(cmd.Name, problems)
	}
	return inv.printChanges(environment.Compare(documents[0], documents[1]))
}

func (inv *invocation) printChanges(changes []environment.Change) error {
	if changes == nil {
		changes = []environment.Change{}
	}
	return inv.print(changes, func(w io.Writer) {
		if len(changes) == 0 {
			fmt.Fprintln(w, "no differences")
		}
		for _, c := range changes {
			fmt.Fprintln(w, c)
		}
	})
}
