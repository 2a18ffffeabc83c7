// The verb workers shows the resources that are committed on each worker.

package operator

import (
	"fmt"
	"io"
	"strings"

	"github.com/urfave/cli/v3"

	"wasabihill.example/wasabihill/pkg/administration"
)

func newWorkers() *cli.Command {
	return &cli.Command{
		Name:     "workers",
		Usage:    "list the workers with their committed resources",
		Category: categoryViews,
		Description: `Examples:
  wasabihill workers`,
		Action: action(workers),
	}
}

func workers(inv *invocation) error {
	const header = "WORKER\tDOMAIN\tRACK\tSTATE\tEPOCH\tCOMMITTED\tCAPACITY\tTASKS\tENDPOINTS"
	return printList(inv, inv.Workers, header, func(w io.Writer, o administration.Worker) {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\t%s\t%d\t%s\n", o.ID, o.FailureDomain, o.Rack, o.State, o.Epoch,
			formatSize(o.Committed), formatSize(o.Capacity), o.Running, formatEndpoints(o.Endpoints))
	})
}

func formatEndpoints(list []administration.Endpoint) string {
	if len(list) == 0 {
		return "-"
	}
	texts := make([]string, len(list))
	for i, e := range list {
		texts[i] = fmt.Sprintf("%s %s %d/%d busy, %d queued", e.Service, e.State, e.Busy, e.Slots, e.Queued)
	}
	return strings.Join(texts, "; ")
}
