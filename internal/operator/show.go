// The verb show prints the text of a document with its comments, so that it can be
// edited.

package operator

import (
	"fmt"
	"io"
	"strings"

	"github.com/urfave/cli/v3"

	"wasabihill.example/wasabihill/pkg/units"
)

func newShow() *cli.Command {
	return &cli.Command{
		Name:     "show",
		Usage:    "print the document of an environment, or its history",
		Category: categoryDocuments,
		Description: `The first line of the output is a comment with the version. The output can be
edited and published as it is.

Examples:
  wasabihill show -e production > production.json
  wasabihill show -e production --version-number 1042
  wasabihill show -e production --history`,
		Flags: []cli.Flag{
			environmentFlag(),
			&cli.Uint64Flag{Name: "version-number", Usage: "`VERSION` to print; the version in force when omitted"},
			&cli.BoolFlag{Name: "history", Usage: "list the versions instead of printing a document"},
			&cli.IntFlag{Name: "limit", Value: 20, Usage: "list only the newest `NUMBER` of versions"},
		},
		Action: action(show),
	}
}

func show(inv *invocation) error {
	if _, err := arguments(inv.cmd); err != nil {
		return err
	}
	env, err := environmentOf(inv.cmd)
	if err != nil {
		return err
	}
	if inv.cmd.Bool("history") {
		return inv.showHistory(env)
	}
	d, err := inv.Document(inv.ctx, env, units.Offset(inv.cmd.Uint64("version-number")))
	if err != nil {
		return err
	}
	if inv.cmd.String("output") == "json" {
		return inv.print(d, nil)
	}
	text := d.Text
	if strings.HasPrefix(text, versionComment) { // left from the output that was edited
		_, text, _ = strings.Cut(text, "\n")
	}
	_, err = fmt.Fprintf(inv.cmd.Root().Writer, "%s%d of %s, published by %s\n%s\n", versionComment, d.Version, d.Environment, d.Author, strings.TrimRight(text, "\n"))
	return err
}

// versionComment is the beginning of the first line of the output.
const versionComment = "// wasabihill version "

func (inv *invocation) showHistory(env units.EnvironmentName) error {
	list, err := inv.History(inv.ctx, env, inv.cmd.Int("limit"))
	if err != nil {
		return err
	}
	return inv.print(list, func(w io.Writer) {
		fmt.Fprintln(w, "VERSION\tAUTHOR")
		for _, d := range list {
			fmt.Fprintf(w, "%d\t%s\n", d.Version, d.Author)
		}
	})
}
