package node

import "testing"

// Guards against a small machine that wins the leadership over a larger one, and
// against a claim delay that prolongs a failover noticeably.
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
