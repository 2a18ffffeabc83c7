package capacity

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Print writes the tables of the measurements, with one line per window.
func (r Result) Print(w io.Writer) error {
	fmt.Fprintf(w, "%d workers, %d entry processes, log limited to %g appends/s, windows of %s\n", r.Workers, r.Entries, r.Rate, r.Window)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "per agent\tentries B/s\twith headers\tlease B/s\twith headers\t% core\tallocs/s\t")
	n := float64(r.Workers)
	for _, p := range r.Phases {
		a := p.Agents
		fmt.Fprintf(t, "%s\t%.0f\t%.0f\t%.0f\t%.0f\t%.2f\t%.0f\t\n", p.Name, a.Payload("entries")/n, a.Wire("entries")/n,
			a.Payload("leases")/n, a.Wire("leases")/n, 100*a.Cores/n, a.Allocations()/n)
	}
	fmt.Fprintln(t, "per entry process\tagents B/s\tlog B/s\theartbeats/s\t% core\tallocs/s\tproposals/s\t")
	n = float64(r.Options.Entries)
	for _, p := range r.Phases {
		e := p.Entries
		fmt.Fprintf(t, "%s\t%.0f\t%.0f\t%.0f\t%.2f\t%.0f\t%.1f\t\n", p.Name, e.Payload("agents")/n, e.Payload("log")/n,
			e.Count("heartbeats")/n, 100*e.Cores/n, e.Allocations()/n, e.Count("proposals")/n)
	}
	fmt.Fprintln(t, "log\tappends/s\tB/s\trejected/s\tstarts/s\tB/start\t\t")
	for _, p := range r.Phases {
		bytes := "-"
		if p.Started > 0 {
			bytes = fmt.Sprintf("%.0f", p.Bytes/p.Started)
		}
		fmt.Fprintf(t, "%s\t%.1f\t%.0f\t%.1f\t%.0f\t%s\t\t\n", p.Name, p.Appends, p.Bytes, p.RejectedAppends, p.Started, bytes)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(w, "per agent after a collection: %.2f MB heap and stacks, %.0f goroutines; process %.0f MB resident\n",
		megabytes(r.AgentsEnd.Heap)/float64(r.Workers), float64(r.AgentsEnd.Goroutines)/float64(r.Workers), megabytes(r.AgentsEnd.Resident))
	fmt.Fprintf(w, "per entry process after a collection: %.1f MB idle, %.1f MB with tasks; process %.0f MB resident\n",
		megabytes(r.EntriesIdle.Heap)/n, megabytes(r.EntriesEnd.Heap)/n, megabytes(r.EntriesEnd.Resident))
	if len(r.InForce) > 0 {
		fmt.Fprintf(w, "document of %d B in force in the last agent after %v; an agent parsed it %.2f times and exchanged %.0f B meanwhile\n",
			len(document(0)), r.InForce, r.Parsed, r.ChangeBytes)
	}
	if k := len(r.Urgent); k > 0 {
		fmt.Fprintf(w, "urgent starts under load: %d, median %v, longest %v\n", k, r.Urgent[k/2], r.Urgent[k-1])
	}
	return nil
}

func megabytes(bytes uint64) float64 { return float64(bytes) / 1e6 }
