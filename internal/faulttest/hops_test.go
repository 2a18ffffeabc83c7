package faulttest

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/relay"
)

// TestHopsAreRelayed guards against faults that do not affect the traffic because
// a process bypasses its relay, as happened when agents advertised their own link
// address instead of the configured one.
func TestHopsAreRelayed(t *testing.T) {
	s := startSystem(t)
	s.StartRecording(10 * time.Second)
	s.WaitUntil(10*time.Second, "every hop is relayed", func(context.Context) error {
		lease := int64(0)
		for _, n := range s.Nodes {
			lease += n.ToLink.ForwardedBytes()
			for _, r := range append([]*relay.Relay{n.ToEndpoint, n.ToWorker}, n.ToEntry[:]...) {
				if r.ForwardedBytes() == 0 {
					return fmt.Errorf("no data was relayed from %s to %s", n.ID, r.Target())
				}
			}
		}
		for _, e := range s.Entries {
			if e.ToLog.ForwardedBytes() == 0 {
				return fmt.Errorf("no data was relayed from %s to the log", e.ID)
			}
		}
		if lease == 0 {
			return errors.New("no lease request was relayed")
		}
		return nil
	})
}
