// Functions that the verbs share: the client, input, output and idempotency keys.

package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/user"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/samber/oops"
	"github.com/urfave/cli/v3"

	"wasabihill.example/wasabihill/internal/strictjson"
	"wasabihill.example/wasabihill/pkg/administration"
	"wasabihill.example/wasabihill/pkg/environment"
	"wasabihill.example/wasabihill/pkg/units"
)

// defaultTimeout is longer than the server's own time limit for one request, so
// that the client receives the server's reply about the outcome.
const defaultTimeout = 15 * time.Second

// invocation is one run of a verb.
type invocation struct {
	*administration.Client
	ctx context.Context
	cmd *cli.Command
}

// action returns the action of a verb that needs a server. It connects and calls
// fn.
func action(fn func(*invocation) error) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		inv, err := connect(ctx, cmd)
		if err != nil {
			return err
		}
		return fn(inv)
	}
}

func connect(ctx context.Context, cmd *cli.Command) (*invocation, error) {
	inv := &invocation{ctx: ctx, cmd: cmd}
	if err := inv.checkOutput(); err != nil {
		return nil, err
	}
	servers := cmd.StringSlice("server")
	if len(servers) == 0 {
		return nil, usageErrorf("give --server IP:PORT or set WASABIHILL_SERVER", "no server is given")
	}
	token, err := readToken(cmd)
	if err != nil {
		return nil, err
	}
	inv.Client = &administration.Client{Servers: servers, Token: token, Timeout: cmd.Duration("timeout")}
	return inv, nil
}

func (inv *invocation) checkOutput() error {
	if o := inv.cmd.String("output"); o != "text" && o != "json" {
		return usageErrorf("give --output text or --output json", "unknown output %q", o)
	}
	return nil
}

// maxTokenBytes is larger than any token that an entry process accepts.
const maxTokenBytes = 4096

func readToken(cmd *cli.Command) (string, error) {
	path := cmd.String("token-file")
	if path == "" {
		if token := os.Getenv("WASABIHILL_TOKEN"); token != "" {
			return strings.TrimSpace(token), nil
		}
		return "", usageErrorf("give --token-file FILE or set WASABIHILL_TOKEN", "no token is given")
	}
	data, err := readFile(path, maxTokenBytes)
	if err != nil {
		return "", err
	}
	return strings.TrimSpace(string(data)), nil
}

// readFile reads a file of at most limit bytes and returns an error for a larger one.
func readFile(path string, limit int) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	return readLimited(path, f, limit)
}

func readLimited(name string, r io.Reader, limit int) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return nil, err
	}
	if len(data) > limit {
		return nil, fmt.Errorf("%s is larger than %d bytes", name, limit)
	}
	return data, nil
}

// readInput reads the file at path, or standard input if path is "-".
func readInput(cmd *cli.Command, path string) ([]byte, error) {
	if path == "-" {
		return readLimited("standard input", cmd.Root().Reader, strictjson.MaxSize)
	}
	return readFile(path, strictjson.MaxSize)
}

// arguments returns the arguments of a verb, which must be as many as names.
func arguments(cmd *cli.Command, names ...string) ([]string, error) {
	if got := cmd.Args().Len(); got != len(names) {
		return nil, usageErrorf("run "+cmd.FullName()+" --help", "got %d arguments; want %s", got, formatArgumentNames(names))
	}
	return cmd.Args().Slice(), nil
}

func formatArgumentNames(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, " ")
}

// environmentFlag returns the flag that names the environment of a verb.
func environmentFlag() cli.Flag {
	return &cli.StringFlag{Name: "environment", Aliases: []string{"e"}, Usage: "`NAME` of the environment", Sources: cli.EnvVars("WASABIHILL_ENVIRONMENT")}
}

func environmentOf(cmd *cli.Command) (units.EnvironmentName, error) {
	name := cmd.String("environment")
	if name == "" {
		return "", usageErrorf("give --environment NAME or set WASABIHILL_ENVIRONMENT", "no environment is given")
	}
	return units.EnvironmentName(name), nil
}

// authorFlag returns the flag that names the author of a version.
func authorFlag() cli.Flag {
	return &cli.StringFlag{Name: "author", Usage: "`NAME` to record as the author of the version; the login name when omitted"}
}

func authorOf(cmd *cli.Command) string {
	if name := cmd.String("author"); name != "" {
		return name
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return ""
}

// keyFlag returns the flag with which an operator repeats a mutation whose outcome
// is unknown.
func keyFlag() cli.Flag {
	return &cli.StringFlag{Name: "key", Usage: "idempotency `KEY` of an earlier run whose outcome is unknown"}
}

// mutate runs a mutation under an idempotency key. If the outcome is unknown or
// another version was published first, the error hints at how to continue.
func mutate(cmd *cli.Command, fn func(key string) error) error {
	key := cmd.String("key")
	if key == "" {
		key = administration.NewKey()
	}
	err := fn(key)
	if administration.OutcomeOf(err) == administration.OutcomeUnknown {
		return oops.Hint("it may have taken effect; repeat it safely with --key " + key).Wrap(err)
	}
	var e *administration.Error
	if errors.As(err, &e) && e.Kind == administration.KindLostRace {
		return oops.Hint(fmt.Sprintf("read version %d with the verb show, repeat the edit on it and publish it with --base %d", e.Details.Winner, e.Details.Winner)).Wrap(err)
	}
	return err
}

// print writes v as JSON, or calls text for a table if the output format is text.
func (inv *invocation) print(v any, text func(w io.Writer)) error {
	out := inv.cmd.Root().Writer
	if inv.cmd.String("output") == "json" {
		encoder := json.NewEncoder(out)
		encoder.SetEscapeHTML(false)
		encoder.SetIndent("", "  ")
		return encoder.Encode(v)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	text(table)
	return table.Flush()
}

// printList prints the list that read returns; as text, with a header and one row for each
// element. The verb has no arguments.
func printList[T any](inv *invocation, read func(context.Context) ([]T, error), header string, printRow func(io.Writer, T)) error {
	if _, err := arguments(inv.cmd); err != nil {
		return err
	}
	list, err := read(inv.ctx)
	if err != nil {
		return err
	}
	return inv.print(list, func(w io.Writer) {
		fmt.Fprintln(w, header)
		for _, element := range list {
			printRow(w, element)
		}
	})
}

func (inv *invocation) printPublished(p administration.Published) error {
	return inv.print(p, func(w io.Writer) {
		if len(p.Changes) == 0 {
			fmt.Fprintf(w, "%s is unchanged at version %d\n", p.Environment, p.Version)
			return
		}
		fmt.Fprintf(w, "%s is at version %d\n", p.Environment, p.Version)
		writeChanges(w, p.Changes)
	})
}

func writeChanges(w io.Writer, changes []environment.Change) {
	for _, c := range changes {
		fmt.Fprintf(w, "  %s\n", c)
	}
}

// formatSize formats resources for a table.
func formatSize(s administration.Size) string {
	text := fmt.Sprintf("%s cores, %s", s.Processors, s.Memory)
	if s.Accelerators != 0 {
		text += fmt.Sprintf(", %d accelerators", s.Accelerators)
	}
	return text
}

// formatCount formats a number and its noun, such as "1 error" or "3 errors".
func formatCount(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}

// editDocument runs a verb that changes one field of an environment's document. The
// verb's only argument names the failure domain or worker to change.
func editDocument(inv *invocation, argument string, change func(env units.EnvironmentName, name, key string) (administration.Published, error)) error {
	args, err := arguments(inv.cmd, argument)
	if err != nil {
		return err
	}
	env, err := environmentOf(inv.cmd)
	if err != nil {
		return err
	}
	return mutate(inv.cmd, func(key string) error {
		published, err := change(env, args[0], key)
		if err != nil {
			return err
		}
		return inv.printPublished(published)
	})
}
