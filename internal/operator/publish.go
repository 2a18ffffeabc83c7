// The verb publish always requires a base version, so that nobody replaces a
// version without having read it.

package operator

import (
	"github.com/urfave/cli/v3"

	"wasabihill.example/wasabihill/pkg/administration"
	"wasabihill.example/wasabihill/pkg/environment"
	"wasabihill.example/wasabihill/pkg/units"
)

func newPublish() *cli.Command {
	return &cli.Command{
		Name:      "publish",
		Usage:     "replace the document of an environment",
		ArgsUsage: "FILE",
		Category:  categoryDocuments,
		Description: `Publishes FILE ("-" is standard input) in the environment that it names. It is
accepted only if version --base is still in force; otherwise the exit code is 3.

Examples:
  wasabihill publish --base 1042 production.json
  wasabihill publish --base 0 trial.json       # the first version`,
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "base", Usage: "`VERSION` that the file was edited from; 0 when the environment has no document"},
			authorFlag(), keyFlag(),
		},
		Action: action(publish),
	}
}

func publish(inv *invocation) error {
	args, err := arguments(inv.cmd, "FILE")
	if err != nil {
		return err
	}
	if !inv.cmd.IsSet("base") {
		return usageErrorf("the verb show prints the version in force", "--base is missing")
	}
	text, err := readInput(inv.cmd, args[0])
	if err != nil {
		return err
	}
	document, err := environment.Parse(args[0], text)
	if err != nil {
		return invalidDocument(inv.cmd.Name, environment.Problems(err))
	}
	return mutate(inv.cmd, func(key string) error {
		published, err := inv.Publish(inv.ctx, administration.Publication{
			Environment: document.Environment, Key: key, Base: units.Offset(inv.cmd.Uint64("base")), Author: authorOf(inv.cmd), Text: text}, args[0])
		if err != nil {
			return err
		}
		return inv.printPublished(published)
	})
}
