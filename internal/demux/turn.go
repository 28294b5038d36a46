package demux

import "context"

// awaitTurn waits until the response to request seq may be written. It returns false if the connection closes first.
func (c *conn) awaitTurn(seq uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.responseSeq != seq && !c.closed {
		c.changed.Wait()
	}
	return !c.closed
}

// isTurn reports whether the response to request seq may be written.
func (c *conn) isTurn(seq uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.responseSeq == seq
}

// awaitTurnWithin waits until the response to request seq may be written or the connection closes. It returns false if ctx is done
// by then.
func (c *conn) awaitTurnWithin(ctx context.Context, seq uint64) bool {
	defer context.AfterFunc(ctx, c.wake)()
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.responseSeq != seq && !c.closed && ctx.Err() == nil {
		c.changed.Wait()
	}
	return ctx.Err() == nil
}

// wake lets those that wait for a change look again.
func (c *conn) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changed.Broadcast()
}
