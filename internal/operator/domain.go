// The verb domain edits one field, because taking a failure domain out of service
// must not wait for an editor.

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
		Description: `Taking a failure domain out of service is in force everywhere within 3 s: no
task starts there, and its batch tasks and watchers move elsewhere.

Examples:
  wasabihill domain out pwani-a -e production
  wasabihill domain in pwani-a -e production`,
		Commands: []*cli.Command{
			newDomainState(environment.DomainOut, "take a failure domain out of service"),
			newDomainState(environment.DomainIn, "return a failure domain to service"),
		},
		Action: func(context.Context, *cli.Command) error {
			return usageErrorf("run wasabihill domain --help", "want out or in")
		},
	}
}

func newDomainState(state environment.DomainState, usage string) *cli.Command {
	return &cli.Command{
		Name:      string(state),
		Usage:     usage,
		ArgsUsage: "NAME",
		Flags:     []cli.Flag{environmentFlag(), authorFlag(), keyFlag()},
		Action:    action(func(s *session) error { return setDomainState(s, state) }),
	}
}

func setDomainState(s *session, state environment.DomainState) error {
	return edit(s, "NAME", func(env units.EnvironmentName, name, key string) (administration.Published, error) {
		return s.SetDomainState(s.ctx, env, units.DomainName(name), state, author(s.cmd), key)
	})
}
