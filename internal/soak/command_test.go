package soak

import (
	"context"
	"testing"

	"github.com/urfave/cli/v3"
)

// TestReproduceCommand guards against a printed command that repeats another
// schedule of faults than that of the run.
func TestReproduceCommand(t *testing.T) {
	for _, c := range []struct {
		args []string
		want string
	}{
		{nil, "wasabihill-soak --seed 7 --processes 9 --faults 20s"},
		{[]string{"--only", "pause", "--faults", "5s"}, "wasabihill-soak --seed 7 --processes 9 --faults 5s --only pause"},
		{[]string{"--entries", "3", "--catalog", "machine"}, "wasabihill-soak --seed 7 --processes 9 --faults 20s --entries 3 --catalog machine"},
		{[]string{"--only", "hostCut,pause", "--rate", "0.25", "--shares", "0.5"}, "wasabihill-soak --seed 7 --processes 9 --faults 20s --only hostCut,pause --rate 0.25 --shares 0.5"},
	} {
		var got string
		command := Command()
		command.Action = func(_ context.Context, parsed *cli.Command) error {
			got = (&campaign{command: parsed, entries: 3, agents: 6}).reproduceCommand(7)
			return nil
		}
		if err := command.Run(t.Context(), append([]string{"wasabihill-soak"}, c.args...)); err != nil {
			t.Fatal(err)
		}
		if got != c.want {
			t.Errorf("%v: got %q, want %q", c.args, got, c.want)
		}
	}
}
