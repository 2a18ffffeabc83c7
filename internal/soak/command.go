package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"wasabihill.example/wasabihill/internal/fault"
)

const description = `Starts entry processes and agents as separate processes against stand-ins of the
platform, injects faults from outside and checks what callers and runners see.
A seed determines the schedule of faults. Exits with an error when a promise was
broken.

Examples:
  # three random seeds
  wasabihill-soak --seeds 3

  # fifty random seeds, four at a time, with a timeline of each
  wasabihill-soak --seeds 50 --parallel 4 --report soak.html

  # repeat one seed
  wasabihill-soak --seed 42`

// promiseBroken is the kind of the error with which the command exits when a
// promise was broken.
const promiseBroken Kind = "promiseBroken"

// agentsPerEntry is the number of agents for each entry process.
const agentsPerEntry = 2

// Command returns the command line of wasabihill-soak.
func Command() *cli.Command {
	return &cli.Command{
		Name: "wasabihill-soak", Usage: "inject faults into the running programs and check their promises", Description: description,
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "number of random seeds to run"},
			&cli.Uint64Flag{Name: "seed", Usage: "run this seed instead of random ones"},
			&cli.FloatFlag{Name: "minutes", Usage: "run random seeds for this many minutes instead of a fixed number"},
			&cli.DurationFlag{Name: "faults", Value: 20 * time.Second, Usage: "how long faults are injected in each run"},
			&cli.IntFlag{Name: "processes", Value: 9, Usage: "processes of a run; a third of them, but at least two, are entry processes"},
			&cli.IntFlag{Name: "entries", Usage: "entry processes of a run, if another number than a third of them"},
			&cli.IntFlag{Name: "parallel", Value: 1, Usage: "maximum number of concurrent runs"},
			&cli.StringFlag{Name: "catalog", Usage: "kinds of faults to choose from: machine adds those of real machines and networks to the standard ones, silence that open connections fall silent"},
			&cli.StringFlag{Name: "only", Usage: "inject only these kinds of faults, separated by commas"},
			&cli.FloatFlag{Name: "rate", Value: faultsPerSecond, Usage: "faults per second; fewer leave time for work between long ones"},
			&cli.FloatFlag{Name: "shares", Usage: "limit each process to this multiple of the share of a core that it has in a deployment; less than 1 stands for a higher load"},
			&cli.StringFlag{Name: "node", Value: "bin/wasabihill-node", Usage: "path of the wasabihill-node program"},
			&cli.StringFlag{Name: "dir", Usage: "directory for settings and logs; a temporary one when omitted"},
			&cli.StringFlag{Name: "report", Usage: "write a timeline of faults and task runs to this HTML file, and the results as JSON to the same path with .json appended"},
		},
		Action: runCommand,
	}
}

// campaign runs several seeds and collects their results.
type campaign struct {
	command *cli.Command
	dir     string
	entries int
	agents  int

	mu      sync.Mutex // guards the fields below
	results []*Result
	broken  int
}

func runCommand(ctx context.Context, c *cli.Command) error {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	dir := c.String("dir")
	if dir == "" {
		made, err := os.MkdirTemp("", "wasabihill-soak-")
		if err != nil {
			return fault.Wrap("soak", NotStarted, err)
		}
		dir = made
	}
	n := c.Int("processes")
	p := &campaign{command: c, dir: dir, entries: max(2, n/(agentsPerEntry+1))}
	if c.IsSet("entries") {
		p.entries = c.Int("entries")
	}
	p.agents = n - p.entries
	if err := p.runSeeds(ctx); err != nil {
		return err
	}
	if Catalog(c.String("catalog")) == MachineFaults {
		writeMargins(c.Root().Writer, p.results)
	}
	fmt.Fprintf(c.Root().Writer, "%d seeds, %d with a broken promise; logs in %s\n", len(p.results), p.broken, dir)
	if path := c.String("report"); path != "" {
		if err := p.writeReport(path); err != nil {
			return err
		}
	}
	if p.broken > 0 {
		return fault.New("soak", promiseBroken, "%d of %d seeds", p.broken, len(p.results))
	}
	return nil
}

// runSeeds runs the seeds, as many at a time as the flag parallel allows.
func (p *campaign) runSeeds(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(1, p.command.Int("parallel")))
	deadline := time.Now().Add(time.Duration(p.command.Float("minutes") * float64(time.Minute)))
	for i := 0; ctx.Err() == nil; i++ {
		if p.command.Float("minutes") > 0 {
			if time.Now().After(deadline) {
				break
			}
		} else if i >= p.command.Int("seeds") {
			break
		}
		seed := p.command.Uint64("seed")
		if !p.command.IsSet("seed") {
			seed = rand.Uint64N(1_000_000_000)
		}
		group.Go(func() error { return p.runSeed(ctx, seed) })
	}
	return group.Wait()
}

func (p *campaign) runSeed(ctx context.Context, seed uint64) error {
	run := &Run{
		Seed: seed, Faults: p.command.Duration("faults"), Entries: p.entries, Agents: p.agents,
		Binary: p.command.String("node"), Dir: filepath.Join(p.dir, fmt.Sprint("seed-", seed)),
		Catalog: Catalog(p.command.String("catalog")), Only: p.command.String("only"), Rate: p.command.Float("rate"), Shares: p.command.Float("shares"),
	}
	result, err := run.Run(ctx)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.results = append(p.results, result)
	if len(result.Broken) > 0 {
		p.broken++
	}
	if run.Catalog == MachineFaults {
		if err := result.writeRuns(); err != nil {
			return err
		}
	}
	return result.Write(p.command.Root().Writer, p.reproduceCommand(seed))
}

// reproduceCommand returns the command that repeats the run of a seed.
func (p *campaign) reproduceCommand(seed uint64) string {
	command := fmt.Sprintf("wasabihill-soak --seed %d --processes %d --faults %s", seed, p.entries+p.agents, p.command.Duration("faults"))
	if p.command.IsSet("entries") {
		command += fmt.Sprint(" --entries ", p.entries)
	}
	if catalog := p.command.String("catalog"); catalog != "" {
		command += " --catalog " + catalog
	}
	if only := p.command.String("only"); only != "" {
		command += " --only " + only
	}
	if p.command.IsSet("rate") {
		command += fmt.Sprint(" --rate ", p.command.Float("rate"))
	}
	if p.command.IsSet("shares") {
		command += fmt.Sprint(" --shares ", p.command.Float("shares"))
	}
	return command
}

func (p *campaign) writeReport(path string) error {
	html, err := os.Create(path)
	if err != nil {
		return fault.Wrap("report", NotStarted, err)
	}
	defer html.Close()
	if err := WriteHTML(html, p.results); err != nil {
		return fault.Wrap("report", NotStarted, err)
	}
	verdicts, err := os.Create(path + ".json")
	if err != nil {
		return fault.Wrap("report", NotStarted, err)
	}
	defer verdicts.Close()
	return WriteJSON(verdicts, p.results)
}
