// The verb domain changes one field of the document directly, so that an operator
// can take a failure domain out of service without editing the document by hand.

package operator

import (
	"context"

	"github.com/urfave/cli/v3"

	"wasabihill.example/wasabihill/pkg/administration"
	"wasabihill.example/wasabihill/pkg/environment"
	"wasabihill.example/wasabihill/pkg/units"
)

func newDomain() *cli.Command {
	return &cli.Command{
		Name:     "domain",
		Usage:    "take a failure domain out of service or return it",
		Category: categoryDocuments,
		Description: `The change takes effect everywhere within 3 s. No task starts in a failure domain
that is out of service, and its batch tasks and watchers move elsewhere.

Examples:
  wasabihill domain out pwani-a -e production
  wasabihill domain in pwani-a -e production`,
		Commands: []*cli.Command{
			newDomainState(environment.DomainOut, "take a failure domain out of service"),
			newDomainState(environment.DomainIn, "return a failure domain to service"),
		},
		Action: func(context.Context, *cli.Command) error {
			return usageErrorf("run wasabihill domain --help", "the state is missing or unknown; want out or in")
		},
	}
}

func newDomainState(state environment.DomainState, usage string) *cli.Command {
	return &cli.Command{
		Name:      string(state),
		Usage:     usage,
		ArgsUsage: "NAME",
		Flags:     []cli.Flag{environmentFlag(), authorFlag(), keyFlag()},
		Action:    action(func(inv *invocation) error { return setDomainState(inv, state) }),
	}
}

func setDomainState(inv *invocation, state environment.DomainState) error {
	return editDocument(inv, "NAME", func(env units.EnvironmentName, name, key string) (administration.Published, error) {
		return inv.SetDomainState(inv.ctx, env, units.DomainName(name), state, authorOf(inv.cmd), key)
	})
}
