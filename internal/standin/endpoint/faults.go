package endpoint

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
)

// phase is the point of request processing at which a fault is invoked.
type phase int

const (
	beforeExecution phase = iota
	afterExecution
)

// fault injects a fault in the given phase and reports whether the processing of
// the request ends there.
type fault func(e *Endpoint, w http.ResponseWriter, r *http.Request, m phase) bool

// slowDelay is the delay of the fault slow; it exceeds usual latency targets.
const slowDelay = 2 * time.Second

var faults = map[string]fault{
	"resetBefore": func(_ *Endpoint, _ http.ResponseWriter, _ *http.Request, m phase) bool {
		if m == beforeExecution {
			panic(http.ErrAbortHandler)
		}
		return false
	},
	"resetAfter": func(_ *Endpoint, _ http.ResponseWriter, _ *http.Request, m phase) bool {
		if m == afterExecution {
			panic(http.ErrAbortHandler)
		}
		return false
	},
	"silentBefore": func(e *Endpoint, w http.ResponseWriter, _ *http.Request, m phase) bool {
		return m == beforeExecution && e.withholdResponse(w)
	},
	"silent": func(e *Endpoint, w http.ResponseWriter, _ *http.Request, m phase) bool {
		return m == afterExecution && e.withholdResponse(w)
	},
	"slow": func(_ *Endpoint, _ http.ResponseWriter, r *http.Request, m phase) bool {
		return m == afterExecution && !waitServiceTime(r, slowDelay)
	},
	"truncated": func(e *Endpoint, w http.ResponseWriter, r *http.Request, m phase) bool {
		if m == beforeExecution {
			return false
		}
		data := e.responseBody(r, nil)
		w.Header().Set(RequestIDHeader, r.Header.Get(RequestIDHeader))
		_, _ = w.Write(data[:len(data)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	},
	"duplicate": func(e *Endpoint, w http.ResponseWriter, r *http.Request, m phase) bool {
		if m == beforeExecution {
			return false
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return false
		}
		defer conn.Close()
		body := e.responseBody(r, nil)
		for range 2 {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %016x\r\nContent-Length: %d\r\n\r\n%s",
				RequestIDHeader, r.Header.Get(RequestIDHeader), ResponseDigestHeader, xxhash.Sum64(body), len(body), body)
			// The duplicate is sent late, when the next request arrives on the
			// connection.
			_ = conn.SetReadDeadline(time.Now().Add(slowDelay))
			if _, err := conn.Read(make([]byte, 1)); err != nil {
				break
			}
		}
		return true
	},
	"error": func(_ *Endpoint, w http.ResponseWriter, _ *http.Request, m phase) bool {
		if m == afterExecution {
			http.Error(w, "injected error", http.StatusInternalServerError)
		}
		return m == afterExecution
	},
}

// withholdResponse keeps the connection open without ever responding on it.
func (e *Endpoint) withholdResponse(w http.ResponseWriter) bool {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	e.mu.Lock()
	e.unresponsiveConns = append(e.unresponsiveConns, conn)
	e.mu.Unlock()
	return true
}
