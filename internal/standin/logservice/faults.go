package logservice

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"
)

// Outcome is the effect of an injected fault on one append.
type Outcome string

// The outcomes of an append.
const (
	OutcomeDone        Outcome = "done"
	OutcomeUnavailable Outcome = "unavailable" // rejected without effect
	OutcomeLost        Outcome = "lost"        // took effect, but the reply is lost
	OutcomeLate        Outcome = "late"        // no reply; takes effect after the next append of the stream
)

// maxScript is the maximum number of outcomes in the script of one request to
// /v1/faults.
const maxScript = 10000

// Faults are the faults that a test or POST /v1/faults injects. The zero value
// injects none.
type Faults struct {
	Outage      bool      `json:"outage"`      // every append and read is rejected
	Delay       Duration  `json:"delay"`       // delay before and after the effect of an append, and before a read
	Jitter      Duration  `json:"jitter"`      // maximum of a random delay added to Delay
	LoseReplies float64   `json:"loseReplies"` // share of appends whose reply is lost after the effect
	Late        float64   `json:"late"`        // share of appends that take effect late
	Unavailable float64   `json:"unavailable"` // share of appends rejected without effect
	Seed        uint64    `json:"seed"`        // seed of the random source for shares and jitter
	Script      []Outcome `json:"script"`      // outcomes of the next appends, in order, before the shares apply
}

// Duration is a time.Duration that is encoded in JSON as a string such as "50ms".
type Duration time.Duration

// MarshalJSON encodes d as a Go duration.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// UnmarshalJSON decodes a Go duration.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var text string
	if err := json.Unmarshal(b, &text); err != nil {
		return err
	}
	value, err := time.ParseDuration(text)
	*d = Duration(value)
	return err
}

// Validate returns an error that describes the first invalid value.
func (f Faults) Validate() error {
	if f.Delay < 0 || f.Jitter < 0 {
		return fmt.Errorf("delay %s or jitter %s is negative", time.Duration(f.Delay), time.Duration(f.Jitter))
	}
	for _, share := range []float64{f.LoseReplies, f.Late, f.Unavailable} {
		if share < 0 || share > 1 {
			return fmt.Errorf("share %g is not between 0 and 1", share)
		}
	}
	if len(f.Script) > maxScript {
		return fmt.Errorf("script has %d outcomes, at most %d", len(f.Script), maxScript)
	}
	for _, o := range f.Script {
		if o != OutcomeDone && o != OutcomeUnavailable && o != OutcomeLost && o != OutcomeLate {
			return fmt.Errorf("unknown outcome %.40q", o)
		}
	}
	return nil
}

// injector determines the outcome of each operation. It is guarded by the mutex of
// Log.
type injector struct {
	faults Faults
	random *rand.Rand
}

func (i *injector) set(f Faults) {
	f.Script = append([]Outcome(nil), f.Script...)
	i.faults, i.random = f, rand.New(rand.NewPCG(f.Seed, 0))
}

func (i *injector) nextAppend() (Outcome, time.Duration) {
	delay := i.delay()
	switch {
	case i.faults.Outage:
		return OutcomeUnavailable, delay
	case len(i.faults.Script) > 0:
		outcome := i.faults.Script[0]
		i.faults.Script = i.faults.Script[1:]
		return outcome, delay
	case i.random == nil:
		return OutcomeDone, delay
	}
	draw := i.random.Float64()
	for _, share := range []struct {
		size    float64
		outcome Outcome
	}{{i.faults.LoseReplies, OutcomeLost}, {i.faults.Late, OutcomeLate}, {i.faults.Unavailable, OutcomeUnavailable}} {
		if draw < share.size {
			return share.outcome, delay
		}
		draw -= share.size
	}
	return OutcomeDone, delay
}

func (i *injector) nextRead() (outage bool, delay time.Duration) {
	return i.faults.Outage, i.delay()
}

func (i *injector) delay() time.Duration {
	delay := time.Duration(i.faults.Delay)
	if i.faults.Jitter > 0 {
		delay += time.Duration(i.random.Int64N(int64(i.faults.Jitter)))
	}
	return delay
}
