// The verb timeline shows the events of all processes with their causes.

package operator

import (
	"github.com/urfave/cli/v3"

	"wasabihill.example/wasabihill/pkg/administration"
)

func newTimeline() *cli.Command {
	return &cli.Command{
		Name:     "timeline",
		Usage:    "show the events of all processes with their causes",
		Category: categoryViews,
		Description: `Examples:
  wasabihill timeline --subject worker-7
  wasabihill timeline --lane job --limit 100 -o json
  wasabihill timeline --html > timeline.html`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "subject", Usage: "only events whose subject contains `TEXT`"},
			&cli.StringFlag{Name: "lane", Usage: "only events of the lane `NAME`, such as worker, entry, log, job or service"},
			&cli.IntFlag{Name: "limit", Value: 500, Usage: "show only the newest `NUMBER` of events"},
			&cli.BoolFlag{Name: "html", Usage: "print an HTML page with a chart"},
		},
		Action: action(showTimeline),
	}
}

func showTimeline(inv *invocation) error {
	if _, err := arguments(inv.cmd); err != nil {
		return err
	}
	format := inv.cmd.String("output")
	if inv.cmd.Bool("html") {
		format = "html"
	}
	body, err := inv.Timeline(inv.ctx, administration.TimelineFilter{
		Subject: inv.cmd.String("subject"), Lane: inv.cmd.String("lane"), Limit: inv.cmd.Int("limit")}, format)
	if err != nil {
		return err
	}
	_, err = inv.cmd.Root().Writer.Write(body)
	return err
}
