package scheduler

import "testing"

// Guards against a second successor that releases the runs of the runner before the first one: the
// agent's word that the first successor has ended tells nothing of that runner's runs.
func TestEndOfASuccessorReleasesNoRunOfTheRunnerBefore(t *testing.T) {
	f := startOnA(t)
	f.restartAgent("a")
	f.succeedOnA("")
	f.agents["a"].runner.Id, f.agents["a"].runner.BornUnixMs, f.agents["a"].runner.PredecessorEnded = "third", 3, "next"
	f.report("a")
	if got := f.tick(); len(got) != 0 {
		t.Errorf("starts while the lease of the first runner may last: got %v, want none", got)
	}
	f.advance(testMaxLeaseDuration)
	f.report("a")
	f.report("b")
	if got := f.tick(); len(got) != 1 {
		t.Errorf("starts once that lease has ended: got %v, want one", got)
	}
}
