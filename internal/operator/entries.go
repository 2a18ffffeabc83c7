// The verb entries lists the entry processes and shows which ones are live.

package operator

import (
	"fmt"
	"io"

	"github.com/urfave/cli/v3"
)

func newEntries() *cli.Command {
	return &cli.Command{
		Name:     "entries",
		Usage:    "list the entry processes",
		Category: categoryViews,
		Description: `The process marked with * answered the request.

Examples:
  wasabihill entries`,
		Action: action(entries),
	}
}

func entries(inv *invocation) error {
	if _, err := arguments(inv.cmd); err != nil {
		return err
	}
	list, err := inv.Entries(inv.ctx)
	if err != nil {
		return err
	}
	return inv.print(list, func(w io.Writer) {
		fmt.Fprintln(w, "ENTRY\tDOMAIN\tREGION\tLINK ADDRESS\tSTATE")
		for _, e := range list {
			name, state := string(e.ID), "silent"
			if e.Answering {
				name += " *"
			}
			if e.Live {
				state = "live"
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", name, e.FailureDomain, e.Region, e.LinkAddress, state)
		}
	})
}
