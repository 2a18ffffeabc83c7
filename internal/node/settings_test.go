package node

import "testing"

// When two processes may claim the leadership, the one on the larger machine
// should win. The delay must stay far below the time of a failover.
func TestSmallMachineClaimsLater(t *testing.T) {
	large, small := &Settings{Processors: 0.8}, &Settings{Processors: 0.2}
	if got, want := large.claimDelay(), small.claimDelay(); got >= want {
		t.Errorf("claim delay of the larger machine: got %v, want less than %v", got, want)
	}
	if got := (&Settings{Processors: 0.01}).claimDelay(); got != maxClaimDelay {
		t.Errorf("claim delay of a tiny machine: got %v, want %v", got, maxClaimDelay)
	}
	if got := (&Settings{}).claimDelay(); got != 0 {
		t.Errorf("claim delay of a machine of unknown size: got %v, want 0", got)
	}
}
