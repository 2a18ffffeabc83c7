package gateway_test

import (
	"context"
	"net/http"
	"runtime"
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/gateway"
	"wasabihill.example/wasabihill/internal/load"
	"wasabihill.example/wasabihill/internal/standin/endpoint"
)

// runLoad runs one load and fails the benchmark on incorrect responses.
func runLoad(b *testing.B, o load.Options) *load.Report {
	b.Helper()
	r, err := load.Run(context.Background(), o)
	if err != nil {
		b.Fatal(err)
	}
	if len(r.Faults) > 0 {
		b.Fatalf("incorrect responses: %v", r.Faults)
	}
	return r
}

// BenchmarkAddedLatency compares requests through entry process and agent with
// direct requests at the same rate, in one run. Run it with -benchtime 1x.
func BenchmarkAddedLatency(b *testing.B) {
	e := newEntry(b, gateway.Options{})
	a := newAgent(b, 1, endpoint.Options{ServiceTime: 2 * time.Millisecond}, e)
	for _, target := range []load.Options{
		{Targets: []string{"http://" + a.endpoint.Address()}},
		{Targets: []string{e.url}, Service: "desk"},
	} {
		name := "direct"
		if target.Service != "" {
			name = "product"
		}
		b.Run(name, func(b *testing.B) {
			for range b.N {
				target.Rate, target.Duration, target.MaxInFlight, target.BodyBytes, target.NonIdempotentShare = 500, 5*time.Second, 64, 256, 0.5
				r := runLoad(b, target)
				b.ReportMetric(float64(r.Done.Median.Microseconds()), "p50-us")
				b.ReportMetric(float64(r.Done.P99.Microseconds()), "p99-us")
				b.ReportMetric(float64(r.Outcomes["done"])/float64(r.Planned), "done-share")
			}
		})
	}
}

// BenchmarkOverload offers once and twice the capacity of two endpoints.
func BenchmarkOverload(b *testing.B) {
	const serviceTime = 10 * time.Millisecond
	for _, c := range []struct {
		name   string
		factor float64
	}{{"peak", 1}, {"twice", 2}} {
		b.Run(c.name, func(b *testing.B) {
			e := newEntry(b, gateway.Options{})
			for i := range 2 {
				newAgent(b, i, endpoint.Options{ServiceTime: serviceTime}, e)
			}
			capacity := 2 * 8 / serviceTime.Seconds()
			for range b.N {
				r := runLoad(b, load.Options{
					Targets: []string{e.url}, Service: "desk", Rate: capacity * c.factor, Duration: 5 * time.Second,
					MaxInFlight: 512, BodyBytes: 256, Deadline: 50 * time.Millisecond, NonIdempotentShare: 0.5,
				})
				b.ReportMetric(r.Goodput/capacity, "goodput/capacity")
				b.ReportMetric(float64(r.NotRun.Median.Microseconds()), "refusal-p50-us")
				b.ReportMetric(float64(r.Done.P99.Microseconds()), "p99-us")
				b.ReportMetric(float64(r.Outcomes["unknown"]), "unknown")
			}
		})
	}
}

// BenchmarkConnectionMemory measures the memory of idle caller connections.
func BenchmarkConnectionMemory(b *testing.B) {
	const connections = 2000
	e := newEntry(b, gateway.Options{})
	newAgent(b, 1, endpoint.Options{}, e)
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		transports := make([]*http.Transport, connections)
		for i := range transports {
			transports[i] = &http.Transport{}
			if r := send(&http.Client{Transport: transports[i]}, "GET", e.url+"/services/desk/", nil); r.err != nil {
				b.Fatal(r.err)
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		used := after.HeapAlloc + after.StackInuse - before.HeapAlloc - before.StackInuse
		b.ReportMetric(float64(used)/connections, "bytes/connection-both-ends")
		for _, t := range transports {
			t.CloseIdleConnections()
		}
	}
}
