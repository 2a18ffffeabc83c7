package node

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/internal/scheduler"
)

// Advisor knows which workers may run a step.
type Advisor interface {
	// Advise returns a ticket for each of the runners that may run the step,
	// and for how long the tickets are valid.
	Advise(ctx context.Context, q scheduler.Question) (tickets map[string]string, valid time.Duration, err error)
}

// adviceTimeout bounds one answer: the service takes the questions of a
// machine in turn, and some milliseconds for each worker named.
const adviceTimeout = 5 * time.Second

// ask sends the questions that the tables have.
func (l *leader) requestAdvice(at scheduler.Now) {
	if l.advisor == nil {
		return
	}
	for _, q := range l.scheduler.Questions(at) {
		go func() {
			ctx, cancel := context.WithTimeout(l.ctx, adviceTimeout)
			defer cancel()
			tickets, valid, err := l.advisor.Advise(ctx, q)
			if err != nil {
				klog.InfoS("no advice", "job", q.Step.Job, "step", q.Step.Step, "workers", len(q.Runners), "err", err)
			}
			l.enqueue(func() { l.scheduler.Advise(q.Step, tickets, valid, now()) })
		}()
	}
}
