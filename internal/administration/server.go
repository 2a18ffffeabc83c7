// Authentication, limits and errors are handled here once for every route, so that a
// handler cannot forget them.

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

// Config holds what a Server needs. Zero limits get defaults.
type Config struct {
	Backend       Backend
	Environment   units.EnvironmentName // whose teams and largest worker jobs are checked against
	OperatorToken settings.Secret
	TeamTokens    map[units.TeamName]settings.Secret

	Requests    int           // requests in flight
	Body        units.Bytes   // body of one request
	HeaderBytes units.Bytes   // header of one request
	Timeout     time.Duration // for one request

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
	config  Config
	tokens  tokens
	inUse   chan struct{}                    // holds one element for each request in flight
	perTeam map[units.TeamName]chan struct{} // the same for each team; never written after NewServer
	handler http.Handler
}

// teamShare limits a team to a quarter of the requests in flight, so that slow
// requests of one team leave room for operators and other teams.
const teamShare = 4

// smallBody limits every body but that of a document. A job takes less than
// 1 KiB, and parsing needs up to a hundred times the size of the text.
const smallBody = 64 * units.KiB

// NewServer returns a server for the configuration.
func NewServer(c Config) *Server {
	c.setDefaults()
	s := &Server{config: c, tokens: newTokens(c.OperatorToken, c.TeamTokens), inUse: make(chan struct{}, c.Requests)}
	s.perTeam = make(map[units.TeamName]chan struct{}, len(c.TeamTokens))
	for team := range c.TeamTokens {
		s.perTeam[team] = make(chan struct{}, max(1, c.Requests/teamShare))
	}
	mux := http.NewServeMux()
	for _, r := range routes {
		mux.HandleFunc(r.pattern, func(w http.ResponseWriter, q *http.Request) { s.serve(r, w, q) })
	}
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", s.readyz)
	if c.MetricsHandler != nil {
		mux.Handle("GET /metrics", c.MetricsHandler)
	}
	mux.HandleFunc("/", func(w http.ResponseWriter, q *http.Request) {
		writeError(w, administration.Errorf(administration.KindNotFound, "no such method and path: %s %s", q.Method, q.URL.Path))
	})
	s.handler = mux
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, q *http.Request) { s.handler.ServeHTTP(w, q) }

// HTTPServer returns a server with time and header limits; the caller serves a
// listener with it and shuts it down.
func (s *Server) HTTPServer() *http.Server {
	return &http.Server{
		Handler:           s,
		ReadHeaderTimeout: 5 * time.Second,
		ReadTimeout:       s.config.Timeout,
		WriteTimeout:      2 * s.config.Timeout, // reading and answering
		IdleTimeout:       time.Minute,
		MaxHeaderBytes:    int(s.config.HeaderBytes),
	}
}

func (s *Server) readyz(w http.ResponseWriter, q *http.Request) {
	ctx, cancel := context.WithTimeout(q.Context(), time.Second)
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
	http *http.Request
	who  principal
	key  string
	body []byte
}

// reply writes itself, for answers that are not JSON.
type reply interface{ write(http.ResponseWriter) }

func (s *Server) serve(r route, w http.ResponseWriter, q *http.Request) {
	start := time.Now()
	answer, err := s.run(r, w, q)
	status := http.StatusOK
	if err != nil {
		failed := asError(err, r.mutates)
		status = failed.Kind.Status()
		if failed.Kind == administration.KindInternal {
			klog.ErrorS(err, "administration request failed", "route", r.pattern)
		}
		writeError(w, failed)
	} else if direct, ok := answer.(reply); ok {
		direct.write(w)
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

func (s *Server) run(r route, w http.ResponseWriter, q *http.Request) (any, error) {
	leave, err := enter(s.inUse)
	if err != nil {
		return nil, err
	}
	defer leave()
	who, err := s.tokens.authenticate(q)
	if err != nil {
		w.Header().Set("WWW-Authenticate", "Bearer")
		return nil, err
	}
	if r.operatorsOnly && !who.operator {
		return nil, administration.Errorf(administration.KindForbidden, "this needs the operator's token")
	}
	if !who.operator {
		leave, err := enter(s.perTeam[who.team])
		if err != nil {
			return nil, err
		}
		defer leave()
	}
	ctx, cancel := context.WithTimeout(q.Context(), s.config.Timeout)
	defer cancel()
	one := &request{Server: s, http: q.WithContext(ctx), who: who}
	if r.mutates {
		if one.key = q.Header.Get(administration.KeyHeader); !validKey(one.key) {
			return nil, administration.Errorf(administration.KindInvalid, "header %s: want 1 to 128 printable ASCII characters", administration.KeyHeader)
		}
	}
	limit := min(s.config.Body, smallBody)
	if r.document {
		limit = s.config.Body
	}
	if one.body, err = readBody(w, q, limit); err != nil {
		return nil, err
	}
	return handle(r, one)
}

// enter takes a place or refuses at once; leave gives it back.
func enter(places chan struct{}) (leave func(), err error) {
	select {
	case places <- struct{}{}:
		return func() { <-places }, nil
	default:
		return nil, &administration.Error{Kind: administration.KindBusy, Message: "too many requests at a time; repeat it later",
			Details: administration.Details{Outcome: administration.OutcomeNotRun}}
	}
}

// handle keeps a panic in one request from ending others.
func handle(r route, one *request) (answer any, err error) {
	defer func() {
		if p := recover(); p != nil {
			klog.ErrorS(nil, "administration request panicked", "route", r.pattern, "panic", p, "stack", string(debug.Stack()))
			answer, err = nil, administration.Errorf(administration.KindInternal, "internal error")
		}
	}()
	return r.handle(one)
}

func validKey(key string) bool {
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' {
			return false
		}
	}
	return key != "" && len(key) <= 128
}

func readBody(w http.ResponseWriter, q *http.Request, limit units.Bytes) ([]byte, error) {
	if q.ContentLength > int64(limit) {
		w.Header().Set("Connection", "close")
		return nil, administration.Errorf(administration.KindTooLarge, "the body has %d bytes; at most %d are allowed", q.ContentLength, limit)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, q.Body, int64(limit)))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, administration.Errorf(administration.KindTooLarge, "the body exceeds %d bytes", limit)
	}
	if err != nil {
		return nil, administration.Errorf(administration.KindInvalid, "the body is incomplete")
	}
	return body, nil
}

// asError turns any error into one for the wire. An expired time limit leaves
// the outcome of a mutation unknown.
func asError(err error, mutates bool) *administration.Error {
	var e *administration.Error
	if errors.As(err, &e) {
		return e
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		outcome := administration.OutcomeNotRun
		if mutates {
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
		klog.ErrorS(err, "administration reply does not encode")
		status, body = http.StatusInternalServerError, []byte(`{"error":{"kind":"internal","message":"internal error","details":{}}}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Content-Type-Options", "nosniff")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	_, _ = w.Write(append(body, '\n'))
}
