package capacity

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"wasabihill.example/wasabihill/internal/standin/logservice"
	"wasabihill.example/wasabihill/internal/standin/worker"
	"wasabihill.example/wasabihill/pkg/units"
)

const environmentName = "production"

// domains are the four failure domains of the target cluster, in two regions.
var domains = []units.DomainName{"pwani-a", "pwani-b", "bara-a", "bara-b"}

func region(i int) units.RegionName {
	name, _, _ := strings.Cut(string(domains[i%len(domains)]), "-")
	return units.RegionName(name)
}

// document returns a configuration document with the 150 teams of the target
// cluster. version changes its text but not its meaning.
func document(version int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "// version %d\n{\"environment\": %q, \"failureDomains\": [", version, environmentName)
	for i, d := range domains {
		fmt.Fprintf(&b, "%s{\"name\": %q, \"region\": %q, \"state\": \"in\"}", separator(i), d, region(i))
	}
	b.WriteString("], \"teams\": [")
	for i := range teamCount {
		fmt.Fprintf(&b, "%s{\"name\": %q, \"quota\": {\"processors\": \"200\", \"memory\": \"800GiB\", \"accelerators\": 0}, \"mayBorrow\": true}", separator(i), teamName(i))
	}
	b.WriteString(`], "services": [{"name": "mouldDesk", "team": "team-001", "priority": "urgent", "latencyTarget": "50ms",
  "perEndpoint": {"processors": "8", "memory": "16GiB"}, "slots": 8, "connections": 64}],
 "watchers": [], "guards": {"enabled": true, "latencyRatio": 1.2}, "drainedWorkers": [],
 "largestWorker": {"processors": "32", "memory": "125GB", "accelerators": 0}}`)
	return []byte(b.String())
}

const teamCount = 150

func teamName(i int) string { return fmt.Sprintf("team-%03d", i%teamCount+1) }

func separator(i int) string {
	if i == 0 {
		return ""
	}
	return ", "
}

// platform contains the stand-ins of the log service and the workers.
type platform struct {
	log            *logservice.Log
	cores          []*worker.Core
	logAddress     string
	workersAddress string
	servers        []*http.Server
	stop           context.CancelFunc
	running        sync.WaitGroup
}

func startPlatform(ctx context.Context, workers int, rate float64) (*platform, error) {
	ctx, stop := context.WithCancel(ctx)
	p := &platform{log: &logservice.Log{Rate: rate}, stop: stop}
	mux := http.NewServeMux()
	for i := range workers {
		core := &worker.Core{Name: workerName(i), Capacity: units.Resources{Processors: 32000, Memory: 125e9}, UsageLag: 2 * time.Second}
		p.cores = append(p.cores, core)
		prefix := "/" + string(core.Name)
		mux.Handle(prefix+"/", http.StripPrefix(prefix, worker.NewHandler(core)))
	}
	var err error
	if p.logAddress, err = p.serve(p.log.Handler()); err == nil {
		p.workersAddress, err = p.serve(mux)
	}
	if err != nil {
		p.close()
		return nil, err
	}
	p.running.Go(func() { p.advance(ctx) })
	return p, nil
}

// serve starts a server on a free port and returns its address.
func (p *platform) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	p.servers = append(p.servers, server)
	p.running.Go(func() { _ = server.Serve(listener) })
	return listener.Addr().String(), nil
}

// advance updates the workers periodically, so that tasks also end on workers that
// receive no requests.
func (p *platform) advance(ctx context.Context) {
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			for _, c := range p.cores {
				c.Advance()
			}
		}
	}
}

func (p *platform) close() {
	p.stop()
	for _, s := range p.servers {
		s.Close()
	}
	p.running.Wait()
}
