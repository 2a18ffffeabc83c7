// The verb teams shows how much of its quota each team uses.

package operator

import (
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"wasabihill.example/wasabihill/pkg/administration"
)

func newTeams() *cli.Command {
	return &cli.Command{
		Name:     "teams",
		Usage:    "list the teams with their quotas and use",
		Category: categoryViews,
		Description: `With a team's token, only that team is listed.

Examples:
  wasabihill teams`,
		Action: action(teams),
	}
}

func teams(inv *invocation) error {
	return printList(inv, inv.Teams, "TEAM\tUSED\tQUOTA\tMAY BORROW\tPENDING", func(w io.Writer, t administration.Team) {
		borrow := "no"
		if t.MayBorrow {
			borrow = "yes"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\n", t.Name, formatSize(t.Used), formatSize(t.Quota), borrow, t.Pending)
	})
}
