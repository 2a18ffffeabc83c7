package administration

import (
	"reflect"
	"strings"
	"testing"
	"time"
)

const sampleJob = `{"name": "festival", "team": "moulds", "kind": "mould", "priority": "high", "tasks": 3, // three moulds
  "size": {"processors": "2.5", "memory": "1GiB", "accelerators": 1}, "runTime": "5m"}`

// Guards against a job file that makes the parser panic, which would crash an entry
// process, and against a job that changes when it is encoded and parsed again, as
// between client and server.
func FuzzParseSubmission(f *testing.F) {
	f.Add([]byte(sampleJob))
	f.Add([]byte(`{}`))
	f.Add([]byte(sampleJob[:60]))
	f.Add([]byte(strings.Replace(sampleJob, `"5m"`, `"1ns"`, 1)))
	f.Add([]byte(strings.Replace(sampleJob, `3`, `1e99`, 1)))
	f.Add([]byte(strings.Replace(sampleJob, `"2.5"`, `"Infm"`, 1)))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := ParseSubmission("fuzz", text, "", nil)
		if err != nil {
			if KindOf(err) != KindInvalid {
				t.Errorf("got kind %q, want invalid: %v", KindOf(err), err)
			}
			return
		}
		s.RunTime = s.RunTime.Round(time.Millisecond)
		again, err := ParseSubmission("encoded", EncodeSubmission(s), "", nil)
		if err != nil || !reflect.DeepEqual(again, s) {
			t.Errorf("got %+v and %v, want %+v", again, err, s)
		}
	})
}
