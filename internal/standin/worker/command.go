package worker

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/pkg/units"
	"wasabihill.example/wasabihill/pkg/workerapi"
)

// NewHandler returns a handler for the worker interface and for the paths that
// only the stand-in has: GET /v1/runs, POST /v1/faults and POST /v1/restart.
func NewHandler(c *Core) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", workerapi.NewHandler(c))
	mux.HandleFunc("GET /v1/runs", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(struct {
			Runs []Run `json:"runs"`
		}{c.Runs()})
	})
	mux.HandleFunc("POST /v1/faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, 64<<10))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		c.SetFaults(f)
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("POST /v1/restart", func(w http.ResponseWriter, _ *http.Request) {
		c.Restart()
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

// advanceInterval is the maximum delay with which an expired lease shows in the
// run log. Progress past the end of a lease is never counted, whatever the
// interval.
const advanceInterval = 20 * time.Millisecond

// Serve serves c on the listener until ctx is done.
func Serve(ctx context.Context, listener net.Listener, c *Core) error {
	server := &http.Server{Handler: NewHandler(c), ReadHeaderTimeout: 5 * time.Second, ReadTimeout: 10 * time.Second, MaxHeaderBytes: 16 << 10}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		if err := server.Serve(listener); err != http.ErrServerClosed {
			return err
		}
		return nil
	})
	group.Go(func() error {
		ticker := time.NewTicker(advanceInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				c.Advance()
			case <-ctx.Done():
				return server.Close()
			}
		}
	})
	return group.Wait()
}

// Command returns the subcommand that runs the stand-in worker.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "worker",
		Usage: "stand in for one worker of the platform",
		Description: `Serves the worker interface in memory.

Examples:
   A worker of 32 cores that shows usage three seconds late:
     wasabihill-standin worker --name worker-1 --address 127.0.0.1:7001 \
       --processors 32 --memory 125GB --usage-lag 3s

   Let every task fail, then heal the worker:
     curl -d '{"failTasks":true}' http://127.0.0.1:7001/v1/faults
     curl -d '{}' http://127.0.0.1:7001/v1/faults

   Lose the replies of the next two starts after they took effect:
     curl -d '{"loseReplies":2,"loseOp":"start"}' http://127.0.0.1:7001/v1/faults

   Replace the instance: everything that ran is gone:
     curl -X POST http://127.0.0.1:7001/v1/restart

   Show every interval in which an attempt ran:
     curl http://127.0.0.1:7001/v1/runs`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "name", Value: "worker-1", Usage: "worker id shown in the run log"},
			&cli.StringFlag{Name: "address", Value: "127.0.0.1:7001", Usage: "IP:port to listen on"},
			&cli.StringFlag{Name: "processors", Value: "16", Usage: "cores"},
			&cli.StringFlag{Name: "memory", Value: "60GB", Usage: "memory"},
			&cli.IntFlag{Name: "accelerators", Usage: "accelerators"},
			&cli.DurationFlag{Name: "usage-lag", Value: 2 * time.Second, Usage: "age of a usage sample when it becomes visible"},
			&cli.FloatFlag{Name: "actual-size", Value: 1, Usage: "what tasks really use, as a multiple of their declared size"},
			&cli.FloatFlag{Name: "actual-run-time", Value: 1, Usage: "how long tasks really run, as a multiple of their declared run time"},
			&cli.Uint64Flag{Name: "first-epoch", Usage: "issue epochs above this one; 0 takes the wall clock in seconds, so that a replaced worker issues higher epochs"},
		},
		Action: run,
	}
}

func run(ctx context.Context, command *cli.Command) error {
	processors, err := units.ParseMillicores(command.String("processors"))
	if err != nil {
		return err
	}
	memory, err := units.ParseBytes(command.String("memory"))
	if err != nil {
		return err
	}
	first := units.Epoch(command.Uint64("first-epoch"))
	if first == 0 {
		first = units.Epoch(time.Now().Unix())
	}
	size, runTime := command.Float("actual-size"), command.Float("actual-run-time")
	core := &Core{
		Name:       units.WorkerID(command.String("name")),
		Capacity:   units.Resources{Processors: processors, Memory: memory, Accelerators: int32(command.Int("accelerators"))},
		FirstEpoch: first,
		UsageLag:   command.Duration("usage-lag"),
		ActualSize: func(r workerapi.StartRequest) units.Resources {
			r.Size.Processors = units.Millicores(float64(r.Size.Processors) * size)
			r.Size.Memory = units.Bytes(float64(r.Size.Memory) * size)
			return r.Size
		},
		ActualRunTime: func(r workerapi.StartRequest) time.Duration {
			return time.Duration(float64(r.RunTime) * runTime)
		},
	}
	listener, err := net.Listen("tcp", command.String("address"))
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	klog.InfoS("worker listening", "worker", core.Name, "address", listener.Addr())
	return Serve(ctx, listener, core)
}
