package node

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/internal/scheduler"
)

// Advisor decides which workers may run a step.
type Advisor interface {
	// Advise returns one ticket for each runner that may run the step, and how
	// long the tickets are valid.
	Advise(ctx context.Context, request scheduler.AdviceRequest) (tickets map[string]string, valid time.Duration, err error)
}

// adviceTimeout bounds one request to the advice service. The service processes
// the requests of one machine sequentially and takes some milliseconds per worker
// listed.
const adviceTimeout = 5 * time.Second

// requestAdvice sends the scheduler's advice requests to the advice service in
// the background. A failed request is passed on without tickets, so that the
// scheduler repeats it after a delay.
func (l *leader) requestAdvice(at scheduler.Timestamp) {
	if l.advisor == nil {
		return
	}
	for _, request := range l.scheduler.AdviceRequests(at) {
		go func() {
			ctx, cancel := context.WithTimeout(l.ctx, adviceTimeout)
			defer cancel()
			tickets, valid, err := l.advisor.Advise(ctx, request)
			if err != nil {
				klog.InfoS("advice request failed; the scheduler will repeat it", "job", request.Step.Job, "step", request.Step.Step, "workers", len(request.RunnerIDs), "err", err)
			}
			l.enqueue(func() { l.scheduler.SetAdvice(request.Step, tickets, valid, now()) })
		}()
	}
}
