// The verb cancel cancels a job.

package operator

import (
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"wasabihill.example/wasabihill/pkg/units"
)

func newCancel() *cli.Command {
	return &cli.Command{
		Name:      "cancel",
		Usage:     "cancel a job",
		ArgsUsage: "JOB",
		Category:  categoryJobs,
		Description: `Running tasks are stopped and no further task starts. Cancelling a job that has
ended has no effect.

Examples:
  wasabihill cancel job-1 --reason "resin ran out"`,
		Flags:  []cli.Flag{&cli.StringFlag{Name: "reason", Usage: "`TEXT` shown with the job"}, keyFlag()},
		Action: action(cancel),
	}
}

func cancel(inv *invocation) error {
	args, err := arguments(inv.cmd, "JOB")
	if err != nil {
		return err
	}
	return mutate(inv.cmd, func(key string) error {
		job, err := inv.Cancel(inv.ctx, units.JobID(args[0]), inv.cmd.String("reason"), key)
		if err != nil {
			return err
		}
		return inv.print(job, func(w io.Writer) { fmt.Fprintf(w, "%s is %s\n", job.ID, job.State) })
	})
}
