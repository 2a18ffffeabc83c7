package forward

import (
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of Error.
const (
	Malformed Kind = "malformed" // the announcement is invalid
	Conflict  Kind = "conflict"  // another endpoint of the service is ready
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

const (
	defaultSlots       = 8
	defaultConnections = 64
	maxSlots           = 4096
	maxAnnouncement    = 4 << 10
	maxServices        = 64 // per agent
)

// announcement is the body of POST /v1/announce.
type announcement struct {
	Service     units.ServiceName `json:"service"`
	Address     string            `json:"address"`
	Slots       int               `json:"slots"`
	Connections int               `json:"connections"`
	State       string            `json:"state"`
}

var endpointStates = map[string]wire.EndpointState{
	"ready":   wire.EndpointState_ENDPOINT_STATE_READY,
	"leaving": wire.EndpointState_ENDPOINT_STATE_LEAVING,
}

func (a *announcement) state() wire.EndpointState { return endpointStates[a.State] }

// parseAnnouncement decodes and validates an announcement. Every field is
// checked, because an endpoint with invalid properties must not receive
// requests.
func parseAnnouncement(data []byte) (announcement, error) {
	a := announcement{Slots: defaultSlots, Connections: defaultConnections}
	if err := json.Unmarshal(data, &a); err != nil {
		return a, fault.Wrap("announce", Malformed, err)
	}
	address, err := netip.ParseAddrPort(a.Address)
	switch {
	case a.Service == "" || len(a.Service) > 128:
		return a, fault.New("announce", Malformed, "service: want a name of 1 to 128 bytes")
	case err != nil || address.Port() == 0 || !address.Addr().IsValid():
		return a, fault.New("announce", Malformed, "address %q: want IP:port", a.Address)
	case a.Slots < 1 || a.Slots > maxSlots:
		return a, fault.New("announce", Malformed, "slots: want 1 to %d", maxSlots)
	case a.Connections < a.Slots || a.Connections > maxSlots:
		return a, fault.New("announce", Malformed, "connections: want at least slots and at most %d", maxSlots)
	case a.state() == wire.EndpointState_ENDPOINT_STATE_UNSPECIFIED:
		return a, fault.New("announce", Malformed, "state %q: want ready or leaving", a.State)
	}
	return a, nil
}

// AnnounceHandler serves POST /v1/announce for the endpoint beside this agent.
// A leaving endpoint receives status 202 while an admitted request may still
// reach it, and 204 when none can. Only after 204 can it close without
// interrupting a request.
func (f *Forwarder) AnnounceHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/announce", func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAnnouncement))
		if err != nil {
			http.Error(w, "announcement too large or truncated", http.StatusRequestEntityTooLarge)
			return
		}
		a, err := parseAnnouncement(data)
		admitted := 0
		if err == nil {
			admitted, err = f.applyAnnouncement(a, time.Now())
		}
		switch {
		case fault.Is(err, Conflict):
			http.Error(w, err.Error(), http.StatusConflict)
		case err != nil:
			http.Error(w, err.Error(), http.StatusBadRequest)
		case admitted > 0 && a.state() == wire.EndpointState_ENDPOINT_STATE_LEAVING:
			w.WriteHeader(http.StatusAccepted)
		default:
			w.WriteHeader(http.StatusNoContent)
		}
	})
	return mux
}

// applyAnnouncement applies a valid announcement and returns the number of
// admitted requests that the endpoint has not answered yet. While one endpoint
// of a service is ready, a second ready one is rejected, because the agent
// admits work to a single endpoint. An endpoint that is leaving or misses its
// announcements is replaced.
func (f *Forwarder) applyAnnouncement(a announcement, now time.Time) (admitted int, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.endpoints[a.Service]
	if e != nil && e.address != a.Address {
		if a.state() == wire.EndpointState_ENDPOINT_STATE_LEAVING {
			return 0, nil // this endpoint has already been replaced
		}
		if e.stateAt(now) == wire.EndpointState_ENDPOINT_STATE_READY {
			return 0, fault.New("announce", Conflict, "%s at %s is ready", a.Service, e.address)
		}
		e.admission.close()
		e = nil
	}
	if e == nil {
		if len(f.endpoints) >= maxServices && f.endpoints[a.Service] == nil {
			return 0, fault.New("announce", Conflict, "at most %d services beside one agent", maxServices)
		}
		e = newEndpoint(a, f.options.MaxQueued)
		f.endpoints[a.Service] = e
	}
	e.applyAnnouncement(a, f.draining, now)
	admitted, _, _ = e.admission.load()
	return admitted, nil
}
