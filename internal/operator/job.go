// The verb job shows why each task of a job is pending, was released or failed.

package operator

import (
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"wasabihill.example/wasabihill/pkg/administration"
	"wasabihill.example/wasabihill/pkg/units"
)

func newJob() *cli.Command {
	return &cli.Command{
		Name:      "job",
		Usage:     "show a job and its tasks, with their attempts and the reasons of their states",
		ArgsUsage: "JOB",
		Category:  categoryJobs,
		Description: `Examples:
  wasabihill job job-1`,
		Action: action(job),
	}
}

func job(inv *invocation) error {
	args, err := arguments(inv.cmd, "JOB")
	if err != nil {
		return err
	}
	j, err := inv.Job(inv.ctx, units.JobID(args[0]))
	if err != nil {
		return err
	}
	return inv.print(j, func(w io.Writer) { writeJob(w, j) })
}

func writeJob(w io.Writer, j administration.Job) {
	fmt.Fprintf(w, "job\t%s\nteam\t%s\nname\t%s\nkind\t%s\npriority\t%s\nsize\t%s\nsubmitted\t%s\nstate\t%s\n",
		j.ID, j.Team, j.Name, j.Kind, j.Priority, formatSize(j.Size), j.Submitted.UTC().Format("2006-01-02 15:04:05"), j.State)
	if j.Reason != "" {
		fmt.Fprintf(w, "reason\t%s\n", j.Reason)
	}
	fmt.Fprintln(w, "\nTASK\tSTATE\tATTEMPT\tWORKER\tFAILURES\tREASON")
	for _, t := range j.Details {
		worker := t.Worker
		if worker == "" {
			worker = "-"
		}
		fmt.Fprintf(w, "%d\t%s\t%d\t%s\t%d\t%s\n", t.Index, t.State, t.Attempt, worker, t.Failures, t.Reason)
	}
}
