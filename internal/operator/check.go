// The verb check works without a server, so that a document can be checked before
// it is published or committed to version control.

package operator

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"wasabihill.example/wasabihill/pkg/administration"
	"wasabihill.example/wasabihill/pkg/environment"
)

func newCheck() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a document and list every error in it",
		ArgsUsage: "FILE",
		Category:  categoryDocuments,
		Description: `Checks FILE ("-" is standard input). With a server, the document is also
checked against the document in force and the running work, and its changes are
listed.

Examples:
  wasabihill check production.json
  wasabihill --server 10.0.1.7:7002 check production.json`,
		Action: check,
	}
}

func check(ctx context.Context, cmd *cli.Command) error {
	args, err := arguments(cmd, "FILE")
	if err != nil {
		return err
	}
	text, err := readInput(cmd, args[0])
	if err != nil {
		return err
	}
	document, err := environment.Parse(args[0], text)
	if err != nil {
		return invalidDocument(cmd.Name, environment.Problems(err))
	}
	if len(cmd.StringSlice("server")) == 0 {
		inv := &invocation{ctx: ctx, cmd: cmd}
		if err := inv.checkOutput(); err != nil {
			return err
		}
		return inv.printChecked(args[0], administration.Checked{Problems: []environment.Problem{}, Changes: []environment.Change{}})
	}
	inv, err := connect(ctx, cmd)
	if err != nil {
		return err
	}
	checked, err := inv.Check(ctx, document.Environment, args[0], text)
	if err != nil {
		return err
	}
	if len(checked.Problems) > 0 {
		return invalidDocument(cmd.Name, checked.Problems)
	}
	return inv.printChecked(args[0], checked)
}

// invalidDocument returns the error of verb for a document with problems.
func invalidDocument(verb string, problems []environment.Problem) error {
	return &administration.Error{Op: verb, Kind: administration.KindInvalid,
		Message: formatCount(len(problems), "error"), Details: administration.Details{Problems: problems}}
}

func (inv *invocation) printChecked(file string, checked administration.Checked) error {
	return inv.print(checked, func(w io.Writer) {
		fmt.Fprintf(w, "%s is valid\n", file)
		if checked.Base != 0 {
			fmt.Fprintf(w, "%s against version %d\n", formatCount(len(checked.Changes), "change"), checked.Base)
		}
		writeChanges(w, checked.Changes)
	})
}
