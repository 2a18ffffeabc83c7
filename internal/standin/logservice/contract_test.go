package logservice_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"wasabihill.example/wasabihill/internal/fault"
	standin "wasabihill.example/wasabihill/internal/standin/logservice"
	"wasabihill.example/wasabihill/pkg/logservice"
	"wasabihill.example/wasabihill/pkg/units"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fixture is one implementation of the log service under test, with a function
// that injects faults.
type fixture struct {
	service logservice.Service
	faults  func(standin.Faults)
}

// implementations are the implementations under test: the log itself, and the
// HTTP client with the handler.
var implementations = map[string]func(*testing.T, *standin.Log) fixture{
	"core": func(_ *testing.T, l *standin.Log) fixture { return fixture{l, l.SetFaults} },
	"http": func(t *testing.T, l *standin.Log) fixture {
		server := httptest.NewServer(l.Handler())
		t.Cleanup(server.Close)
		client := &logservice.Client{BaseURL: server.URL + "/", HTTP: server.Client(), MaxRecord: l.MaxRecord * 2}
		return fixture{client, func(f standin.Faults) { postFaults(t, server, f) }}
	},
}

func postFaults(t *testing.T, server *httptest.Server, f standin.Faults) {
	t.Helper()
	body, err := json.Marshal(f)
	if err != nil {
		t.Fatal(err)
	}
	response, err := server.Client().Post(server.URL+"/v1/faults", "application/json", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		t.Fatalf("faults: got status %d", response.StatusCode)
	}
}

func eachImplementation(t *testing.T, create func() *standin.Log, run func(*testing.T, context.Context, fixture, *standin.Log)) {
	for name, implementation := range implementations {
		t.Run(name, func(t *testing.T) {
			l := create()
			run(t, t.Context(), implementation(t, l), l)
		})
	}
}

// TestContractOrder guards against gaps in the offsets, reordered records and
// altered payloads.
func TestContractOrder(t *testing.T) {
	eachImplementation(t, func() *standin.Log { return &standin.Log{ReadLimit: 3} }, func(t *testing.T, ctx context.Context, f fixture, _ *standin.Log) {
		want := [][]byte{[]byte("a"), {0, 1, 255}, {}, []byte("d"), []byte("e")}
		for i, payload := range want {
			if got, err := f.service.Append(ctx, "s", payload); err != nil || got != units.Offset(i+1) {
				t.Fatalf("append %d: got offset %d, %v", i, got, err)
			}
		}
		var got [][]byte
		for next := units.Offset(1); len(got) < len(want); {
			batch, err := f.service.Read(ctx, "s", next, 0)
			if err != nil || len(batch.Records) == 0 || batch.First != 1 || batch.Next != 6 {
				t.Fatalf("read: got %+v, %v", batch, err)
			}
			for _, r := range batch.Records {
				got = append(got, r.Payload)
			}
			next += units.Offset(len(batch.Records))
		}
		if g, w := fmt.Sprint(got), fmt.Sprint(want); g != w {
			t.Errorf("payloads: got %s, want %s", g, w)
		}
		for _, from := range []units.Offset{6, 60} {
			if batch, err := f.service.Read(ctx, "s", from, 0); err != nil || len(batch.Records) != 0 || batch.Next != 6 {
				t.Errorf("read at %d: got %+v, %v", from, batch, err)
			}
		}
	})
}

// TestContractLongPoll guards against a waiting read at the end of a stream that
// misses an append or does not time out.
func TestContractLongPoll(t *testing.T) {
	eachImplementation(t, func() *standin.Log { return &standin.Log{} }, func(t *testing.T, ctx context.Context, f fixture, _ *standin.Log) {
		appended := make(chan error, 1)
		go func() {
			time.Sleep(20 * time.Millisecond)
			_, err := f.service.Append(ctx, "s", []byte("x"))
			appended <- err
		}()
		batch, err := f.service.Read(ctx, "s", 1, 20*time.Second)
		if err != nil || len(batch.Records) != 1 {
			t.Errorf("read: got %+v, %v", batch, err)
		}
		if err := <-appended; err != nil {
			t.Error(err)
		}
		if batch, err = f.service.Read(ctx, "s", 2, 10*time.Millisecond); err != nil || len(batch.Records) != 0 {
			t.Errorf("read at the tail: got %+v, %v", batch, err)
		}
	})
}

// TestContractRetention guards against an error for an expired offset that does
// not contain the offset of the first retained record.
func TestContractRetention(t *testing.T) {
	eachImplementation(t, func() *standin.Log { return &standin.Log{RetainCount: 2} }, func(t *testing.T, ctx context.Context, f fixture, _ *standin.Log) {
		for range 5 {
			if _, err := f.service.Append(ctx, "s", []byte("x")); err != nil {
				t.Fatal(err)
			}
		}
		batch, err := f.service.Read(ctx, "s", 3, 0)
		if !fault.Is(err, logservice.Expired) || batch.First != 4 || batch.Next != 6 {
			t.Errorf("read below the first offset: got %+v, %v", batch, err)
		}
		if batch, err := f.service.Read(ctx, "s", 4, 0); err != nil || len(batch.Records) != 2 {
			t.Errorf("read at the first offset: got %+v, %v", batch, err)
		}
	})
}

// TestContractFaults guards against the wrong kind of error, such as one other
// than Unknown for an append that took effect, and against a fault that persists
// after it was cleared.
func TestContractFaults(t *testing.T) {
	cases := map[string]struct {
		faults  standin.Faults
		timeout time.Duration
		stream  string
		size    int
		want    logservice.Kind
		effect  int // records in the stream after a further append
	}{
		"outage":                   {faults: standin.Faults{Outage: true}, want: logservice.Unavailable},
		"rejected by script":       {faults: standin.Faults{Script: []standin.Outcome{standin.OutcomeUnavailable}}, want: logservice.Unavailable},
		"rejected by share":        {faults: standin.Faults{Unavailable: 1}, want: logservice.Unavailable},
		"reply lost by script":     {faults: standin.Faults{Script: []standin.Outcome{standin.OutcomeLost}}, want: logservice.Unknown, effect: 1},
		"reply lost by share":      {faults: standin.Faults{LoseReplies: 1}, want: logservice.Unknown, effect: 1},
		"effect after the next":    {faults: standin.Faults{Late: 1}, want: logservice.Unknown, effect: 1},
		"slower than the deadline": {faults: standin.Faults{Delay: standin.Duration(10 * time.Second)}, timeout: 50 * time.Millisecond, want: logservice.Unknown},
		"record too large":         {size: 1025, want: logservice.Refused},
		"bad stream name":          {stream: "a b", want: logservice.Refused},
		"deadline passed already":  {timeout: -1, want: logservice.Unavailable},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			eachImplementation(t, func() *standin.Log { return &standin.Log{MaxRecord: 1024} }, func(t *testing.T, ctx context.Context, f fixture, _ *standin.Log) {
				f.faults(c.faults)
				limited, cancel := ctx, func() {}
				if c.timeout != 0 {
					limited, cancel = context.WithTimeout(ctx, c.timeout)
				}
				defer cancel()
				stream := "s"
				if c.stream != "" {
					stream = c.stream
				}
				if _, err := f.service.Append(limited, stream, make([]byte, c.size)); !fault.Is(err, c.want) {
					t.Errorf("append: got %v, want kind %s", err, c.want)
				}
				f.faults(standin.Faults{})
				if _, err := f.service.Append(ctx, "s", []byte("next")); err != nil {
					t.Errorf("append after the fault: %v", err)
				}
				batch, err := f.service.Read(ctx, "s", 1, 0)
				if got := len(batch.Records) - 1; err != nil || got != c.effect {
					t.Errorf("got %d records of the failed append, %v, want %d", got, err, c.effect)
				}
			})
		})
	}
}

// TestContractRate guards against appends above the rate limit that are accepted,
// and against rejected appends that take effect.
func TestContractRate(t *testing.T) {
	eachImplementation(t, func() *standin.Log { return &standin.Log{Rate: 0.001} }, func(t *testing.T, ctx context.Context, f fixture, l *standin.Log) {
		if _, err := f.service.Append(ctx, "s", []byte("x")); err != nil {
			t.Fatal(err)
		}
		if _, err := f.service.Append(ctx, "s", []byte("x")); !fault.Is(err, logservice.Unavailable) {
			t.Errorf("append above the rate: got %v", err)
		}
		if got := l.Counts(); got.Appends != 1 || got.Limited != 1 {
			t.Errorf("counts: got %+v", got)
		}
	})
}

// TestCommand guards against a subcommand that fails to start or does not stop
// when its context is done.
func TestCommand(t *testing.T) {
	var help bytes.Buffer
	command := standin.Command()
	command.Writer = &help
	if err := command.Run(t.Context(), []string{"log", "--help"}); err != nil || !strings.Contains(help.String(), "loseReplies") {
		t.Errorf("help: got %v\n%s", err, help.String())
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		done <- standin.Command().Run(ctx, []string{"log", "--listen", "127.0.0.1:0", "--rate", "10"})
	}()
	time.Sleep(20 * time.Millisecond)
	cancel()
	if err := <-done; err != nil {
		t.Errorf("stop: got %v", err)
	}
}

// FuzzHandler guards against a request body or query that makes the server panic
// or reply with a server error.
func FuzzHandler(f *testing.F) {
	f.Add("/v1/streams/s/records", "POST", []byte("x"))
	f.Add("/v1/streams/s/records?from=1&limit=2&wait=-1s", "GET", []byte(nil))
	f.Add("/v1/streams/s/records?from=18446744073709551615&limit=9", "GET", []byte(nil))
	f.Add("/v1/faults", "POST", []byte(`{"delay":"-1s","script":["lost"]}`))
	l := &standin.Log{MaxRecord: 64, RetainCount: 10}
	handler := l.Handler()
	f.Fuzz(func(t *testing.T, target, method string, body []byte) {
		request, err := http.NewRequest(method, target, bytes.NewReader(body))
		if err != nil || strings.Contains(target, "wait") && !strings.Contains(target, "wait=-") {
			return // a wait would only slow down the fuzzing
		}
		defer l.SetFaults(standin.Faults{})
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		if recorder.Code >= 500 {
			t.Errorf("%s %s: got status %d", method, target, recorder.Code)
		}
	})
}
