package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// advisor is a stand-in for the advice service. It handles one call at a time.
type advisor struct {
	address  string
	decide   time.Duration
	each     time.Duration
	valid    time.Duration
	good     func(runner string) bool
	bornOf   func(runner string) int64
	log      *recordLog
	server   *http.Server
	mu       sync.Mutex // one call at a time
	ticketMu sync.Mutex
	issued   map[string]issued
	count    int
}

type issued struct {
	step, runner string
	born         int64
	until        time.Time
}

func (a *advisor) start() error {
	listener, err := net.Listen("tcp", a.address)
	if err != nil {
		return err
	}
	a.issued = make(map[string]issued)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/advise", a.serve)
	a.server = &http.Server{Handler: mux}
	go func() { _ = a.server.Serve(listener) }() // ends with close
	return nil
}

func (a *advisor) close() { a.server.Close() }

func (a *advisor) serve(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || len(in.Workers) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	time.Sleep(a.decide + time.Duration(len(in.Workers))*a.each)
	rows := [][]string{}
	for _, id := range in.Workers {
		if a.good(id) {
			rows = append(rows, []string{id, a.issue(in.Step, id)})
		}
	}
	a.log.printf("advice", "advise %s for %d workers: good %v", in.Step, len(in.Workers), rows)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"good": rows, "validMs": a.valid.Milliseconds()}) // a write error means that the caller has disconnected
}

// issue returns a ticket for the present life of the runner. It asks the runner before it takes
// ticketMu, since the runner holds its own lock while it checks a ticket.
func (a *advisor) issue(step, runner string) string {
	born := a.bornOf(runner)
	a.ticketMu.Lock()
	defer a.ticketMu.Unlock()
	a.count++
	ticket := fmt.Sprintf("c81e-%06x", a.count)
	a.issued[ticket] = issued{step, runner, born, time.Now().Add(a.valid)}
	return ticket
}

// isValid reports whether a ticket permits a start of the step on this life of the runner now.
func (a *advisor) isValid(step, runner string, born int64, ticket string) bool {
	a.ticketMu.Lock()
	defer a.ticketMu.Unlock()
	t, ok := a.issued[ticket]
	return ok && t.step == step && t.runner == runner && t.born == born && time.Now().Before(t.until)
}
