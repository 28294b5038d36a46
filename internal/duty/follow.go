package duty

import (
	"context"
	"time"

	"github.com/balsamvale/balsamvale/pkg/duties/seat"
)

// follow hands the counts of this entry over to the holder, or looks for one.
func (r *Runner) follow(ctx context.Context, now time.Time) {
	if r.kept {
		if r.hold.Seat() == seat.Idle {
			r.finish()
		}
		return
	}
	if r.sending || now.Before(r.sendAt) && r.stopping == nil || r.hold.Seat() != seat.Idle {
		return
	}
	own := r.ownCounts(now)
	if len(own.Usages) == 0 {
		// Nothing is due before the end of the window.
		r.sendAt = now.Add(tickInterval)
		return
	}
	holder := r.hold.Holder()
	if holder == nil {
		r.sendAt = now.Add(resendInterval)
		r.hold.Look(r.lookAt(now))
		return
	}
	r.sending = true
	r.sends++
	r.sentAt = now
	go (&handoverTask{runner: r, ctx: ctx, number: r.sends, addr: holder.Peer, handover: own}).run()
}

// lookAt returns when this entry looks for a holder, which it becomes if there is none. The first entries do so at once. The others
// wait until one of them has taken the duty: each of their tries costs the store a read, and they would all claim the duty together.
// A holder that said that it is none has given the duty up, and one that did not answer had a lease when the handover began.
func (r *Runner) lookAt(now time.Time) time.Time {
	rank := r.Rank()
	if r.stopping != nil {
		return now
	}
	if rank < firstRanks {
		return now.Add(time.Duration(rank) * rankDelay)
	}
	at := now.Add(firstRanks * rankDelay)
	if ended := r.sentAt.Add(r.lease + r.lease/3); !r.declined && ended.After(at) {
		at = ended
	}
	return at.Add(time.Duration(r.rand.Int64N(int64(othersSpread))))
}

// handedOver handles the end of a handover. A holder that did not answer, or that is none, is looked up again.
func (r *Runner) handedOver(a handedOver) {
	if a.err == nil && a.ack.Holder {
		r.noteDecided(a.ack.DecidedTo)
	}
	if a.number != r.sends {
		return
	}
	r.sending = false
	now := r.clock.Now()
	r.sendAt = now.Add(resendInterval)
	r.declined = a.err == nil && !a.ack.Holder
	if a.err != nil || !a.ack.Holder {
		r.hold.Forget()
		return
	}
	if r.stopping != nil && a.ack.Kept {
		r.kept = true
		r.hold.Yield(now, true)
	}
}

// finish tells Stop that everything is handed over.
func (r *Runner) finish() {
	select {
	case <-r.stopping:
	default:
		close(r.stopping)
	}
}
