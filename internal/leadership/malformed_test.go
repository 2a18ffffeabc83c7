package leadership

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"wasabihill.example/wasabihill/internal/wire"
)

// Guards against a record of another writer that outranks every later claim: then no process
// would lead again.
func TestRecordWithImpossibleTermIsIgnored(t *testing.T) {
	e := &Elector{Name: "a"}
	for _, record := range []*wire.LeadershipRecord{{Name: "odd", Address: "10.0.0.1:70000", Term: 1 << 63}, {Name: "odd", Term: 9}, {Name: "odd"}} {
		value, err := proto.Marshal(record)
		if err != nil {
			t.Fatal(err)
		}
		e.apply(7, value)
		if got := e.Leader(); got.Term != 0 {
			t.Errorf("leader after a record of term %d at offset 7: got %+v, want none", record.GetTerm(), got)
		}
	}
	value, err := proto.Marshal(&wire.LeadershipRecord{Name: "b", Address: "10.0.0.1:80", Term: 8})
	if err != nil {
		t.Fatal(err)
	}
	e.apply(7, value)
	if got := e.Leader().Name; got != "b" {
		t.Errorf("leader after a claim at offset 7: got %q, want b", got)
	}
}

func FuzzApplyRecord(f *testing.F) {
	value, err := proto.Marshal(&wire.LeadershipRecord{Name: "b", Address: "10.0.0.1:80", Term: 8})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(value)
	f.Fuzz(func(t *testing.T, data []byte) {
		e := &Elector{Name: "a"}
		e.apply(7, data)
		if got := e.Leader().Term; got > claimedTerm(7) {
			t.Fatalf("got term %d, want at most that of a claim at the offset", got)
		}
	})
}
