package endpoint

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
)

// moment tells a fault whether the request has been executed.
type moment int

const (
	before moment = iota
	after
)

// fault misbehaves and reports whether the request is finished with.
type fault func(e *Endpoint, w http.ResponseWriter, r *http.Request, m moment) bool

// slowTime is what the fault slow adds; it exceeds usual latency targets.
const slowTime = 2 * time.Second

var faults = map[string]fault{
	"resetBefore": func(_ *Endpoint, _ http.ResponseWriter, _ *http.Request, m moment) bool {
		if m == before {
			panic(http.ErrAbortHandler)
		}
		return false
	},
	"resetAfter": func(_ *Endpoint, _ http.ResponseWriter, _ *http.Request, m moment) bool {
		if m == after {
			panic(http.ErrAbortHandler)
		}
		return false
	},
	"silentBefore": func(e *Endpoint, w http.ResponseWriter, _ *http.Request, m moment) bool {
		return m == before && e.silence(w)
	},
	"silent": func(e *Endpoint, w http.ResponseWriter, _ *http.Request, m moment) bool {
		return m == after && e.silence(w)
	},
	"slow": func(_ *Endpoint, _ http.ResponseWriter, r *http.Request, m moment) bool {
		return m == after && !work(r, slowTime)
	},
	"truncated": func(e *Endpoint, w http.ResponseWriter, r *http.Request, m moment) bool {
		if m == before {
			return false
		}
		answer := e.answer(r, nil)
		w.Header().Set(RequestID, r.Header.Get(RequestID))
		_, _ = w.Write(answer[:len(answer)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	},
	"duplicate": func(e *Endpoint, w http.ResponseWriter, r *http.Request, m moment) bool {
		if m == before {
			return false
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return false
		}
		defer conn.Close()
		body := e.answer(r, nil)
		for range 2 {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %016x\r\nContent-Length: %d\r\n\r\n%s",
				RequestID, r.Header.Get(RequestID), WholeCheck, xxhash.Sum64(body), len(body), body)
			// The duplicate arrives late: when the next request is on the connection.
			_ = conn.SetReadDeadline(time.Now().Add(slowTime))
			if _, err := conn.Read(make([]byte, 1)); err != nil {
				break
			}
		}
		return true
	},
	"error": func(_ *Endpoint, w http.ResponseWriter, _ *http.Request, m moment) bool {
		if m == after {
			http.Error(w, "injected error", http.StatusInternalServerError)
		}
		return m == after
	},
}

// silence keeps the connection open and never answers on it.
func (e *Endpoint) silence(w http.ResponseWriter) bool {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	e.mu.Lock()
	e.silenced = append(e.silenced, conn)
	e.mu.Unlock()
	return true
}
