// Package node runs the two kinds of processes of a deployment: entry processes,
// which serve client requests and elect one of themselves as leader to run the
// scheduler, and agents, which control one runner each.
package node

import (
	"time"

	"wasabihill.example/wasabihill/internal/durable"
	"wasabihill.example/wasabihill/pkg/units"
)

// Settings are the properties of a process that the platform sets.
type Settings struct {
	Name                 string // name of the machine, unique in the deployment
	IP                   string
	FirstPort            int    // first port for sessions between processes of the deployment
	AdvertisedIP         string // IP to which other processes connect; defaults to IP
	FailureDomain        units.DomainName
	ClientAddress        string // listen address for clients; empty for an agent
	ReadinessAddress     string // listen address for readiness checks; empty for an agent
	HeartbeatAddress     string // listen address for the runner's heartbeats; empty for an entry process
	RunnerAddress        string // address of the runner on this machine; empty for an entry process
	Service              units.ServiceName
	StoreAddress         string // address of the platform's store
	StoreLimits          durable.Limits
	AdviceServiceAddress string // address of the service that decides which workers may run a step
	FirstStart           bool   // the whole deployment starts for the first time
	Memory               units.Bytes
	Processors           float64 // cores that this machine may use

	StopTimeout          time.Duration // time between the request to stop and the kill of the process
	MaxLease             time.Duration // longest lease that a runner accepts
	FinishedJobRetention time.Duration // how long the state of a finished job is kept
}

const (
	// grantDuration is how long an agent's runs may continue without a granted report.
	// It covers a failover: detecting the loss of the leader, claiming the
	// leadership, reading the records and attaching to the agents.
	grantDuration = 6 * time.Second
	// grantMargin covers the clock difference between two machines in that time
	// and the termination of the runs.
	grantMargin = 500 * time.Millisecond
	// reportInterval is the interval of reports while nothing changes.
	reportInterval = time.Second
	// maxOperationsAge is the maximum age of the leader's copy of the
	// operators' records at which it may start tasks.
	maxOperationsAge = 2500 * time.Millisecond
	// callTimeout bounds one call between processes of the deployment.
	callTimeout = 1200 * time.Millisecond
	// vacancyTimeout bounds the check whether the leader's process has ended.
	vacancyTimeout = 250 * time.Millisecond
)

// Paths of the messages on sessions.
const (
	pathAttach  = "/scheduler/attach"
	pathReport  = "/scheduler/report"
	pathOrders  = "/scheduler/orders"
	pathClient  = "/scheduler/client"
	pathSupport = "/scheduler/support"
	pathVacancy = "/scheduler/vacancy"
)

const (
	// halfCoreClaimDelay is the delay before a machine with half a core claims
	// the leadership. Smaller machines wait longer, because the scheduler's
	// rules take longer on them.
	halfCoreClaimDelay = 100 * time.Millisecond
	maxClaimDelay      = 500 * time.Millisecond
)

// claimDelay returns how long this process waits before it claims the
// leadership, so that a larger machine wins it.
func (s *Settings) claimDelay() time.Duration {
	if s.Processors <= 0 || s.Processors >= 1 {
		return 0
	}
	return min(time.Duration(float64(halfCoreClaimDelay)*(1/s.Processors-1)), maxClaimDelay)
}
