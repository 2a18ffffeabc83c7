package runner

import "context"

// pacing adjusts the paces of the best-effort tasks beside the polls, one adjustment at a time, so
// that no call for a task overtakes an earlier one.
type pacing struct {
	due      chan struct{}
	ended    chan struct{}
	panicked any // the value of a panic; may be read once ended is closed
}

// startPacing calls adjust after each call of the method of that name, until ctx ends. Requests to
// adjust that come while adjust runs are merged.
func startPacing(ctx context.Context, adjust func(context.Context)) *pacing {
	p := &pacing{due: make(chan struct{}, 1), ended: make(chan struct{})}
	go func() {
		defer close(p.ended)
		defer func() { p.panicked = recover() }()
		for {
			select {
			case <-p.due:
				adjust(ctx)
			case <-ctx.Done():
				return
			}
		}
	}()
	return p
}

// adjust requests an adjustment to the last listing. It does not wait for it.
func (p *pacing) adjust() {
	select {
	case p.due <- struct{}{}:
	default:
	}
}

// repanic panics with the value of a panic of an adjustment, so that it ends the caller as one of
// its own would.
func (p *pacing) repanic() {
	select {
	case <-p.ended:
		if p.panicked != nil {
			panic(p.panicked)
		}
	default:
	}
}

// wait waits for the end of the adjustment in progress, after the context has ended.
func (p *pacing) wait() { <-p.ended }
