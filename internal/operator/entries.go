// The verb entries lists the entry processes and shows which ones are live.

package operator

import (
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"wasabihill.example/wasabihill/pkg/administration"
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
	return printList(inv, inv.Entries, "ENTRY\tDOMAIN\tREGION\tLINK ADDRESS\tSTATE", func(w io.Writer, e administration.Entry) {
		name, state := string(e.ID), "silent"
		if e.Answering {
			name += " *"
		}
		if e.Live {
			state = "live"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", name, e.FailureDomain, e.Region, e.LinkAddress, state)
	})
}
