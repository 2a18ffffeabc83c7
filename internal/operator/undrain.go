// The verb undrain returns a drained worker to service.

package operator

import "github.com/urfave/cli/v3"

func newUndrain() *cli.Command {
	return &cli.Command{
		Name:      "undrain",
		Usage:     "return a drained worker to service",
		ArgsUsage: "WORKER",
		Category:  categoryDocuments,
		Description: `Examples:
  wasabihill undrain worker-7 -e production`,
		Flags:  []cli.Flag{environmentFlag(), authorFlag(), keyFlag()},
		Action: action(func(inv *invocation) error { return setDrained(inv, false) }),
	}
}
