package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/balsamvale/balsamvale/pkg/calls/call"
)

// shutdown drains the entry and stops its servers.
//
// The entry first reports that it is not ready, starts to hand over its shards, and closes each connection of a caller
// after the last response due on it. New connections are still accepted during the shutdown delay, until the balancer in
// front of the entry has noticed. Then the entry closes the listener, refuses further calls on open connections, and waits for
// the calls in flight. Late in the drain timeout, it refuses the calls that have not been sent to an upstream. After that
// it waits for the end of the handover.
func (d *Daemon) shutdown() error {
	d.log.Info("stopping", zap.Int("calls", d.inFlight.Len()))
	begin, connsBefore := d.clock.Now(), d.callerListener.Accepted()
	d.inFlight.BeginStop(begin)
	d.stopBegin.Store(&begin)
	d.core.Drain()
	d.callerListener.Drain()
	delay, stopTimer := d.clock.Timer(d.options.ShutdownDelay)
	defer stopTimer()
	<-delay
	d.awaitCalls(begin)
	d.awaitHandover()
	_ = d.peerServer.Close()
	_ = d.adminServer.Close()
	onOld, onNew := d.inFlight.SinceStop()
	d.log.Info("stopped", zap.Duration("took", d.clock.Now().Sub(begin)), zap.Uint64("conns", d.callerListener.Accepted()-connsBefore),
		zap.Int("before", onOld), zap.Int("after", onNew))
	return nil
}

// awaitCalls closes the listener for callers and waits for the calls in flight, for at most the drain timeout if one is set.
// The stop has begun at the given time.
func (d *Daemon) awaitCalls(begin time.Time) {
	ctx, cancel := context.Background(), context.CancelFunc(func() {})
	refusalTime := d.options.DrainTimeout / refusalPart
	if d.options.DrainTimeout > 0 {
		ctx, cancel = context.WithTimeout(ctx, d.options.DrainTimeout-refusalTime)
	}
	// While callers go on connecting, the balancer may have no other entry for them.
	admitUntil := begin.Add(d.options.ShutdownDelay + max(admissionTime, d.options.DrainTimeout/2))
	err := d.callerListener.Shutdown(ctx, admitUntil)
	cancel()
	if err == nil {
		return
	}
	close(d.stopping)
	ctx, cancel = context.WithTimeout(context.Background(), refusalTime)
	defer cancel()
	if err := d.callerListener.Shutdown(ctx, admitUntil); err != nil {
		d.logCutCalls(begin, err)
	}
}

// logCutCalls logs the calls that are in flight at the end of a stop that has begun at the given time.
func (d *Daemon) logCutCalls(begin time.Time, err error) {
	d.log.Warn("calls were still in flight when the drain timeout (stop.wait) passed", zap.Error(err), zap.Int("calls", d.inFlight.Len()))
	lines := 0
	d.inFlight.Visit(func(c *call.Call, opened time.Time, sent bool) {
		if lines++; lines <= maxCutLines {
			d.log.CutCall(c, c.Arrived.Sub(begin), opened.Sub(begin), sent)
		}
	})
}

// admits reports whether a call with the given deadline that arrives now is served. In a stop, calls that come after
// admissionTime are refused, unless their deadline is before the end of the drain timeout, so that they end in time.
func (d *Daemon) admits(deadline time.Time) bool {
	begin := d.stopBegin.Load()
	if begin == nil {
		return true
	}
	listening := begin.Add(d.options.ShutdownDelay)
	return d.clock.Now().Before(listening.Add(admissionTime)) ||
		!deadline.IsZero() && deadline.Before(listening.Add(d.options.DrainTimeout-deliveryTime))
}

// awaitHandover waits until this entry has released its duties and shards to other entries, for at most the handover timeout.
//
// It returns at once if there is no other entry, or if control has ended.
func (d *Daemon) awaitHandover() {
	ctx, cancel := context.WithTimeout(context.Background(), d.options.HandoverTimeout)
	defer cancel()
	if d.duty != nil {
		d.duty.Stop(ctx)
	}
	for ctx.Err() == nil {
		s, err := d.core.Status(ctx)
		if err != nil || len(s.OwnedShards) == 0 || s.Members < 2 {
			return
		}
		t, stop := d.clock.Timer(handoverPoll)
		<-t
		stop()
	}
}
