package node

import "testing"

// Of two processes that may claim the leadership the one on the larger machine
// should win; the delay stays far below the time of a takeover.
func TestSmallMachineWaits(t *testing.T) {
	large, small := &Settings{Processors: 0.8}, &Settings{Processors: 0.2}
	if got, want := large.claimDelay(), small.claimDelay(); got >= want {
		t.Errorf("handicap of the larger machine: got %v, want less than %v", got, want)
	}
	if got := (&Settings{Processors: 0.01}).claimDelay(); got != maxClaimDelay {
		t.Errorf("handicap of a tiny machine: got %v, want %v", got, maxClaimDelay)
	}
	if got := (&Settings{}).claimDelay(); got != 0 {
		t.Errorf("handicap without a known size: got %v, want 0", got)
	}
}
