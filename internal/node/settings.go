// Package node runs the processes of a deployment on a platform: entry
// processes, which take requests of clients and of which one leads the
// scheduler, and agents, which control one runner each.
package node

import (
	"time"

	"wasabihill.example/wasabihill/pkg/units"
)

// Settings are what a process learns from the platform about itself.
type Settings struct {
	Name                 string // of the machine; unique in the deployment
	IP                   string
	FirstPort            int    // the first port for sessions between our processes
	AdvertisedIP         string // by which other processes reach this one; IP when empty
	FailureDomain        units.DomainName
	ClientAddress        string // listen address for clients; empty for an agent
	ReadinessAddress     string // listen address for readiness checks; empty for an agent
	HeartbeatAddress     string // listen address for the runner's heartbeats; empty for an entry process
	RunnerAddress        string // address of the runner on this machine; empty for an entry process
	Service              units.ServiceName
	StoreAddress         string // address of the platform's store
	AdviceServiceAddress string // address of the service that knows which workers may run a step
	FirstStart           bool   // the whole system starts for the first time
	Memory               units.Bytes
	Processors           float64 // cores that this machine may use

	StopTimeout          time.Duration // from a request to stop until the process is killed
	MaxLease             time.Duration // of a runner
	FinishedJobRetention time.Duration // how long the state of a finished job is kept
}

const (
	// grantFor is how long an agent may go on without an answer of the leader.
	// It covers a takeover: noticing that the leader is gone, the claim,
	// reading the records and attaching to the agents.
	grantDuration = 6 * time.Second
	// grantMargin covers the difference of two machines' clocks in that time
	// and the end of the runs.
	grantMargin = 500 * time.Millisecond
	// reportEvery is the interval of reports without news.
	reportInterval = time.Second
	// evidenceFor is how old the leader's knowledge of the operators' records
	// may be when a task starts.
	maxOperationsAge = 2500 * time.Millisecond
	// sessionCall bounds one message between our processes.
	callTimeout = 1200 * time.Millisecond
	// vacancyTimeout bounds the question whether the leader's process lives.
	vacancyTimeout = 250 * time.Millisecond
)

// The paths of messages on the sessions.
const (
	pathAttach  = "/scheduler/attach"
	pathReport  = "/scheduler/report"
	pathOrders  = "/scheduler/orders"
	pathClient  = "/scheduler/client"
	pathSupport = "/scheduler/support"
	pathVacancy = "/scheduler/vacancy"
)

const (
	// handicapPerCore is the delay of a claim by a machine of half a core; the
	// scheduler's rules take that much longer on a smaller one.
	claimDelayPerCore = 100 * time.Millisecond
	maxClaimDelay     = 500 * time.Millisecond
)

// claimHandicap delays the claim of a small machine, so that a larger one leads.
func (s *Settings) claimDelay() time.Duration {
	if s.Processors <= 0 || s.Processors >= 1 {
		return 0
	}
	return min(time.Duration(float64(claimDelayPerCore)*(1/s.Processors-1)), maxClaimDelay)
}
