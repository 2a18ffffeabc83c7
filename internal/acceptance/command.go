package acceptance

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

// Command returns the command line of the acceptance run.
func Command() *cli.Command {
	dir := &cli.StringFlag{Name: "dir", Value: "run", Usage: "`DIRECTORY` for settings, documents and results"}
	return &cli.Command{
		Name:  "wasabihill-acceptance",
		Usage: "prepare and run a shortened day of both firms",
		Commands: []*cli.Command{
			{
				Name: "plan", Usage: "write the settings, the documents and the list of processes",
				Flags: []cli.Flag{dir, &cli.StringFlag{Name: "binaries", Value: "bin", Usage: "`DIRECTORY` of the programs"}},
				Action: func(_ context.Context, c *cli.Command) error {
					return WriteFiles(c.String("dir"), c.String("binaries"))
				},
			},
			{
				Name: "drive", Usage: "send requests and jobs, inject failures and check the guarantees",
				Flags: []cli.Flag{dir, &cli.StringFlag{Name: "actions", Required: true, Usage: "named `PIPE` to which the actions on processes (kill, stop, start) are written"}},
				Action: func(ctx context.Context, c *cli.Command) error {
					actions, err := os.OpenFile(c.String("actions"), os.O_WRONLY, 0)
					if err != nil {
						return err
					}
					defer actions.Close()
					r := &Run{Dir: c.String("dir"), Firms: Firms(), Actions: actions, Progress: os.Stdout}
					broken, err := r.Drive(ctx)
					if err == nil && broken > 0 {
						err = fmt.Errorf("%d checks failed", broken)
					}
					return err
				},
			},
		},
	}
}
