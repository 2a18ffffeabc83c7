// Package leases defines the durations of leases, on which agents and entry
// processes must agree. See docs/decisions/0002-leases-granted-by-another-agent.md.
package leases

import "time"

const (
	// Duration is how long a granted lease is valid. The lessee counts it from
	// the time at which it sent the request.
	Duration = 8 * time.Second
	// Margin allows for clock drift and for scheduling pauses of the lessor. The
	// lessor waits for Duration plus Margin after its last grant before it
	// reports that the lease has expired.
	Margin = time.Second
	// GrantWindow is how long a lessor may grant leases after its last evidence
	// that its own epoch is in force. It is long enough for an outage of the log,
	// during which no lessor can get such evidence. If a grant required a valid
	// lease of the lessor itself, the failure of one agent during an outage would
	// stop its lessee, then the lessee of that one, and so on, one every 8 s.
	GrantWindow = 15 * time.Minute
	// MaxEvidenceAge is the maximum age of the state of an entry process that
	// counts as evidence. The lessor subtracts it from GrantWindow.
	MaxEvidenceAge = 5 * time.Second
	// ExpiredLessorWait and ReplacedLessorWait are the times after the recorded
	// end of a lessor's epoch until the lease of a lessee that has kept this
	// lessor has certainly expired. ReplacedLessorWait applies if a higher epoch
	// has replaced that of the lessor. The replaced epoch grants no more leases,
	// because its worker no longer confirms it.
	ExpiredLessorWait  = GrantWindow + Duration + Margin
	ReplacedLessorWait = Duration + Margin
)
