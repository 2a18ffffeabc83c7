package link

import (
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

// streamSet holds the open streams of a session. While a yamux session closes, until it has closed
// its connection and then its streams, each read of a stream that waits for data runs in a loop
// without a pause. On a single processor that can keep the close itself from going on. So the
// deadlines of all streams are set to the past before the connection is closed: such a read fails.
type streamSet struct {
	mu      sync.Mutex
	streams map[*trackedStream]struct{}
	ended   bool
}

// trackedStream is a stream that leaves its set when it is closed.
type trackedStream struct {
	*yamux.Stream
	set *streamSet
}

// add returns the stream as a connection that is in the set until it is closed.
func (s *streamSet) add(stream *yamux.Stream) net.Conn {
	t := &trackedStream{Stream: stream, set: s}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		expire(t)
		return t
	}
	if s.streams == nil {
		s.streams = make(map[*trackedStream]struct{})
	}
	s.streams[t] = struct{}{}
	return t
}

// Close implements net.Conn.
func (t *trackedStream) Close() error {
	t.set.mu.Lock()
	delete(t.set.streams, t)
	t.set.mu.Unlock()
	return t.Stream.Close()
}

// end makes the reads and writes of all streams fail that wait, now and later.
func (s *streamSet) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	for t := range s.streams {
		expire(t)
	}
}

func expire(t *trackedStream) { _ = t.SetDeadline(time.Unix(1, 0)) } // never fails
