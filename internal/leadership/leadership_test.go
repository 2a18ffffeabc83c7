package leadership_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/durable"
	"wasabihill.example/wasabihill/internal/leadership"
	"wasabihill.example/wasabihill/internal/standin/metastore"
	"wasabihill.example/wasabihill/pkg/units"
	"wasabihill.example/wasabihill/platform"
)

// asked asks an elector whether it leads while its first claim is on its way: the
// store has carried it out, and the answer arrives after the delay.
type asked struct {
	durable.Store
	elector *leadership.Elector
	delay   time.Duration
	leads   chan bool
}

func (a *asked) Append(ctx context.Context, in durable.AppendRequest) (units.Offset, error) {
	offset, err := a.Store.Append(ctx, in)
	if *in.ExpectedEnd == 0 {
		time.Sleep(a.delay)
		a.leads <- a.elector.ConfirmOrRenounce(1)
	}
	return offset, err
}

// startAsked starts an elector that is asked once its first claim is delayed.
func startAsked(t *testing.T, delay time.Duration) (*candidate, chan bool) {
	leads := make(chan bool, 16)
	c := start(t, metastore.NewLog(), "a", func(e *leadership.Elector) {
		e.Store = &asked{Store: e.Store, elector: e, delay: delay, leads: leads}
	})
	return c, leads
}

// A follower reads a claim from the store before the claimant has the answer to
// it, and asks whether the claimant leads. A claimant that denies it then gives a
// claim up that everybody follows, and the processes are without a leader until
// another claim.
func TestClaimOnItsWayIsNotDenied(t *testing.T) {
	c, leads := startAsked(t, 0)
	if got, want := c.wantTerm(t, 2*time.Second), leadership.Term(1); got != want {
		t.Errorf("term: got %d, want %d, the first claim", got, want)
	}
	if !<-leads {
		t.Error("term 1 was denied while its claim was on its way")
	}
}

// candidate is an elector with the store's door of its own.
type candidate struct {
	*leadership.Elector
	door  *metastore.Door
	terms chan leadership.Term
	stop  func()
}

func start(t *testing.T, log *metastore.Log, name string, change func(*leadership.Elector)) *candidate {
	t.Helper()
	door := log.Open()
	c := &candidate{door: door, terms: make(chan leadership.Term, 16)}
	c.Elector = &leadership.Elector{Store: platform.NewStore(door.Address), Name: name, Address: name, FirstStart: true}
	c.RunLeader = func(ctx context.Context, term leadership.Term) {
		c.terms <- term
		<-ctx.Done()
	}
	if change != nil {
		change(c.Elector)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	wait.Go(func() { _ = c.Run(ctx) }) // ends with ctx
	c.stop = func() {
		cancel()
		wait.Wait()
		door.Close()
	}
	t.Cleanup(c.stop)
	return c
}

func (c *candidate) wantTerm(t *testing.T, within time.Duration) leadership.Term {
	t.Helper()
	select {
	case term := <-c.terms:
		return term
	case <-time.After(within):
		t.Fatalf("%s does not lead within %v", c.Name, within)
		return 0
	}
}

// Never may two processes have authority at one moment.
func TestOneLeaderAtATime(t *testing.T) {
	log := metastore.NewLog()
	candidates := []*candidate{start(t, log, "a", nil), start(t, log, "b", nil), start(t, log, "c", nil)}
	deadline := time.Now().Add(6 * time.Second)
	for cut := 0; time.Now().Before(deadline); cut++ {
		leaders := 0
		for _, c := range candidates {
			if c.Leads(c.Leader().Term) {
				leaders++
			}
		}
		if leaders > 1 {
			t.Fatalf("got %d leaders, want at most one", leaders)
		}
		if cut == 200 { // about a second: the leader loses the store
			for _, c := range candidates {
				if c.Leads(c.Leader().Term) {
					c.door.Set(metastore.Fault{Silent: true})
				}
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	if got := len(candidates[0].terms) + len(candidates[1].terms) + len(candidates[2].terms); got < 2 {
		t.Errorf("leaderships: got %d, want one more after the first leader lost the store", got)
	}
}

// A later leader has a higher term: it fences records and orders.
func TestTermsRise(t *testing.T) {
	log := metastore.NewLog()
	a := start(t, log, "a", nil)
	first := a.wantTerm(t, 3*time.Second)
	a.stop()
	b := start(t, log, "b", nil)
	if second := b.wantTerm(t, 4*time.Second); second <= first {
		t.Errorf("term of the second leader: got %d, want more than %d", second, first)
	}
}

// A process that has denied to lead a term never leads it, although its claim
// may still be answered: whoever asked takes the leadership over.
func TestDenialIsFinal(t *testing.T) {
	c, leads := startAsked(t, 400*time.Millisecond)
	if <-leads {
		t.Fatal("term 1 is led although the answer to its claim is 400 ms late")
	}
	select {
	case term := <-c.terms:
		if term == 1 {
			t.Error("term 1 is led after it was denied")
		}
	case <-time.After(time.Second):
	}
}

// A promise not to claim is refused by a process that the store answers, and
// holds for its time otherwise.
func TestPromise(t *testing.T) {
	log := metastore.NewLog()
	a := start(t, log, "a", nil)
	term := a.wantTerm(t, 3*time.Second)
	b := start(t, log, "b", nil)
	time.Sleep(300 * time.Millisecond)
	if promised, reachable, _ := b.Promise(term); promised || !reachable {
		t.Errorf("with the store: got promised %t, reachable %t, want a refusal", promised, reachable)
	}
	b.door.Set(metastore.Fault{Silent: true})
	time.Sleep(1500 * time.Millisecond)
	if promised, _, _ := b.Promise(term); !promised {
		t.Error("without the store: got a refusal, want a promise")
	}
	at := bootclock.Now()
	a.door.Set(metastore.Fault{Silent: true})
	b.door.Set(metastore.Fault{})
	b.wantTerm(t, 8*time.Second)
	if waited := bootclock.Now().Sub(at); waited < leadership.PromiseDuration-100*time.Millisecond {
		t.Errorf("claimed %v after the promise, want at least %v", waited, leadership.PromiseDuration)
	}
}
