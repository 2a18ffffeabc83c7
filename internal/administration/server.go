// Authentication, limits and errors are handled in one place for every route, so that
// no handler can omit them.

package administration

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/internal/settings"
	"wasabihill.example/wasabihill/pkg/administration"
	"wasabihill.example/wasabihill/pkg/units"
)

// Config configures a Server. A limit of zero is replaced by its default.
type Config struct {
	Backend       Backend
	Environment   units.EnvironmentName // its document supplies the teams and the largest worker against which jobs are checked
	OperatorToken settings.Secret
	TeamTokens    map[units.TeamName]settings.Secret

	Requests    int           // concurrent requests; 256 when zero
	Body        units.Bytes   // size of one request's body; 1 MiB when zero
	HeaderBytes units.Bytes   // size of one request's header; 16 KiB when zero
	Timeout     time.Duration // per request; 10 s when zero

	Scope          tally.Scope  // nil for none
	MetricsHandler http.Handler // serves GET /metrics; nil for none
}

func (c *Config) setDefaults() {
	if c.Requests <= 0 {
		c.Requests = 256
	}
	if c.Body <= 0 {
		c.Body = units.MiB
	}
	if c.HeaderBytes <= 0 {
		c.HeaderBytes = 16 * units.KiB
	}
	if c.Timeout <= 0 {
		c.Timeout = 10 * time.Second
	}
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
}

// Server answers administration requests. It is an http.Handler.
type Server struct {
	config    Config
	tokens    tokens
	slots     chan struct{}                    // holds one element per request in progress
	teamSlots map[units.TeamName]chan struct{} // the same per team; the map isn't modified after NewServer
	handler   http.Handler
}

// teamSlotDivisor limits a team to a quarter of the concurrent requests, so that slow
// requests of one team don't block operators and other teams.
const teamSlotDivisor = 4

// smallBodyLimit limits every body except that of a document. A job takes less than
// 1 KiB, and parsing needs up to a hundred times the memory of the text.
const smallBodyLimit = 64 * units.KiB

// NewServer returns a server with the given configuration.
func NewServer(c Config) *Server {
	c.setDefaults()
	s := &Server{config: c, tokens: newTokens(c.OperatorToken, c.TeamTokens), slots: make(chan struct{}, c.Requests)}
	s.teamSlots = make(map[units.TeamName]chan struct{}, len(c.TeamTokens))
	for team := range c.TeamTokens {
		s.teamSlots[team] = make(chan struct{}, max(1, c.Requests/teamSlotDivisor))
	}
	mux := http.NewServeMux()
	for _, r := range routes {
		mux.HandleFunc(r.pattern, func(w http.ResponseWriter, req *http.Request) { s.serve(r, w, req) })
	}
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", s.readyz)
	if c.MetricsHandler != nil {
		mux.Handle("GET /metrics", c.MetricsHandler)
	}
	mux.HandleFunc("/", func(w http.ResponseWriter, req *http.Request) {
		writeError(w, administration.Errorf(administration.KindNotFound, "no such method and path: %s %s", req.Method, req.URL.Path))
	})
	s.handler = mux
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, req *http.Request) { s.handler.ServeHTTP(w, req) }

// HTTPServer returns an http.Server with timeouts and a header limit. The caller
// starts it on a listener and shuts it down.
func (s *Server) HTTPServer() *http.Server {
	return &http.Server{
		Handler:           s,
		ReadHeaderTimeout: 5 * time.Second,
		ReadTimeout:       s.config.Timeout,
		WriteTimeout:      2 * s.config.Timeout, // includes the time to read the request
		IdleTimeout:       time.Minute,
		MaxHeaderBytes:    int(s.config.HeaderBytes),
	}
}

func (s *Server) readyz(w http.ResponseWriter, req *http.Request) {
	ctx, cancel := context.WithTimeout(req.Context(), time.Second)
	defer cancel()
	if err := s.config.Backend.Ready(ctx); err != nil {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

// request is one authenticated request with its body.
type request struct {
	*Server
	http      *http.Request
	principal principal
	key       string
	body      []byte
}

// rawReply is a reply that is not JSON and writes itself.
type rawReply interface{ write(http.ResponseWriter) }

// serve runs a route and writes its reply or error.
func (s *Server) serve(r route, w http.ResponseWriter, req *http.Request) {
	start := time.Now()
	answer, err := s.run(r, w, req)
	status := http.StatusOK
	if err != nil {
		apiErr := toAPIError(err, r.mutates)
		status = apiErr.Kind.Status()
		if apiErr.Kind == administration.KindInternal {
			klog.ErrorS(err, "administration request failed", "route", r.pattern)
		}
		writeError(w, apiErr)
	} else if raw, ok := answer.(rawReply); ok {
		raw.write(w)
	} else {
		if r.status != 0 {
			status = r.status
		}
		writeJSON(w, status, answer)
	}
	scope := s.config.Scope.Tagged(map[string]string{"route": r.name, "status": strconv.Itoa(status)})
	scope.Counter("administration_requests").Inc(1)
	scope.Timer("administration_latency").Record(time.Since(start))
}

// run checks a request and runs its handler while the request holds a slot.
func (s *Server) run(r route, w http.ResponseWriter, req *http.Request) (any, error) {
	release, err := acquireSlot(s.slots)
	if err != nil {
		return nil, err
	}
	defer release()
	p, err := s.tokens.authenticate(req)
	if err != nil {
		w.Header().Set("WWW-Authenticate", "Bearer")
		return nil, err
	}
	if r.operatorsOnly && !p.operator {
		return nil, administration.Errorf(administration.KindForbidden, "only operators may do this; the token belongs to team %q", p.team)
	}
	if !p.operator {
		release, err := acquireSlot(s.teamSlots[p.team])
		if err != nil {
			return nil, err
		}
		defer release()
	}
	ctx, cancel := context.WithTimeout(req.Context(), s.config.Timeout)
	defer cancel()
	authenticated := &request{Server: s, http: req.WithContext(ctx), principal: p}
	if r.mutates {
		if authenticated.key = req.Header.Get(administration.KeyHeader); !validKey(authenticated.key) {
			return nil, administration.Errorf(administration.KindInvalid, "header %s: want 1 to 128 printable ASCII characters", administration.KeyHeader)
		}
	}
	limit := min(s.config.Body, smallBodyLimit)
	if r.document {
		limit = s.config.Body
	}
	if authenticated.body, err = readBody(w, req, limit); err != nil {
		return nil, err
	}
	return handle(r, authenticated)
}

// acquireSlot acquires a slot without waiting, or returns a KindBusy error. release
// frees the slot.
func acquireSlot(slots chan struct{}) (release func(), err error) {
	select {
	case slots <- struct{}{}:
		return func() { <-slots }, nil
	default:
		return nil, &administration.Error{Kind: administration.KindBusy, Message: "too many requests at a time; repeat it later",
			Details: administration.Details{Outcome: administration.OutcomeNotRun}}
	}
}

// handle calls the handler and recovers from a panic, which then fails only this
// request.
func handle(r route, authenticated *request) (answer any, err error) {
	defer func() {
		if p := recover(); p != nil {
			klog.ErrorS(nil, "administration request panicked", "route", r.pattern, "panic", p, "stack", string(debug.Stack()))
			answer, err = nil, administration.Errorf(administration.KindInternal, "internal error")
		}
	}()
	return r.handle(authenticated)
}

func validKey(key string) bool {
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' {
			return false
		}
	}
	return key != "" && len(key) <= 128
}

func readBody(w http.ResponseWriter, req *http.Request, limit units.Bytes) ([]byte, error) {
	if req.ContentLength > int64(limit) {
		w.Header().Set("Connection", "close")
		return nil, administration.Errorf(administration.KindTooLarge, "the body has %d bytes; at most %d are allowed", req.ContentLength, limit)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, int64(limit)))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, administration.Errorf(administration.KindTooLarge, "the body exceeds %d bytes", limit)
	}
	if err != nil {
		return nil, administration.Errorf(administration.KindInvalid, "the body is incomplete: %d bytes were received", len(body))
	}
	return body, nil
}

// toAPIError converts any error to an error of the API. After a timeout the outcome of
// a mutation is unknown.
func toAPIError(err error, mutation bool) *administration.Error {
	var e *administration.Error
	if errors.As(err, &e) {
		return e
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		outcome := administration.OutcomeNotRun
		if mutation {
			outcome = administration.OutcomeUnknown
		}
		return administration.Unavailable(outcome, err)
	}
	return &administration.Error{Kind: administration.KindInternal, Message: "internal error", Err: err}
}

func writeError(w http.ResponseWriter, e *administration.Error) {
	if e.Kind == administration.KindBusy {
		w.Header().Set("Retry-After", "1")
	}
	writeJSON(w, e.Kind.Status(), map[string]*administration.Error{"error": e})
}

func writeJSON(w http.ResponseWriter, status int, answer any) {
	body, err := json.Marshal(answer)
	if err != nil {
		klog.ErrorS(err, "cannot encode the reply to an administration request")
		status, body = http.StatusInternalServerError, []byte(`{"error":{"kind":"internal","message":"internal error","details":{}}}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Content-Type-Options", "nosniff")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	_, _ = w.Write(append(body, '\n'))
}
