// The verb timeline shows events with their causes.

package operator

import (
	"github.com/urfave/cli/v3"

	"wasabihill.example/wasabihill/pkg/administration"
)

func newTimeline() *cli.Command {
	return &cli.Command{
		Name:     "timeline",
		Usage:    "show what happened in all processes and what caused it",
		Category: categoryViews,
		Description: `Examples:
  wasabihill timeline --subject worker-7
  wasabihill timeline --lane job --limit 100 -o json
  wasabihill timeline --html > timeline.html`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "subject", Usage: "only events whose subject contains `TEXT`"},
			&cli.StringFlag{Name: "lane", Usage: "only events of the lane `NAME`, such as worker, entry, log, job or service"},
			&cli.IntFlag{Name: "limit", Value: 500, Usage: "show the newest `NUMBER` of events"},
			&cli.BoolFlag{Name: "html", Usage: "print a page with a picture"},
		},
		Action: action(timelineVerb),
	}
}

func timelineVerb(s *session) error {
	if _, err := arguments(s.cmd); err != nil {
		return err
	}
	format := s.cmd.String("output")
	if s.cmd.Bool("html") {
		format = "html"
	}
	body, err := s.Timeline(s.ctx, administration.TimelineFilter{
		Subject: s.cmd.String("subject"), Lane: s.cmd.String("lane"), Limit: s.cmd.Int("limit")}, format)
	if err != nil {
		return err
	}
	_, err = s.cmd.Root().Writer.Write(body)
	return err
}
