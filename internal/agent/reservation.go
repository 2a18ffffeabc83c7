package agent

import (
	"slices"
	"time"

	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

const (
	// reservationRetention is how long the resources of an endpoint that has stopped
	// stay reserved for its replacement, which starts within minutes and uses its
	// processors whether or not they are free.
	reservationRetention = 5 * time.Minute
	// announceGracePeriod is how long a new agent admits nothing while no endpoint
	// has announced itself. An endpoint announces itself every second.
	announceGracePeriod = 2 * time.Second
)

// updateEndpoints reads the announced endpoints and updates their reservations.
// Heartbeats omit an endpoint without a reservation, so that the worker is never
// committed beyond its capacity: batch tasks are evicted for it first.
func (a *Agent) updateEndpoints(now time.Time) {
	if a.EndpointReports == nil {
		return
	}
	var offered []*wire.EndpointReport
	for _, report := range a.EndpointReports() {
		name := units.ServiceName(report.GetService())
		if report.GetState() != wire.EndpointState_ENDPOINT_STATE_GONE {
			a.endpointSeenAt[name] = now
			if !a.reserve(name, now) {
				continue
			}
		}
		offered = append(offered, report)
	}
	if anyLeaving(offered) && !anyLeaving(a.offeredEndpoints) {
		a.requestHeartbeats()
	}
	a.offeredEndpoints = offered
	for name := range a.reservations {
		if now.Sub(a.endpointSeenAt[name]) > reservationRetention {
			delete(a.reservations, name)
			delete(a.endpointSeenAt, name)
		}
	}
}

func anyLeaving(reports []*wire.EndpointReport) bool {
	return slices.ContainsFunc(reports, func(r *wire.EndpointReport) bool {
		return r.GetState() == wire.EndpointState_ENDPOINT_STATE_LEAVING
	})
}

// awaitsEndpoint reports whether the agent is so new that its endpoint may not
// have announced itself yet. The endpoint's resources must not be committed then.
func (a *Agent) awaitsEndpoint(now time.Time) bool {
	return a.EndpointReports != nil && len(a.reservations) == 0 && now.Sub(a.startedAt) < announceGracePeriod
}

// reserve commits the resources of the service's endpoint once they fit, and
// adjusts them when the document changes. It reports whether the endpoint has a
// reservation.
func (a *Agent) reserve(name units.ServiceName, now time.Time) bool {
	reserved, ok := a.reservations[name]
	if !a.adopted || a.config.document == nil {
		return ok
	}
	service := a.config.document.Service(name)
	if service == nil {
		delete(a.reservations, name)
		return false
	}
	if ok && reserved == service.PerEndpoint {
		return true
	}
	increase := service.PerEndpoint.Sub(reserved)
	if increase.Fits(a.capacity.Sub(a.committedResources())) {
		a.reservations[name] = service.PerEndpoint
		return true
	}
	a.evictToFit(increase, service.Priority, "evicted for service "+string(name), now)
	return ok
}

// reservedResources returns the sum of the reservations of services.
func (a *Agent) reservedResources() units.Resources {
	var sum units.Resources
	for _, r := range a.reservations {
		sum = sum.Add(r)
	}
	return sum
}

// endpointsToReport returns the endpoints for a heartbeat. During a planned stop
// all of them are reported as leaving.
func (a *Agent) endpointsToReport() []*wire.EndpointReport {
	if !a.stopping {
		return a.offeredEndpoints
	}
	leaving := slices.Clone(a.offeredEndpoints)
	for i, report := range leaving {
		leaving[i] = &wire.EndpointReport{
			Service: report.Service, State: wire.EndpointState_ENDPOINT_STATE_LEAVING, Slots: report.Slots,
			Connections: report.Connections, Busy: report.Busy, Queued: report.Queued, LatencyMicroseconds: report.LatencyMicroseconds,
		}
	}
	return leaving
}
