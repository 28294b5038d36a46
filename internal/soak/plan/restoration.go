package plan

import (
	"math/rand/v2"
	"time"
)

// FirstRestoring is the first seed whose store comes back from an older copy, alone in half of them.
const FirstRestoring = 20_000

// Times of a restoration.
const (
	// minLost is the least age of the copy, and lostRange the range in milliseconds.
	minLost   = time.Second
	lostRange = 3000
	// outageTime is how long the store is down around a restoration, if it is.
	outageTime = 600 * time.Millisecond
	// settleTime is left after a restoration, for what operators write again and for the bounds after it.
	settleTime = 6 * time.Second
)

// restorations draws a store that comes back from an older copy, with removals in the seconds that are lost: alone, or with an outage, a
// second restoration, an entry that starts anew and one that is cut off.
func restorations(r *rand.Rand, size int, length time.Duration) []Fault {
	lost := minLost + millis(r, lostRange)
	begin := calmBegin + millis(r, int(max(time.Second, length-calmBegin-lost-settleTime).Milliseconds()))
	restored := begin + lost
	out := []Fault{{Kind: StoreRestore, At: Duration(begin), Lasts: Duration(lost)}}
	change := Fault{Kind: Remove, At: Duration(begin + millis(r, int(lost.Milliseconds()))), Lasts: Duration(lost + settleTime), Target: r.IntN(removalStep)}
	for range removals {
		out = append(out, change)
		change.Target += removalStep
	}
	if r.IntN(2) == 0 {
		out = append(out, Fault{Kind: StoreDown, At: Duration(restored - outageTime/2), Lasts: Duration(outageTime)})
	}
	if r.IntN(3) == 0 {
		out = append(out, Fault{Kind: StoreRestore, At: Duration(restored - millis(r, 500)), Lasts: Duration(time.Second + millis(r, 1000))})
	}
	if r.IntN(2) == 0 {
		out = append(out, Fault{Kind: []Kind{Kill, Stop}[r.IntN(2)], At: Duration(restored - 500*time.Millisecond + millis(r, 1500)), Target: r.IntN(size)})
	}
	if r.IntN(2) == 0 {
		out = append(out, Fault{Kind: []Kind{OneWayStore, ResetStore}[r.IntN(2)], At: Duration(restored - 500*time.Millisecond + millis(r, 1000)), Lasts: Duration(time.Second + millis(r, 1500)), Target: r.IntN(size), Share: 1})
	}
	return out
}
