// The verb teams shows how much of its quota each team uses.

package operator

import (
	"fmt"
	"io"

	"github.com/urfave/cli/v3"
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
	if _, err := arguments(inv.cmd); err != nil {
		return err
	}
	list, err := inv.Teams(inv.ctx)
	if err != nil {
		return err
	}
	return inv.print(list, func(w io.Writer) {
		fmt.Fprintln(w, "TEAM\tUSED\tQUOTA\tMAY BORROW\tPENDING")
		for _, t := range list {
			borrow := "no"
			if t.MayBorrow {
				borrow = "yes"
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\n", t.Name, formatSize(t.Used), formatSize(t.Quota), borrow, t.Pending)
		}
	})
}
