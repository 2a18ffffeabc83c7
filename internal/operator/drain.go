// The verb drain adds a worker to the drained workers of the document, so that it
// can be maintained.

package operator

import (
	"github.com/urfave/cli/v3"

	"wasabihill.example/wasabihill/pkg/administration"
	"wasabihill.example/wasabihill/pkg/units"
)

func newDrain() *cli.Command {
	return &cli.Command{
		Name:      "drain",
		Usage:     "stop placing work on a worker",
		ArgsUsage: "WORKER",
		Category:  categoryDocuments,
		Description: `The worker's batch tasks and watchers move elsewhere; requests in flight are
completed.

Examples:
  wasabihill drain worker-7 -e production`,
		Flags:  []cli.Flag{environmentFlag(), authorFlag(), keyFlag()},
		Action: action(func(inv *invocation) error { return setDrained(inv, true) }),
	}
}

// setDrained publishes a document in which a worker is drained or not.
func setDrained(inv *invocation, drained bool) error {
	return editDocument(inv, "WORKER", func(env units.EnvironmentName, name, key string) (administration.Published, error) {
		return inv.SetDrained(inv.ctx, env, units.WorkerID(name), drained, authorOf(inv.cmd), key)
	})
}
