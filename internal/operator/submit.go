// The verb submit sends a job file under an idempotency key.

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

func submit(s *session) error {
	args, err := arguments(s.cmd, "FILE")
	if err != nil {
		return err
	}
	body, err := readInput(s.cmd, args[0])
	if err != nil {
		return err
	}
	return mutate(s.cmd, func(key string) error {
		job, err := s.Submit(s.ctx, args[0], body, key)
		if err != nil {
			return err
		}
		return s.print(job, func(w io.Writer) { fmt.Fprintf(w, "%s is %s\n", job.ID, job.State) })
	})
}
