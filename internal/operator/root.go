// Package operator implements the command line of wasabihill for teams and
// operators. Each verb has a file of its own and calls the administration API.
package operator

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/samber/oops"
	"github.com/urfave/cli/v3"

	"wasabihill.example/wasabihill/pkg/administration"
)

// Version is set by the linker.
var Version = "unknown"

// verbs lists the subcommands in the order of the help.
var verbs = []func() *cli.Command{
	newCheck, newPublish, newShow, newCompare, newPromote, newDomain, newDrain, newUndrain,
	newSubmit, newJobs, newJob, newCancel,
	newWorkers, newEntries, newTeams, newTimeline, newExplain,
}

// The categories of the help.
const (
	categoryDocuments = "documents"
	categoryJobs      = "jobs"
	categoryViews     = "views"
)

const rootDescription = `Operators publish one document per environment; teams submit jobs. The verbs
call the administration API of an entry process. With several servers, the next
one is tried when one fails. A mutation carries an idempotency key, so that it
takes effect at most once.

Examples:
  export WASABIHILL_SERVER=10.0.1.7:7002,10.0.2.7:7002
  export WASABIHILL_TOKEN_FILE=$HOME/.wasabihill-token
  wasabihill show -e production > production.json
  wasabihill publish --base 1042 production.json
  wasabihill domain out pwani-a -e production

Exit codes: 0 success, 1 failure, 2 wrong usage, 3 another version was
published first, 4 unknown outcome (repeat with the key that is printed).`

// Root returns the root command with a subcommand for each verb, followed by the
// commands in extra.
func Root(extra ...*cli.Command) *cli.Command {
	root := &cli.Command{
		Name:                            "wasabihill",
		Usage:                           "schedule services, batch jobs and watchers on committed workers",
		Description:                     rootDescription,
		Version:                         Version,
		EnableShellCompletion:           true,
		ConfigureShellCompletionCommand: func(c *cli.Command) { c.Hidden = false },
		Suggest:                         true,
		ExitErrHandler:                  func(context.Context, *cli.Command, error) {}, // Main prints errors and exits
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Present() {
				hint := "run wasabihill --help for the list of verbs"
				if suggestion := cli.SuggestCommand(cmd.Commands, cmd.Args().First()); suggestion != "" {
					hint = "did you mean " + suggestion + "?"
				}
				return usageErrorf(hint, "unknown verb %q", cmd.Args().First())
			}
			_ = cli.ShowAppHelp(cmd)
			return usageErrorf("run wasabihill VERB --help for one verb", "no verb is given")
		},
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "server", Usage: "`IP:PORT` of an administration API; repeat the flag for several servers", Sources: cli.EnvVars("WASABIHILL_SERVER")},
			&cli.StringFlag{Name: "token-file", Usage: "`FILE` that holds the bearer token; when omitted, the token is read from $WASABIHILL_TOKEN", Sources: cli.EnvVars("WASABIHILL_TOKEN_FILE")},
			&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Value: "text", Usage: "`FORMAT` of the output: text or json"},
			&cli.DurationFlag{Name: "timeout", Value: defaultTimeout, Usage: "longest `TIME` to wait for a reply from one server"},
		},
	}
	for _, verb := range verbs {
		root.Commands = append(root.Commands, verb())
	}
	root.Commands = append(root.Commands, extra...)
	setUsageErrorHandler(root)
	return root
}

// setUsageErrorHandler makes cmd and its subcommands return wrong usage as an error
// with codeUsage and a hint.
func setUsageErrorHandler(cmd *cli.Command) {
	cmd.OnUsageError = func(_ context.Context, cmd *cli.Command, err error, _ bool) error {
		return usageErrorf("run "+cmd.FullName()+" --help", "%v", err)
	}
	for _, sub := range cmd.Commands {
		setUsageErrorHandler(sub)
	}
}

// Exit codes.
const (
	exitOK             = 0
	exitFailed         = 1
	exitUsage          = 2
	exitLostRace       = 3
	exitUnknownOutcome = 4
)

// codeUsage is the code of errors that report wrong usage.
const codeUsage = "usage"

func usageErrorf(hint, format string, args ...any) error {
	return oops.Code(codeUsage).Hint(hint).Errorf(format, args...)
}

// Main runs the command line and returns the exit code. args includes the
// program name.
func Main(ctx context.Context, args []string, extra ...*cli.Command) int {
	root := Root(extra...)
	root.Reader, root.Writer, root.ErrWriter = os.Stdin, os.Stdout, os.Stderr
	return execute(ctx, root, args)
}

func execute(ctx context.Context, root *cli.Command, args []string) int {
	err := root.Run(ctx, args)
	if err != nil {
		printError(root.ErrWriter, err)
	}
	return exitCode(err)
}

func exitCode(err error) int {
	if err == nil {
		return exitOK
	}
	if e, ok := oops.AsOops(err); ok && e.Code() == codeUsage {
		return exitUsage
	}
	if administration.KindOf(err) == administration.KindLostRace {
		return exitLostRace
	}
	if administration.OutcomeOf(err) == administration.OutcomeUnknown {
		return exitUnknownOutcome
	}
	return exitFailed
}

func printError(w io.Writer, err error) {
	fmt.Fprintf(w, "wasabihill: %v\n", err)
	if e, ok := oops.AsOops(err); ok && e.Hint() != "" {
		fmt.Fprintf(w, "hint: %s\n", e.Hint())
	}
}
