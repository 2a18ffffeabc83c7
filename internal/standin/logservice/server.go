package logservice

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/pkg/logservice"
	"wasabihill.example/wasabihill/pkg/units"
)

// maxFaultsBody is the maximum size in bytes of the body of POST /v1/faults.
const maxFaultsBody = 1 << 20

// Handler returns a handler for the HTTP interface of the log service and for
// /v1/faults and /v1/counts, which only the stand-in has.
func (l *Log) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{stream}/records", l.serveAppend)
	mux.HandleFunc("GET /v1/streams/{stream}/records", l.serveRead)
	mux.HandleFunc("POST /v1/faults", l.serveFaults)
	mux.HandleFunc("GET /v1/counts", func(w http.ResponseWriter, _ *http.Request) { replyJSON(w, http.StatusOK, l.Counts()) })
	return mux
}

func (l *Log) serveAppend(w http.ResponseWriter, r *http.Request) {
	payload, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(orDefault(l.MaxRecord, DefaultMaxRecord))))
	if err != nil {
		status := http.StatusBadRequest
		if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
			status = http.StatusRequestEntityTooLarge
		}
		http.Error(w, err.Error(), status)
		return
	}
	offset, err := l.Append(r.Context(), r.PathValue("stream"), payload)
	if err != nil {
		l.replyError(w, err)
		return
	}
	replyJSON(w, http.StatusOK, map[string]units.Offset{"offset": offset})
}

func (l *Log) serveRead(w http.ResponseWriter, r *http.Request) {
	from, limit, wait, err := readQuery(r, orDefault(l.ReadLimit, DefaultReadLimit))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	batch, err := l.read(r.Context(), r.PathValue("stream"), from, wait, limit)
	switch {
	case err == nil:
		replyJSON(w, http.StatusOK, newBatchBody(batch))
	case fault.Is(err, logservice.Expired):
		replyJSON(w, http.StatusGone, newBatchBody(batch))
	default:
		l.replyError(w, err)
	}
}

func readQuery(r *http.Request, maxLimit int) (from units.Offset, limit int, wait time.Duration, err error) {
	query := r.URL.Query()
	n, err := strconv.ParseUint(query.Get("from"), 10, 64)
	if err != nil {
		return 0, 0, 0, errors.New("from: want an offset")
	}
	limit = maxLimit
	if text := query.Get("limit"); text != "" {
		if limit, err = strconv.Atoi(text); err != nil || limit < 1 {
			return 0, 0, 0, errors.New("limit: want a positive number")
		}
	}
	if text := query.Get("wait"); text != "" {
		if wait, err = time.ParseDuration(text); err != nil || wait < 0 {
			return 0, 0, 0, errors.New("wait: want a duration such as 250ms")
		}
	}
	return units.Offset(n), min(limit, maxLimit), wait, nil
}

func (l *Log) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFaultsBody))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&f)
	if err == nil {
		err = f.Validate()
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

// recordBody and batchBody are the JSON encoding of the reply to a read.
type recordBody struct {
	Offset  units.Offset `json:"offset"`
	Payload []byte       `json:"payload"`
}

type batchBody struct {
	First   units.Offset `json:"first"`
	Next    units.Offset `json:"next"`
	Records []recordBody `json:"records"`
}

func newBatchBody(b logservice.Batch) batchBody {
	body := batchBody{First: b.First, Next: b.Next, Records: make([]recordBody, len(b.Records))}
	for i, r := range b.Records {
		body.Records[i] = recordBody(r)
	}
	return body
}

// replyError replies to a failed operation. To simulate a lost reply it closes the
// connection without replying.
func (l *Log) replyError(w http.ResponseWriter, err error) {
	switch {
	case fault.Is(err, logservice.Unknown):
		panic(http.ErrAbortHandler)
	case fault.Is(err, logservice.Refused):
		http.Error(w, err.Error(), http.StatusBadRequest)
	default:
		w.Header().Set("Retry-After", "1")
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

func replyJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
