package dispatch

import (
	"fmt"

	"wasabihill.example/wasabihill/internal/ledger"
)

// unplaceableReason returns why the job's tasks can never run, or "". A size
// that fits the largest worker of the configuration document is placeable even
// if no such worker is present now, because it may come back. A size that
// exceeds it and every present worker is not.
func (d *Dispatcher) unplaceableReason(j *ledger.Job) string {
	if t, ok := d.policy.teams[j.Team]; ok && alwaysOverQuota(j.Size, t) {
		return fmt.Sprintf("a task of %v exceeds the quota of team %q, which may not borrow", j.Size, j.Team)
	}
	if len(d.capacities) == 0 || j.Size.Fits(d.in.Document.LargestWorker) {
		return ""
	}
	for _, capacity := range d.capacities {
		if j.Size.Fits(capacity) {
			return ""
		}
	}
	return fmt.Sprintf("a task of %v fits no worker", j.Size)
}
