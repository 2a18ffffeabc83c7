package workerapi

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/pkg/units"
)

// maxRequest limits the body of a request, in bytes. A renewal for 10,000 tasks is
// smaller.
const maxRequest = 1 << 20

// NewHandler returns a handler that serves w over HTTP with the protocol of Client.
// It calls w concurrently. The stand-in worker and adapters to other platforms use
// it.
func NewHandler(w Worker) http.Handler {
	h := handler{w}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/holder", h.hold)
	mux.HandleFunc("GET /v1/tasks", h.tasks)
	mux.HandleFunc("POST /v1/tasks", h.start)
	mux.HandleFunc("POST /v1/leases", h.renew)
	mux.HandleFunc("DELETE /v1/tasks/{task}", h.forget)
	for verb, command := range map[string]func(*http.Request, units.Task, commandBody) (any, error){
		"activate":   h.activate,
		"throttle":   h.throttle,
		"checkpoint": h.checkpoint,
		"stop":       h.stop,
	} {
		mux.HandleFunc("POST /v1/tasks/{task}/"+verb, commandHandler(verb, command))
	}
	return mux
}

type handler struct{ worker Worker }

func (h handler) hold(w http.ResponseWriter, r *http.Request) {
	var body holdBody
	if !decodeRequest(w, r, "hold", &body) {
		return
	}
	holder, err := h.worker.Hold(r.Context(), body.Holder)
	writeReply(w, holderBody{holder.Epoch, millisecondsOf(holder.Clock), resourcesBodyOf(holder.Capacity)}, err)
}

func (h handler) tasks(w http.ResponseWriter, r *http.Request) {
	table, err := h.worker.Tasks(r.Context())
	writeReply(w, tableBodyOf(table), err)
}

func (h handler) start(w http.ResponseWriter, r *http.Request) {
	var body startBody
	if !decodeRequest(w, r, "start", &body) {
		return
	}
	request, err := body.request()
	if err != nil {
		writeReply(w, nil, fault.Wrap("start", Invalid, err))
		return
	}
	writeReply(w, nil, h.worker.Start(r.Context(), request))
}

func (h handler) renew(w http.ResponseWriter, r *http.Request) {
	var body renewBody
	if !decodeRequest(w, r, "renew", &body) {
		return
	}
	tasks := make([]units.Task, len(body.Tasks))
	for i, name := range body.Tasks {
		task, err := units.ParseTask(name)
		if err != nil {
			writeReply(w, nil, fault.Wrap("renew", Invalid, err))
			return
		}
		tasks[i] = task
	}
	clock, err := h.worker.Renew(r.Context(), body.Epoch, body.LeaseUntil.clock(), tasks)
	writeReply(w, clockBody{millisecondsOf(clock)}, err)
}

func (h handler) forget(w http.ResponseWriter, r *http.Request) {
	task, err := units.ParseTask(r.PathValue("task"))
	attempt, attemptErr := strconv.ParseUint(r.FormValue("attempt"), 10, 32)
	epoch, epochErr := strconv.ParseUint(r.FormValue("epoch"), 10, 64)
	if err := errors.Join(err, attemptErr, epochErr); err != nil {
		writeReply(w, nil, fault.Wrap("forget", Invalid, err))
		return
	}
	writeReply(w, nil, h.worker.Forget(r.Context(), units.Epoch(epoch), task, units.Attempt(attempt)))
}

func (h handler) activate(r *http.Request, t units.Task, b commandBody) (any, error) {
	return nil, h.worker.Activate(r.Context(), b.Epoch, t, b.Attempt, b.As)
}

func (h handler) throttle(r *http.Request, t units.Task, b commandBody) (any, error) {
	return nil, h.worker.Throttle(r.Context(), b.Epoch, t, b.Attempt, b.Share)
}

func (h handler) checkpoint(r *http.Request, t units.Task, b commandBody) (any, error) {
	name, err := h.worker.Checkpoint(r.Context(), b.Epoch, t, b.Attempt, b.Stop)
	return checkpointBody{name}, err
}

func (h handler) stop(r *http.Request, t units.Task, b commandBody) (any, error) {
	return nil, h.worker.Stop(r.Context(), b.Epoch, t, b.Attempt)
}

func commandHandler(op string, command func(*http.Request, units.Task, commandBody) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		task, err := units.ParseTask(r.PathValue("task"))
		if err != nil {
			writeReply(w, nil, fault.Wrap(op, Invalid, err))
			return
		}
		var body commandBody
		if !decodeRequest(w, r, op, &body) {
			return
		}
		reply, err := command(r, task, body)
		writeReply(w, reply, err)
	}
}

// decodeRequest decodes the body of a request. If it fails, it writes the error reply and
// returns false.
func decodeRequest(w http.ResponseWriter, r *http.Request, op string, body any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequest))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(body); err != nil {
		writeReply(w, nil, fault.New(op, Invalid, "decode request: %w", err))
		return false
	}
	return true
}

// statusOfKind maps each kind to the status of its error reply.
var statusOfKind = map[Kind]int{
	Unknown:  http.StatusServiceUnavailable,
	Fenced:   http.StatusConflict,
	Conflict: http.StatusConflict,
	Full:     http.StatusInsufficientStorage,
	NotFound: http.StatusNotFound,
	Invalid:  http.StatusBadRequest,
}

// writeReply writes reply, or err as an error reply. An error without a kind of this package
// is sent as Unknown, because it does not prove that the command had no effect.
func writeReply(w http.ResponseWriter, reply any, err error) {
	w.Header().Set("Content-Type", "application/json")
	if err != nil {
		body := errorBody{Kind: Unknown, Error: err.Error()}
		var workerErr *Error
		if errors.As(err, &workerErr) && statusOfKind[workerErr.Kind] != 0 {
			body.Kind = workerErr.Kind
		}
		w.WriteHeader(statusOfKind[body.Kind])
		reply = body
	}
	if reply == nil {
		reply = struct{}{}
	}
	// An encoding error is ignored: a client that has disconnected gets its own error.
	_ = json.NewEncoder(w).Encode(reply)
}
