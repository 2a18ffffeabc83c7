// The verb promote publishes a document that was tested in one environment in
// another, such as production.

package operator

import (
	"github.com/urfave/cli/v3"

	"wasabihill.example/wasabihill/pkg/units"
)

func newPromote() *cli.Command {
	return &cli.Command{
		Name:     "promote",
		Usage:    "publish the document of one environment in another",
		Category: categoryDocuments,
		Description: `Copies the whole document except the states of failure domains and the drained
workers, which stay those of the target.

Examples:
  wasabihill promote --from trial --to production --base 1042`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "from", Value: "trial", Usage: "`NAME` of the environment to copy"},
			&cli.StringFlag{Name: "to", Value: "production", Usage: "`NAME` of the environment to change"},
			&cli.Uint64Flag{Name: "from-version", Usage: "`VERSION` to copy; the version in force when omitted"},
			&cli.Uint64Flag{Name: "base", Usage: "`VERSION` of the target that is replaced; 0 when the target has no document"},
			authorFlag(), keyFlag(),
		},
		Action: action(promote),
	}
}

func promote(inv *invocation) error {
	if _, err := arguments(inv.cmd); err != nil {
		return err
	}
	if !inv.cmd.IsSet("base") {
		return usageErrorf("the verb show prints the version in force", "--base is missing")
	}
	from, to := units.EnvironmentName(inv.cmd.String("from")), units.EnvironmentName(inv.cmd.String("to"))
	return mutate(inv.cmd, func(key string) error {
		published, err := inv.Promote(inv.ctx, from, to, units.Offset(inv.cmd.Uint64("from-version")), units.Offset(inv.cmd.Uint64("base")), authorOf(inv.cmd), key)
		if err != nil {
			return err
		}
		return inv.printPublished(published)
	})
}
