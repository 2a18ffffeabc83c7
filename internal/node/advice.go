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
	Advise(ctx context.Context, q scheduler.AdviceRequest) (tickets map[string]string, valid time.Duration, err error)
}

// adviceTimeout bounds one request. The service processes the requests of a
// machine one after the other and takes some milliseconds per worker listed.
const adviceTimeout = 5 * time.Second

// requestAdvice sends the scheduler's open questions to the advice service in
// the background.
func (l *leader) requestAdvice(at scheduler.Timestamp) {
	if l.advisor == nil {
		return
	}
	for _, q := range l.scheduler.AdviceRequests(at) {
		go func() {
			ctx, cancel := context.WithTimeout(l.ctx, adviceTimeout)
			defer cancel()
			tickets, valid, err := l.advisor.Advise(ctx, q)
			if err != nil {
				klog.InfoS("advice request failed", "job", q.Step.Job, "step", q.Step.Step, "workers", len(q.RunnerIDs), "err", err)
			}
			l.enqueue(func() { l.scheduler.SetAdvice(q.Step, tickets, valid, now()) })
		}()
	}
}
