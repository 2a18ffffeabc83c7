package main

import (
	"bytes"
	"encoding/binary"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
)

// The limits of the platform's store, as the settings name them.
const (
	recordBytes = 262144
	callBytes   = 2097152
)

// limitStore returns the address of a proxy to the store stand-in that rejects, with 400, an append
// with a record above recordBytes or with records above callBytes in total. The stand-in itself
// checks neither.
func (w *world) limitStore(p *process) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: p.store.Address})
	proxy.FlushInterval = -1
	proxy.ErrorLog = log.New(io.Discard, "", 0) // the processes end their calls when they stop
	handler := http.HandlerFunc(func(rw http.ResponseWriter, q *http.Request) {
		if q.URL.Path == "/api/log-append" {
			body, err := io.ReadAll(q.Body)
			if err != nil {
				return
			}
			if largest := largestRecord(body); largest > recordBytes || len(body) > callBytes {
				w.record("store  rejects an append of %s: record of %d bytes, call of %d", p.name, largest, len(body))
				rw.WriteHeader(http.StatusBadRequest)
				return
			}
			q.Body = io.NopCloser(bytes.NewReader(body))
		}
		proxy.ServeHTTP(rw, q)
	})
	go http.Serve(listener, handler)
	return listener.Addr().String(), nil
}

func largestRecord(body []byte) int {
	largest := 0
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		largest = max(largest, size)
		body = body[min(len(body), 4+size):]
	}
	return largest
}
