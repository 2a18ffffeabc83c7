package link

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/yamux"
)

// Guards against a process that closes every session, and so fails the requests
// in flight, when it resumes after a pause: the timeout of a ping expired
// during the pause while the reply was waiting in the socket.
func TestKeepAliveSurvivesStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replies := []struct {
			after time.Duration
			err   error
		}{
			{time.Millisecond, nil},
			{writeTimeout + 4*time.Second, yamux.ErrTimeout},
			{writeTimeout + time.Second, yamux.ErrConnectionWriteTimeout},
			{time.Millisecond, nil},
			{writeTimeout, yamux.ErrTimeout},
		}
		pings := 0
		ended := false
		keepAlive(nil, func() error {
			a := replies[pings]
			pings++
			time.Sleep(a.after)
			return a.err
		}, func() { ended = true })
		if got, want := pings, len(replies); got != want || !ended {
			t.Errorf("ended %t after %d pings, want true after %d", ended, got, want)
		}
	})
}
