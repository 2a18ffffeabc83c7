// The verb jobs lists jobs.

package operator

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"wasabihill.example/wasabihill/pkg/administration"
	"wasabihill.example/wasabihill/pkg/units"
)

func newJobs() *cli.Command {
	return &cli.Command{
		Name:     "jobs",
		Usage:    "list jobs, newest first",
		Category: categoryJobs,
		Description: `With a team's token, only that team's jobs are listed.

Examples:
  wasabihill jobs --state running
  wasabihill jobs --team moulds --limit 10 -o json`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "team", Usage: "only jobs of the team `NAME`"},
			&cli.StringFlag{Name: "state", Usage: "only jobs in `STATE`: pending, running, completed, failed or cancelled"},
			&cli.IntFlag{Name: "limit", Value: 100, Usage: "list only the newest `NUMBER` of jobs"},
		},
		Action: action(jobs),
	}
}

func jobs(inv *invocation) error {
	read := func(ctx context.Context) ([]administration.Job, error) {
		return inv.Jobs(ctx, administration.JobFilter{
			Team: units.TeamName(inv.cmd.String("team")), State: inv.cmd.String("state"), Limit: inv.cmd.Int("limit")})
	}
	return printList(inv, read, "JOB\tTEAM\tNAME\tPRIORITY\tSTATE\tDONE\tSUBMITTED", func(w io.Writer, j administration.Job) {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d/%d\t%s\n", j.ID, j.Team, j.Name, j.Priority, j.State,
			j.Tasks.Completed, j.Tasks.Total, j.Submitted.UTC().Format("2006-01-02 15:04:05"))
	})
}
