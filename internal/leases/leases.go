// Package leases holds the times that agents and entry processes must agree on
// for them. See docs/decisions/0002-leases-granted-by-another-agent.md.
package leases

import "time"

const (
	// Duration is how long one grant lasts, counted by the lessee from when it
	// sent the request.
	Duration = 8 * time.Second
	// Margin covers clock drift and scheduling pauses of the lessor. It counts
	// Duration plus Margin from each grant before it attests an expiry.
	Margin = time.Second
	// GrantRight is how long a lessor may grant after it last had evidence that
	// its own epoch is in force. It spans an outage of the log, in which nobody
	// can have such evidence: if a grant needed the lessor's own lease, one
	// death in an outage would stop lessee after lessee, every 8 s one more.
	GrantWindow = 15 * time.Minute
	// EvidenceAge is how old the view of an entry process may be that counts
	// as evidence. The lessor subtracts it from GrantRight.
	MaxEvidenceAge = 5 * time.Second
	// ExpiredChainWait and ReplacedChainWait are how long after the end of a
	// lessor's epoch is recorded the lease of a lessee that has not changed
	// lessor has certainly ended. An epoch that a higher one has replaced grants
	// nothing any more, because its worker no longer confirms it.
	ExpiredLessorWait  = GrantWindow + Duration + Margin
	ReplacedLessorWait = Duration + Margin
)
