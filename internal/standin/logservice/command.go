package logservice

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"
)

const (
	shutdownTimeout   = 5 * time.Second
	readHeaderTimeout = 5 * time.Second
	maxHeaderBytes    = 16 << 10
)

const description = `An in-memory stand-in for the platform's log service. It keeps named
streams of records and forgets them when it stops.

Run it with the limits of the real service:

   wasabihill-standin log --listen 127.0.0.1:7000 --rate 400 --retain-age 24h

Append a record and read the stream (payloads are base64):

   curl -d 'hello' http://127.0.0.1:7000/v1/streams/demo/records
   {"offset":1}
   curl 'http://127.0.0.1:7000/v1/streams/demo/records?from=1&wait=250ms'
   {"first":1,"next":2,"records":[{"offset":1,"payload":"aGVsbG8="}]}

Lose one append reply in ten after the effect, then end all faults:

   curl -d '{"loseReplies":0.1,"seed":7}' http://127.0.0.1:7000/v1/faults
   curl -d '{}' http://127.0.0.1:7000/v1/faults

Start an outage, or make every operation slow:

   curl -d '{"outage":true}' http://127.0.0.1:7000/v1/faults
   curl -d '{"delay":"200ms","jitter":"300ms"}' http://127.0.0.1:7000/v1/faults`

// Command returns the subcommand that serves a Log until its context is done.
func Command() *cli.Command {
	return &cli.Command{
		Name:        "log",
		Usage:       "serve an in-memory log service",
		Description: description,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:7000", Usage: "TCP `ADDRESS` to serve on"},
			&cli.FloatFlag{Name: "rate", Value: 400, Usage: "appends per second over all streams; 0 means no limit"},
			&cli.DurationFlag{Name: "retain-age", Value: 24 * time.Hour, Usage: "how long records are kept; 0 means forever"},
			&cli.IntFlag{Name: "retain-count", Usage: "records kept per stream; 0 means all"},
			&cli.IntFlag{Name: "max-record", Value: DefaultMaxRecord, Usage: "largest record in `BYTES`"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			listener, err := net.Listen("tcp", c.String("listen"))
			if err != nil {
				return err
			}
			log := &Log{
				Rate: c.Float("rate"), MaxRecord: c.Int("max-record"),
				RetainAge: c.Duration("retain-age"), RetainCount: c.Int("retain-count"),
			}
			klog.InfoS("log service listening", "address", listener.Addr().String(), "rate", log.Rate, "retainAge", log.RetainAge)
			return Serve(ctx, listener, log)
		},
	}
}

// Serve serves log on listener until ctx is done, then waits for the requests in
// progress.
func Serve(ctx context.Context, listener net.Listener, log *Log) error {
	server := &http.Server{Handler: log.Handler(), ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		return server.Shutdown(stopping)
	})
	return group.Wait()
}
