package gateway

import (
	"testing"

	"wasabihill.example/wasabihill/internal/headers"
)

// A request was answered as not run although its first attempt, whose outcome
// was unknown, had run: the refusal of the hedge hid it.
func TestRejectedHedgeKeepsUnknownOutcome(t *testing.T) {
	cases := []struct {
		unknown bool
		last    headers.Outcome
		want    headers.Outcome
	}{
		{true, headers.NotRun, headers.Unknown},
		{true, headers.Unknown, headers.Unknown},
		{true, headers.Done, headers.Done},
		{false, headers.NotRun, headers.NotRun},
	}
	for _, c := range cases {
		a := (&result{outcome: c.last, freeRetry: true}).withEarlierUnknown(c.unknown)
		if a.outcome != c.want {
			t.Errorf("unknown before %t, last %s: got %s, want %s", c.unknown, c.last, a.outcome, c.want)
		}
		if a.outcome == headers.Unknown && c.last == headers.NotRun && a.freeRetry {
			t.Error("an unknown outcome counts as free of charge, want it to draw on the retry budget")
		}
	}
}
