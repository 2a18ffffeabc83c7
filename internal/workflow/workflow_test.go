package workflow

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"wasabihill.example/wasabihill/pkg/units"
)

// A field that is missing from the record would change the job when another entry process
// becomes leader.
func TestRecordKeepsEveryField(t *testing.T) {
	job := &Job{
		ID: "5c0e7a21d94b36f8", Queue: "plans", Spec: "cut", Repetitions: 3,
		FirstDue: time.UnixMilli(1_700_000_000_000), Interval: 2 * time.Second, Submitted: time.UnixMilli(1_699_999_999_000),
		Steps: []Step{
			{Count: 4, Size: units.Resources{Processors: 500, Memory: 256 * units.MiB, Accelerators: 1}, Estimate: 900 * time.Millisecond,
				Checkpointing: true, Gang: true, SameRack: true, RequiredLabel: "a", DataRack: "r1", AntiAffinity: 2, Speculative: true,
				LongRunning: true, BestEffort: true, Image: "i1", LatencyTarget: 18 * time.Millisecond, MaxUnavailable: 1},
			{Count: 1, After: []int{0}},
		},
	}
	policy := Policy{Service: "desk", Priority: 2, MaxAttempts: 2, Stretch: 1.5, LatencyAllowance: 300 * time.Millisecond,
		Advice: &Advice{CallTime: 5 * time.Millisecond, TimePerWorker: time.Millisecond, TicketValidity: 3 * time.Second}}
	data, err := Encode(job, policy)
	if err != nil {
		t.Fatal(err)
	}
	gotJob, gotPolicy, err := Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(gotJob, job) {
		t.Errorf("job: got %+v, want %+v", gotJob, job)
	}
	if !reflect.DeepEqual(gotPolicy, policy) {
		t.Errorf("policy: got %+v, want %+v", gotPolicy, policy)
	}
}

// A task id must survive formatting and parsing, and malformed ids must be rejected.
func TestTaskIDRoundTrip(t *testing.T) {
	want := TaskID{"5c0e7a21d94b36f8", 2, 1, 17}
	got, err := ParseTaskID(want.String())
	if err != nil || got != want {
		t.Errorf("got %v, %v, want %v", got, err, want)
	}
	for _, bad := range []string{"", "a.b", "a.0.0", "a.0.0.x", "a.0.0.-1", ".0.0.0", "a.0.0.0.0"} {
		if id, err := ParseTaskID(bad); err == nil {
			t.Errorf("ParseTaskID(%q): got %v, want an error", bad, id)
		}
	}
}

// A job that can never be scheduled must be rejected at submission.
func TestValidateRejectsInvalidJobs(t *testing.T) {
	cases := map[string]Job{
		"no steps":                      {},
		"step without tasks":            {Steps: []Step{{Count: 0}}},
		"dependency on the step itself": {Steps: []Step{{Count: 1, After: []int{0}}}},
		"negative size":                 {Steps: []Step{{Count: 1, Size: units.Resources{Processors: -1}}}},
		"too many tasks":                {Steps: []Step{{Count: maxTasks + 1}}},
		"long spec":                     {Spec: strings.Repeat("x", maxSpecBytes+1), Steps: []Step{{Count: 1}}},
		"negative repetitions":          {Repetitions: -1, Steps: []Step{{Count: 1}}},
		"counts whose sum wraps around": {Steps: []Step{{Count: 1 << 62}, {Count: 1 << 62}, {Count: 1 << 62}, {Count: 1 << 62}}},
		"size beyond every machine":     {Steps: []Step{{Count: 1, Size: units.Resources{Memory: 1 << 62}}}},
		"negative estimate":             {Steps: []Step{{Count: 1, Estimate: -time.Second}}},
		"negative limit per worker":     {Steps: []Step{{Count: 1, AntiAffinity: -1}}},
		"due times that wrap around":    {Steps: []Step{{Count: 1}}, Repetitions: 1 << 20, FirstDue: time.UnixMilli(1), Interval: maxDuration},
		"negative interval":             {Steps: []Step{{Count: 1}}, Repetitions: 2, FirstDue: time.UnixMilli(1), Interval: -1},
		"year 20000":                    {Steps: []Step{{Count: 1}}, Repetitions: 2, FirstDue: time.Date(20000, 1, 1, 0, 0, 0, 0, time.UTC)},
	}
	for name, job := range cases {
		if err := job.Validate(); err == nil {
			t.Errorf("%s: got no error, want one", name)
		}
	}
	good := Job{Spec: "x", Steps: []Step{{Count: 1}, {Count: 2, After: []int{0}}}}
	if err := good.Validate(); err != nil {
		t.Errorf("got %v, want no error", err)
	}
}
