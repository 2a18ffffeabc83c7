package taskrunner

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"time"
)

const (
	// heartbeatInterval is the interval of heartbeats unless the settings give another one.
	heartbeatInterval = 100 * time.Millisecond
	// heartbeatTimeout is the time within which a heartbeat must be acknowledged.
	heartbeatTimeout = time.Second
)

// Announce sends heartbeats, which name address, until ctx ends. The first of agents is the
// agent of the runner's machine. Once that has acknowledged one, a heartbeat that it does not
// acknowledge in time is sent to the next agent, and so on, until one acknowledges it.
func (r *Runner) Announce(ctx context.Context, address string, agents ...string) {
	client := &http.Client{Timeout: heartbeatTimeout}
	defer client.CloseIdleConnections()
	known := 1 // number of agents that may be called
	for ctx.Err() == nil {
		for i, agent := range agents[:known] {
			body, delay, ok := r.nextHeartbeat(address)
			if !ok {
				break
			}
			if delay > 0 {
				url := r.heartbeatURL(agent)
				time.AfterFunc(delay, func() { r.sendHeartbeat(client, url, body) })
				break
			}
			acknowledged := r.sendHeartbeat(client, r.heartbeatURL(agent), body)
			if acknowledged && i == 0 {
				known = len(agents)
			}
			if acknowledged || ctx.Err() != nil {
				break
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(cmp.Or(r.HeartbeatInterval, heartbeatInterval)):
		}
	}
}

func (r *Runner) heartbeatURL(agent string) string {
	return "http://" + agent + "/api/instances/" + r.ID + "/heartbeat"
}

// Deregister tells the agent that the runner leaves.
func (r *Runner) Deregister(agent string) {
	client := &http.Client{Timeout: heartbeatTimeout}
	defer client.CloseIdleConnections()
	response, err := client.Post("http://"+agent+"/api/instances/"+r.ID+"/deregister", "application/json", bytes.NewReader([]byte("{}")))
	if err == nil {
		response.Body.Close()
	}
}

// sendHeartbeat reports whether the agent has acknowledged the heartbeat.
func (r *Runner) sendHeartbeat(client *http.Client, url string, body []byte) bool {
	r.mu.Lock()
	draining := r.draining
	r.mu.Unlock()
	response, err := client.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	response.Body.Close()
	acknowledged := response.StatusCode/100 == 2
	r.mu.Lock()
	defer r.mu.Unlock()
	if draining && r.draining && r.drainAcknowledgedAt.IsZero() && acknowledged {
		r.drainAcknowledgedAt = time.Now()
	}
	return acknowledged
}

// nextHeartbeat returns the body of the next heartbeat and for how long it is held up on its
// way; ok is false if none is to be sent.
func (r *Runner) nextHeartbeat(address string) (body []byte, delay time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.crashed || r.fault.NoHeartbeats {
		return nil, 0, false
	}
	r.sequence++
	state := "ready"
	if r.draining {
		state = "draining"
	}
	body, err := json.Marshal(r.heartbeat(address, state))
	if r.fault.HeartbeatDelay > 0 {
		delay = r.fault.HeartbeatDelay + r.spread(uint64(r.sequence))
	}
	return body, delay, err == nil
}

// heartbeat returns the fields of a heartbeat. r.mu must be held.
func (r *Runner) heartbeat(address, state string) map[string]any {
	return map[string]any{
		"service": r.Service, "address": address, "zone": r.Domain, "version": "v1", "slots": 8, "state": state, "coldMs": 0,
		"capacity": map[string]any{"cpu": r.Cores * 1000, "memMb": r.MemoryMb, "gpu": 0}, "labels": r.Labels,
		"clockMs": r.clockMs(), "seq": r.sequence, "born": r.startTime.UnixMilli(),
	}
}

// delayStep separates the delays of successive messages within Fault.DelaySpread, so that
// they overtake each other.
const delayStep = 3700 * time.Millisecond

// spread returns the part of the delay of the n-th message that Fault.DelaySpread adds. r.mu
// must be held.
func (r *Runner) spread(n uint64) time.Duration {
	if r.fault.DelaySpread == 0 {
		return 0
	}
	return time.Duration(n*uint64(delayStep)) % r.fault.DelaySpread
}
