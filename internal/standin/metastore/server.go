package metastore

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is how a Server deviates from a working store. The zero value is no fault.
// If several fields are set, the first of NoReply, Reset, Status and DropReply
// applies.
type Fault struct {
	Status     int           // reject the call with this HTTP status without executing it
	NoReply    bool          // neither execute the call nor reply
	Reset      bool          // reset the connection without executing the call
	DropReply  bool          // execute the call but do not reply
	ApplyDelay time.Duration // with DropReply: execute the call after this time
	CallDelay  time.Duration // before every call
	// OnlyAppends limits the fault to appends; other calls are served normally.
	OnlyAppends bool
}

// Server serves a Log at an address of its own, so that a test can inject faults
// into the calls of one process only.
type Server struct {
	Address string // IP:port
	log     *Log
	server  *httptest.Server

	mu    sync.Mutex
	fault Fault
	calls int
}

// NewServer starts another server of the log. It runs until Close is called.
func (l *Log) NewServer() *Server {
	s := &Server{log: l}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/log-append", s.withFault(s.serveAppend))
	mux.HandleFunc("GET /api/log-read", s.withFault(s.serveRead))
	mux.HandleFunc("GET /api/log-newest", s.withFault(s.serveNewest))
	s.server = httptest.NewServer(mux)
	s.Address = strings.TrimPrefix(s.server.URL, "http://")
	return s
}

// Close closes all connections and stops the server.
func (s *Server) Close() {
	s.server.CloseClientConnections()
	s.server.Close()
}

// Set replaces the fault that the server applies.
func (s *Server) Set(f Fault) {
	s.mu.Lock()
	s.fault = f
	s.mu.Unlock()
	if f.NoReply || f.Reset {
		s.server.CloseClientConnections() // a long poll in progress gets no reply either
	}
}

// CallCount returns the number of calls received.
func (s *Server) CallCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// noReplyTimeout is when a call without a reply is reset. It is longer than any
// caller in a test waits.
const noReplyTimeout = 10 * time.Second

// withFault returns a handler that applies the server's fault to each call, and
// calls handler if the call is to be executed.
func (s *Server) withFault(handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls++
		f := s.fault
		s.mu.Unlock()
		// The context of a request ends when the caller disconnects, but only if the
		// body has been read.
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		if f.OnlyAppends && r.Method != http.MethodPost {
			f = Fault{}
		}
		if f.CallDelay > 0 {
			wait(r.Context(), f.CallDelay)
		}
		switch {
		case f.NoReply:
			wait(r.Context(), noReplyTimeout)
			abort(w)
		case f.Reset:
			abort(w)
		case f.Status != 0:
			w.WriteHeader(f.Status)
		case f.DropReply:
			s.serveWithoutReply(r, f.ApplyDelay, handler)
			wait(r.Context(), noReplyTimeout)
			abort(w)
		default:
			handler(w, r)
		}
	}
}

// serveWithoutReply executes the call, after delay if that is not 0, and discards
// the reply.
func (s *Server) serveWithoutReply(r *http.Request, delay time.Duration, handler http.HandlerFunc) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	detached := r.Clone(context.Background())
	detached.Body = io.NopCloser(bytes.NewReader(body))
	if delay == 0 {
		handler(httptest.NewRecorder(), detached)
		return
	}
	time.AfterFunc(delay, func() { handler(httptest.NewRecorder(), detached) })
}

// wait returns after d or when ctx ends.
func wait(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// abort resets the connection without a reply.
func abort(w http.ResponseWriter) {
	if hijacker, ok := w.(http.Hijacker); ok {
		if conn, _, err := hijacker.Hijack(); err == nil {
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			conn.Close()
			return
		}
	}
	panic(http.ErrAbortHandler)
}

func (s *Server) serveAppend(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	in := appendRequest{topic: q.Get("topic"), producer: q.Get("producer"), epoch: parseNumber(q, "epoch"), sequence: parseNumber(q, "seq")}
	if q.Has("at") {
		at := parseNumber(q, "at")
		in.expectedEnd = &at
	}
	if in.records, err = decodeRecords(body, isKeyed(in.topic)); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if s.log.Limits.exceededBy(in.records, body) {
		w.WriteHeader(s.log.Limits.Status)
		return
	}
	reply, expected, err := s.log.append(in)
	switch {
	case errors.Is(err, errConflict):
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"end": reply.end})
	case errors.Is(err, errFenced):
		writeJSON(w, http.StatusConflict, map[string]any{"reason": "fenced"})
	case errors.Is(err, errOutOfOrder):
		writeJSON(w, http.StatusConflict, map[string]any{"reason": "seq", "seq": expected})
	default:
		writeJSON(w, http.StatusOK, map[string]any{"offset": reply.offset, "end": reply.end})
	}
}

func isKeyed(topic string) bool { return strings.HasPrefix(topic, "keyed.") }

func (s *Server) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(parseNumber(q, "waitMs"))*time.Millisecond)
	defer cancel()
	topic := q.Get("topic")
	records, first, end, err := s.log.read(ctx, topic, parseNumber(q, "from"))
	if err != nil {
		writeJSON(w, http.StatusGone, map[string]any{"first": first})
		return
	}
	out := binary.BigEndian.AppendUint64(nil, end)
	out = binary.BigEndian.AppendUint64(out, first)
	for _, rec := range records {
		out = appendFrame(out, rec, isKeyed(topic))
	}
	_, _ = w.Write(out)
}

// A reply contains at most pageSize items, of about pageBytes.
const (
	pageSize  = 500
	pageBytes = 1 << 20
)

func (s *Server) serveNewest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	page, more, end := s.log.newestItems(q.Get("topic"), q.Get("after"), pageSize, pageBytes)
	items := make([]map[string]any, len(page))
	for i, it := range page {
		items[i] = map[string]any{"key": it.key, "value": it.value, "offset": it.offset}
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "end": end})
}

// parseNumber returns the value of a query parameter, or 0 if it is missing or
// invalid.
func parseNumber(q url.Values, name string) uint64 {
	n, err := strconv.ParseUint(q.Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

func writeJSON(w http.ResponseWriter, status int, body map[string]any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // a write error means that the caller has disconnected
}

// appendFrame appends a record in the format that decodeRecords reads: its length;
// in a keyed topic, the length of the key and the key; then the value.
func appendFrame(out []byte, r record, keyed bool) []byte {
	size := len(r.value)
	if keyed {
		size += 1 + len(r.key)
	}
	out = binary.BigEndian.AppendUint32(out, uint32(size))
	if keyed {
		out = append(append(out, byte(len(r.key))), r.key...)
	}
	return append(out, r.value...)
}

// exceededBy reports whether a call with the given body, which consists of the records, exceeds
// a limit.
func (l Limits) exceededBy(records []record, body []byte) bool {
	if len(body) > l.CallBytes {
		return true
	}
	for _, r := range records {
		size := len(r.value)
		if r.key != "" {
			size += 1 + len(r.key)
		}
		if size > l.RecordBytes {
			return true
		}
	}
	return false
}

var errMalformed = errors.New("malformed records")

// decodeRecords decodes the records in the body of an append. In a keyed topic a
// record without a value is a tombstone.
func decodeRecords(body []byte, keyed bool) ([]record, error) {
	var records []record
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, errMalformed
		}
		size := int(binary.BigEndian.Uint32(body))
		body = body[4:]
		if size > len(body) {
			return nil, errMalformed
		}
		data := body[:size]
		body = body[size:]
		r := record{value: data}
		if keyed {
			if size == 0 || int(data[0]) >= size {
				return nil, errMalformed
			}
			r.key, r.value = string(data[1:1+data[0]]), data[1+int(data[0]):]
			if len(r.value) == 0 {
				r.value = nil
			}
		}
		records = append(records, r)
	}
	return records, nil
}
