package taskrunner

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"
)

// Serve serves the agent's calls on listener and sends heartbeats to the address
// agent, until ctx ends.
func (r *Runner) Serve(ctx context.Context, listener net.Listener, agent string) {
	go r.Announce(ctx, listener.Addr().String(), agent)
	NewAddress(r).Serve(ctx, listener)
}

// handler returns the handler of the agent's calls.
func (r *Runner) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", r.withFault(r.serveStart))
	mux.HandleFunc("POST /api/run-stop", r.withFault(r.serveStop))
	mux.HandleFunc("POST /api/hold", r.withFault(r.serveHold))
	mux.HandleFunc("POST /api/pace", r.withFault(r.servePace))
	return mux
}

// callBody has the fields of all calls.
type callBody struct {
	Task         string `json:"task"`
	Attempt      int64  `json:"attempt"`
	Spec         string `json:"spec"`
	UntilMs      int64  `json:"untilMs"`
	FencingToken uint64 `json:"fencingToken"`
	LastSeen     uint64 `json:"lastSeen"`
	WaitMs       int64  `json:"waitMs"`
	Percent      int    `json:"percent"`
}

// withFault returns a handler that decodes each call and applies the runner's
// fault, and calls serve if the call is to be executed.
func (r *Runner) withFault(serve func(http.ResponseWriter, *http.Request, callBody)) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		var body callBody
		if err := json.NewDecoder(q.Body).Decode(&body); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		r.mu.Lock()
		f, crashed, expected := r.fault, r.crashed, r.ID
		r.callCount++
		delay := f.ApplyDelay + r.spread(r.callCount)
		r.mu.Unlock()
		isDelayed := f.ApplyDelay > 0 && (f.DelayPolls || q.URL.Path != "/api/hold")
		expectedHere := func(id string) bool { return q.Header.Get("X-Expected-Instance") == id }
		switch {
		case crashed:
			panic(http.ErrAbortHandler)
		case f.NoReply:
			<-q.Context().Done()
		case f.Status != 0:
			w.WriteHeader(f.Status)
		case isDelayed:
			late := q.WithContext(context.WithoutCancel(q.Context()))
			body.WaitMs = 0 // nobody waits for the reply
			time.AfterFunc(delay, func() {
				r.mu.Lock()
				executes := !r.crashed && expectedHere(r.ID)
				if executes {
					r.lateCalls++
				}
				r.mu.Unlock()
				if executes {
					serve(&discardWriter{}, late, body)
				}
			})
			<-q.Context().Done()
		case !expectedHere(expected):
			w.WriteHeader(http.StatusMisdirectedRequest)
		default:
			serve(w, q, body)
		}
	}
}

// discardWriter discards the reply to a call.
type discardWriter struct{ header http.Header }

func (d *discardWriter) Header() http.Header {
	if d.header == nil {
		d.header = make(http.Header)
	}
	return d.header
}
func (*discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (*discardWriter) WriteHeader(int)             {}

func (r *Runner) serveStart(w http.ResponseWriter, _ *http.Request, in callBody) {
	r.writeReply(w, r.start(in.Task, in.Spec, in.Attempt, in.UntilMs, in.FencingToken))
}

func (r *Runner) serveStop(w http.ResponseWriter, _ *http.Request, in callBody) {
	r.writeReply(w, r.stop(in.Task, in.Attempt, in.FencingToken))
}

func (r *Runner) servePace(w http.ResponseWriter, _ *http.Request, in callBody) {
	r.writeReply(w, r.setPace(in.Task, in.Attempt, in.Percent, in.FencingToken))
}

// writeReply replies to a call; a reason that is not empty rejects it.
func (r *Runner) writeReply(w http.ResponseWriter, reason string) {
	r.mu.Lock()
	body := map[string]any{"clockMs": r.clockMs(), "born": r.startTime.UnixMilli()}
	r.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	if reason != "" {
		body["reason"] = reason
		w.WriteHeader(http.StatusConflict)
	}
	_ = json.NewEncoder(w).Encode(body) // a write error means that the caller has disconnected
}

// serveHold extends the lease, deletes the acknowledged ended runs and replies with
// the running and the ended runs. If no run has ended, it waits for one as long as
// the caller requests.
func (r *Runner) serveHold(w http.ResponseWriter, q *http.Request, in callBody) {
	r.mu.Lock()
	if in.FencingToken < r.token {
		r.mu.Unlock()
		r.writeReply(w, "fence")
		return
	}
	r.token = in.FencingToken
	r.markLeaseExpired()
	if in.UntilMs > 0 {
		r.extendLease(in.UntilMs)
	}
	for len(r.endedRuns) > 0 && r.endedRuns[0].number <= in.LastSeen {
		if e := r.endedRuns[0]; !e.leaseExpired {
			r.Recorder.recordAcknowledgement(e.task, e.attempt, r.ID)
		}
		r.endedRuns = r.endedRuns[1:]
	}
	changed, nothingEnded, incarnation := r.changed, len(r.endedRuns) == 0, r.startTime
	r.mu.Unlock()
	if nothingEnded && in.WaitMs > 0 {
		select {
		case <-changed:
		case <-q.Context().Done():
		case <-time.After(time.Duration(in.WaitMs) * time.Millisecond):
		}
		if r.hasEnded(incarnation) {
			panic(http.ErrAbortHandler) // its connections have ended with it
		}
	}
	r.writeListing(w)
}

// maxEndsPerReply is the maximum number of ended runs in a reply. The others follow once these
// have been acknowledged.
const maxEndsPerReply = 500

// writeListing replies with the running and the ended runs.
func (r *Runner) writeListing(w http.ResponseWriter) {
	r.mu.Lock()
	running, ended := make([][]any, 0), make([][]any, 0)
	for task, x := range r.runs {
		running = append(running, []any{task, x.attempt, "", x.pace, 0})
	}
	for _, e := range r.endedRuns[:min(len(r.endedRuns), maxEndsPerReply)] {
		ended = append(ended, []any{e.number, e.task, e.attempt, e.end, ""})
	}
	body := map[string]any{"clockMs": r.clockMs(), "born": r.startTime.UnixMilli(), "running": running, "ended": ended}
	r.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
