package node

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// answerBuckets cover an answer within one instance and one that waits for a
// slow store.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 13)

// meters count what a process decides. The zero value counts nothing.
type metrics struct{ scope tally.Scope }

func newMetrics(scope tally.Scope) metrics {
	if scope == nil {
		scope = tally.NoopScope
	}
	return metrics{scope}
}

// request counts an answered request of a client.
func (m metrics) recordRequest(verb Verb, outcome Outcome, took time.Duration) {
	tags := map[string]string{"verb": string(verb), "outcome": string(outcome)}
	m.scope.Tagged(tags).Counter("requests").Inc(1)
	m.scope.Tagged(map[string]string{"verb": string(verb)}).Histogram("request_seconds", latencyBuckets).RecordDuration(took)
}

// orders counts what is sent to an agent.
func (m metrics) countOrders(starts, stops int) {
	m.scope.Counter("starts_ordered").Inc(int64(starts))
	m.scope.Counter("stops_ordered").Inc(int64(stops))
}

// report counts a report of an agent.
func (m metrics) countReport(ends, rejected int) {
	m.scope.Counter("reports").Inc(1)
	m.scope.Counter("ends_reported").Inc(int64(ends))
	m.scope.Counter("starts_rejected").Inc(int64(rejected))
}

// flush records how long records took to become durable.
func (m metrics) recordFlush(took time.Duration) {
	m.scope.Histogram("flush_seconds", latencyBuckets).RecordDuration(took)
}

// rules records one run of the scheduler's rules.
func (m metrics) recordRules(took time.Duration) {
	m.scope.Histogram("rules_seconds", latencyBuckets).RecordDuration(took)
}

// leading counts the terms of this process.
func (m metrics) countTerm() { m.scope.Counter("terms").Inc(1) }

// unanswered counts calls between our processes without an answer.
func (m metrics) countFailedCall() { m.scope.Counter("calls_unanswered").Inc(1) }
