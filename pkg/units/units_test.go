package units

import "testing"

// Guards against accepting forms that strconv parses but that are no sizes. NaN,
// for example, would pass every comparison with a capacity.
func TestParseSizes(t *testing.T) {
	for _, c := range []struct {
		text string
		want Bytes
		ok   bool
	}{
		{"125GB", 125e9, true}, {"1.5GiB", 3 << 29, true}, {"512MiB", 512 * MiB, true}, {"0B", 0, true}, {"1TB", 1e12, true},
		{"NaNGiB", 0, false}, {"0x10MiB", 0, false}, {"1e3GB", 0, false}, {"-1GB", 0, false}, {"GB", 0, false}, {"12", 0, false}, {"InfB", 0, false},
	} {
		got, err := ParseBytes(c.text)
		if got != c.want || (err == nil) != c.ok {
			t.Errorf("memory %q: got %d, %v; want %d, ok %v", c.text, got, err, c.want, c.ok)
		}
	}
	for _, c := range []struct {
		text string
		want Millicores
		ok   bool
	}{
		{"2", 2000, true}, {"0.5", 500, true}, {"250m", 250, true},
		{"NaN", 0, false}, {"0x2", 0, false}, {"1e2", 0, false}, {"-2", 0, false}, {"", 0, false}, {"-1m", 0, false}, {"2000001", 0, false},
	} {
		got, err := ParseMillicores(c.text)
		if got != c.want || (err == nil) != c.ok {
			t.Errorf("processors %q: got %d, %v; want %d, ok %v", c.text, got, err, c.want, c.ok)
		}
	}
}

// Guards against values that change when they are formatted and parsed again, as
// when a document is written and read.
func TestSizesRoundTrip(t *testing.T) {
	for text, b := range map[string]Bytes{"125GB": 125e9, "16GiB": 16 * GiB, "600GB": 600e9, "1B": 1, "0B": 0, "3KiB": 3 * KiB} {
		if got := b.String(); got != text {
			t.Errorf("got %s, want %s", got, text)
		}
		if got, err := ParseBytes(b.String()); got != b || err != nil {
			t.Errorf("%s: got %d, %v; want %d", text, got, err, b)
		}
	}
	task := Task{Job: "watcher/freezeMonitor", Index: 3}
	if got, err := ParseTask(task.String()); got != task || err != nil {
		t.Errorf("got %v, %v; want %v", got, err, task)
	}
}
