package gateway

import (
	"testing"

	"wasabihill.example/wasabihill/internal/headers"
)

// Guards against an outcome notRun for a request whose first attempt had run
// with an unknown outcome: the rejection of the hedge replaced that outcome.
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
		res := (&result{outcome: c.last, freeRetry: true}).withEarlierUnknown(c.unknown)
		if res.outcome != c.want {
			t.Errorf("earlier attempt unknown %t, last attempt %s: got %s, want %s", c.unknown, c.last, res.outcome, c.want)
		}
		if res.outcome == headers.Unknown && c.last == headers.NotRun && res.freeRetry {
			t.Error("an unknown outcome allows a free retry, want it to use the retry budget")
		}
	}
}
