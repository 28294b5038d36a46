package core

import (
	"context"

	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// dispatchLoop tries again at short intervals to find an upstream for waiting calls, and blocks while none wait.
func (co *Core) dispatchLoop(ctx context.Context) {
	for {
		select {
		case <-co.dispatchWake:
		case <-ctx.Done():
			return
		}
		for waiting := 1; waiting > 0; {
			tick, stop := co.clock.Timer(tune.QueuePoll)
			select {
			case <-tick:
			case <-ctx.Done():
				stop()
				return
			}
			waiting = 0
			now := co.clock.Now()
			for _, p := range co.view.Load().pools {
				waiting += p.DispatchWaiting(now)
			}
		}
	}
}

// wakeDispatch wakes dispatchLoop without blocking.
func (co *Core) wakeDispatch() {
	select {
	case co.dispatchWake <- struct{}{}:
	default:
	}
}
