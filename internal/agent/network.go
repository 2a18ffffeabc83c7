package agent

import (
	"context"
	"net/http"

	"google.golang.org/protobuf/proto"

	"wasabihill.example/wasabihill/internal/link"
)

// Message is a protobuf message.
type Message = proto.Message

func (a *Agent) dial(ctx context.Context, address string) (Session, error) {
	if a.Dial != nil {
		return a.Dial(ctx, address, a.handler)
	}
	session, err := link.Dial(ctx, address, a.handler)
	if err != nil {
		return nil, err // a nil *link.Session in a Session would not equal nil
	}
	return session, nil
}

func (a *Agent) listen(ctx context.Context) (func(context.Context), error) {
	if a.Listen != nil {
		return a.Listen(ctx, a.LinkAddress, a.handler)
	}
	return listenLink(ctx, a, a.LinkAddress, a.handler)
}

func listenLink(ctx context.Context, a *Agent, address string, handler http.Handler) (func(context.Context), error) {
	listener := &link.Listener{Address: address, Handler: handler}
	bound, err := listener.Listen()
	if err != nil {
		return nil, err
	}
	a.LinkAddress = bound.String()
	ctx, cancel := context.WithCancel(ctx)
	a.spawn(func() {
		// The error of a closed listener carries no further information.
		_ = listener.Run(ctx)
	})
	return func(deadline context.Context) {
		cancel()
		listener.Shutdown(deadline)
	}, nil
}
