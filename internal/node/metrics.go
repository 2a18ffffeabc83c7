package node

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// latencyBuckets range from 1 ms, for a reply within one instance, to 4 s, for one
// that waits for a slow store.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 13)

// metrics records what a process does. newMetrics(nil) discards all values.
type metrics struct{ scope tally.Scope }

func newMetrics(scope tally.Scope) metrics {
	if scope == nil {
		scope = tally.NoopScope
	}
	return metrics{scope}
}

// recordRequest records a client request that has been answered.
func (m metrics) recordRequest(verb Verb, outcome Outcome, took time.Duration) {
	tags := map[string]string{"verb": string(verb), "outcome": string(outcome)}
	m.scope.Tagged(tags).Counter("requests").Inc(1)
	m.scope.Tagged(map[string]string{"verb": string(verb)}).Histogram("request_seconds", latencyBuckets).RecordDuration(took)
}

// countOrders counts the start and stop orders for an agent.
func (m metrics) countOrders(starts, stops int) {
	m.scope.Counter("starts_ordered").Inc(int64(starts))
	m.scope.Counter("stops_ordered").Inc(int64(stops))
}

// countReport counts a report of an agent and its contents.
func (m metrics) countReport(ends, rejected int) {
	m.scope.Counter("reports").Inc(1)
	m.scope.Counter("ends_reported").Inc(int64(ends))
	m.scope.Counter("starts_rejected").Inc(int64(rejected))
}

// countSecondRuns counts how often an agent has reported a run beside the current run of
// its task.
func (m metrics) countSecondRuns(n int) { m.scope.Counter("second_runs").Inc(int64(n)) }

// recordFlush records how long records took to become durable.
func (m metrics) recordFlush(took time.Duration) {
	m.scope.Histogram("flush_seconds", latencyBuckets).RecordDuration(took)
}

// recordRules records the duration of one evaluation of the scheduler's rules.
func (m metrics) recordRules(took time.Duration) {
	m.scope.Histogram("rules_seconds", latencyBuckets).RecordDuration(took)
}

// recordStarvation records the longest time in this term that a task has been starved.
func (m metrics) recordStarvation(d time.Duration) {
	m.scope.Gauge("longest_standing_seconds").Update(d.Seconds())
}

// countMalformed counts records that were skipped because they are malformed.
func (m metrics) countMalformed(n int) { m.scope.Counter("records_malformed").Inc(int64(n)) }

// countRejectedRecord counts records that the store did not accept.
func (m metrics) countRejectedRecord() { m.scope.Counter("records_rejected").Inc(1) }

// countPanic counts the panics of the scheduler, each of which ends a term, and of an agent.
func (m metrics) countPanic() { m.scope.Counter("panics").Inc(1) }

// countTerm counts the terms that this process leads.
func (m metrics) countTerm() { m.scope.Counter("terms").Inc(1) }

// countFailedCall counts failed calls between processes of the deployment.
func (m metrics) countFailedCall() { m.scope.Counter("calls_unanswered").Inc(1) }
