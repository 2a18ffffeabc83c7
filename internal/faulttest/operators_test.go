package faulttest

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"wasabihill.example/wasabihill/pkg/administration"
	"wasabihill.example/wasabihill/pkg/units"
)

// TestOperatorsRace guards against two operators whose concurrent edits of the same
// version are both acknowledged, and against an entry process that shows an older
// version afterwards.
func TestOperatorsRace(t *testing.T) {
	t.Parallel()
	for _, f := range []struct {
		fault
		rounds int
	}{
		{fault{"healthy", func(*System) {}}, 20},
		{fault{"logRepliesLost", func(s *System) { s.SetFault(s.LogAddress, `{"loseReplies":0.3,"late":0.1,"seed":5}`) }}, 8},
		{fault{"logSlow", func(s *System) { s.SetFault(s.LogAddress, `{"delay":"100ms","jitter":"200ms","seed":5}`) }}, 5},
	} {
		t.Run(f.name, func(t *testing.T) {
			s := startSystem(t)
			recorder := s.StartRecording(trafficDuration)
			f.inject(s)
			for round := range f.rounds {
				s.publishConcurrently(round)
			}
			s.SetFault(s.LogAddress, `{}`)
			recorder.Check()
		})
	}
}

// editResult is the text that an operator published and the result.
type editResult struct {
	text      []byte
	published administration.Published
	err       error
}

func (s *System) publishConcurrently(round int) {
	s.t.Helper()
	base := s.agreedVersion()
	var edits [entryCount]editResult
	var group errgroup.Group
	for i, e := range s.Entries {
		edits[i].text = Document(40 + entryCount*round + i)
		group.Go(func() error {
			edits[i].published, edits[i].err = publish(e, base, edits[i].text)
			return nil
		})
	}
	_ = group.Wait()
	winner, loser := edits[0], edits[1]
	if winner.err != nil {
		winner, loser = loser, winner
	}
	var lost *administration.Error
	switch {
	case winner.err != nil || loser.err == nil:
		s.t.Fatalf("guarantee 10, round %d: want one published edit and one rejected; got errors %v and %v", round, winner.err, loser.err)
	case !errors.As(loser.err, &lost) || lost.Kind != administration.KindLostRace || lost.Details.Winner != winner.published.Version:
		s.t.Fatalf("guarantee 10, round %d: the rejected operator got error %v; version %d is in force", round, loser.err, winner.published.Version)
	}
	s.WaitUntil(3*time.Second, "the accepted edit is in force on every entry process", func(ctx context.Context) error { return s.checkInForce(ctx, winner) })
}

// publish publishes an edit, and retries under the same idempotency key until the
// outcome is known.
func publish(e *Entry, base units.Offset, text []byte) (administration.Published, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	client := administration.Client{Servers: []string{e.AdminAddress}, Token: operatorToken, Timeout: 5 * time.Second}
	publication := administration.Publication{Environment: environmentName, Key: administration.NewKey(), Base: base, Author: string(e.ID), Text: text}
	for {
		published, err := client.Publish(ctx, publication, "document.json")
		if administration.KindOf(err) != administration.KindUnavailable || ctx.Err() != nil {
			return published, err
		}
	}
}

// agreedVersion waits until every entry process has the same version and returns
// it.
func (s *System) agreedVersion() (version units.Offset) {
	s.t.Helper()
	s.WaitUntil(10*time.Second, "the entry processes agree", func(ctx context.Context) error {
		var seen [entryCount]units.Offset
		for i, e := range s.Entries {
			document, err := s.documentAt(ctx, e)
			if err != nil {
				return err
			}
			seen[i] = document.Version
		}
		version = seen[0]
		if seen[1] != version {
			return fmt.Errorf("versions %v", seen)
		}
		return nil
	})
	return version
}

func (s *System) checkInForce(ctx context.Context, winner editResult) error {
	for _, e := range s.Entries {
		document, err := s.documentAt(ctx, e)
		if err != nil {
			return err
		}
		if document.Version != winner.published.Version || !bytes.Equal([]byte(document.Text), winner.text) {
			return fmt.Errorf("%s has version %d, want %d", e.ID, document.Version, winner.published.Version)
		}
	}
	return nil
}

func (s *System) documentAt(ctx context.Context, e *Entry) (administration.Document, error) {
	client := administration.Client{Servers: []string{e.AdminAddress}, Token: operatorToken, Timeout: 2 * time.Second}
	return client.Document(ctx, environmentName, 0)
}
