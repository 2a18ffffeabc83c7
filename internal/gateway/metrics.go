package gateway

import (
	"time"

	"github.com/uber-go/tally/v4"

	"wasabihill.example/wasabihill/internal/headers"
)

// metrics holds the counters of a Gateway. They are resolved once, because a
// lookup by name takes locks on every request.
type metrics struct {
	requests, shed, retries, hedges, hedgesWon, truncated tally.Counter
	outcomes                                              map[headers.Outcome]tally.Counter
	latency                                               tally.Histogram
}

func newMetrics(scope tally.Scope) metrics {
	c := metrics{
		requests: scope.Counter("requests"), shed: scope.Counter("requestsShed"),
		retries: scope.Counter("retries"), hedges: scope.Counter("hedges"), hedgesWon: scope.Counter("hedgesWon"),
		truncated: scope.Counter("responsesCut"),
		outcomes:  make(map[headers.Outcome]tally.Counter),
	}
	for _, o := range []headers.Outcome{headers.Done, headers.NotRun, headers.Unknown} {
		c.outcomes[o] = scope.Tagged(map[string]string{"outcome": string(o)}).Counter("outcomes")
	}
	// 250 us doubled 17 times is about half a minute, longer than most deadlines.
	c.latency = scope.Histogram("latency", tally.MustMakeExponentialDurationBuckets(250*time.Microsecond, 2, 18))
	return c
}
