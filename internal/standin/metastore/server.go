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

// Fault is how the store treats the callers of one door. The zero value is a
// store that works.
type Fault struct {
	Status     int           // refuse with this status; nothing is done
	NoReply    bool          // do nothing and answer nothing
	Reset      bool          // do nothing and reset the connection
	DropReply  bool          // do it and answer nothing
	ApplyDelay time.Duration // with Lose: do it after this time
	ReplyDelay time.Duration // before every answer
	// Only appends are affected when Appends is set.
	OnlyAppends bool
}

// Door is one address of the store, so that a test can treat one process
// differently from the others.
type Server struct {
	Address string
	log     *Log
	server  *httptest.Server

	mu    sync.Mutex
	fault Fault
	calls int
}

// Open returns a new door to the log. Close ends it.
func (l *Log) NewServer() *Server {
	d := &Server{log: l}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/log-append", d.withFault(d.appendRecords))
	mux.HandleFunc("GET /api/log-read", d.withFault(d.readRecords))
	mux.HandleFunc("GET /api/log-newest", d.withFault(d.newestRecords))
	d.server = httptest.NewServer(mux)
	d.Address = strings.TrimPrefix(d.server.URL, "http://")
	return d
}

// Close ends the door.
func (d *Server) Close() {
	d.server.CloseClientConnections()
	d.server.Close()
}

// Set replaces the fault of the door.
func (d *Server) Set(f Fault) {
	d.mu.Lock()
	d.fault = f
	d.mu.Unlock()
	if f.NoReply || f.Reset {
		d.server.CloseClientConnections() // a wait that is under way gets no answer either
	}
}

// Calls returns how many calls the door has received.
func (d *Server) CallCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls
}

// silence is longer than any caller of a test waits.
const silence = 10 * time.Second

func (d *Server) withFault(serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		d.mu.Lock()
		d.calls++
		f := d.fault
		d.mu.Unlock()
		// With its body read, a request notices that its caller has left.
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		if f.OnlyAppends && r.Method != http.MethodPost {
			f = Fault{}
		}
		if f.ReplyDelay > 0 {
			wait(r.Context(), f.ReplyDelay)
		}
		switch {
		case f.NoReply:
			wait(r.Context(), silence)
			abort(w)
		case f.Reset:
			abort(w)
		case f.Status != 0:
			w.WriteHeader(f.Status)
		case f.DropReply:
			d.serveWithoutReply(r, f.ApplyDelay, serve)
			wait(r.Context(), silence)
			abort(w)
		default:
			serve(w, r)
		}
	}
}

// lose carries the call out, late if asked for, without an answer.
func (d *Server) serveWithoutReply(r *http.Request, late time.Duration, serve http.HandlerFunc) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	again := r.Clone(context.Background())
	again.Body = io.NopCloser(bytes.NewReader(body))
	if late == 0 {
		serve(httptest.NewRecorder(), again)
		return
	}
	time.AfterFunc(late, func() { serve(httptest.NewRecorder(), again) })
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// abort resets the connection without an answer.
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

func (d *Server) appendRecords(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	in := request{topic: q.Get("topic"), producer: q.Get("producer"), epoch: number(q, "epoch"), sequence: number(q, "seq")}
	if q.Has("at") {
		at := number(q, "at")
		in.at = &at
	}
	if in.records, err = split(body, keyed(in.topic)); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a, expected, err := d.log.append(in)
	switch {
	case errors.Is(err, errConflict):
		answerJSON(w, http.StatusPreconditionFailed, map[string]any{"end": a.end})
	case errors.Is(err, errFenced):
		answerJSON(w, http.StatusConflict, map[string]any{"reason": "fenced"})
	case errors.Is(err, errSequence):
		answerJSON(w, http.StatusConflict, map[string]any{"reason": "seq", "seq": expected})
	default:
		answerJSON(w, http.StatusOK, map[string]any{"offset": a.offset, "end": a.end})
	}
}

func keyed(topic string) bool { return strings.HasPrefix(topic, "keyed.") }

func (d *Server) readRecords(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(number(q, "waitMs"))*time.Millisecond)
	defer cancel()
	topic := q.Get("topic")
	records, first, end, err := d.log.read(ctx, topic, number(q, "from"))
	if err != nil {
		answerJSON(w, http.StatusGone, map[string]any{"first": first})
		return
	}
	out := binary.BigEndian.AppendUint64(nil, end)
	out = binary.BigEndian.AppendUint64(out, first)
	for _, rec := range records {
		out = frame(out, rec, keyed(topic))
	}
	_, _ = w.Write(out)
}

// pageSize is the most items of one answer.
const pageSize = 500

func (d *Server) newestRecords(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	page, more, end := d.log.items(q.Get("topic"), q.Get("after"), pageSize)
	items := make([]map[string]any, len(page))
	for i, it := range page {
		items[i] = map[string]any{"key": it.key, "value": it.value, "offset": it.offset}
	}
	answerJSON(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "end": end})
}

func number(q url.Values, name string) uint64 {
	n, err := strconv.ParseUint(q.Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

func answerJSON(w http.ResponseWriter, status int, body map[string]any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // a caller that has left gets no answer
}

func frame(out []byte, r record, keyed bool) []byte {
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

var errMalformed = errors.New("malformed records")

func split(body []byte, keyed bool) ([]record, error) {
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
