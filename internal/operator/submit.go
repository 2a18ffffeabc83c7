// The verb submit submits a job from a file under an idempotency key.

package operator

import (
	"fmt"
	"io"

	"github.com/urfave/cli/v3"
)

func newSubmit() *cli.Command {
	return &cli.Command{
		Name:      "submit",
		Usage:     "submit a job",
		ArgsUsage: "FILE",
		Category:  categoryJobs,
		Description: `FILE ("-" is standard input) is JSON with comments. The job takes effect exactly
once: repeating the verb with the same --key returns the same job.

Examples:
  wasabihill submit festival.json
  echo '{"name": "festival", "size": {"processors": "2", "memory": "1GiB"}, "runTime": "5m"}' |
    wasabihill submit -`,
		Flags:  []cli.Flag{keyFlag()},
		Action: action(submit),
	}
}

func submit(inv *invocation) error {
	args, err := arguments(inv.cmd, "FILE")
	if err != nil {
		return err
	}
	body, err := readInput(inv.cmd, args[0])
	if err != nil {
		return err
	}
	return mutate(inv.cmd, func(key string) error {
		job, err := inv.Submit(inv.ctx, args[0], body, key)
		if err != nil {
			return err
		}
		return inv.print(job, func(w io.Writer) { fmt.Fprintf(w, "%s is %s\n", job.ID, job.State) })
	})
}
