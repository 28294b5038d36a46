package plan

import (
	"math/rand/v2"
	"time"
)

// FirstGrowing is the first seed with a growing fleet; those below it draw what they drew before there was one.
const FirstGrowing = 10_000

// Sizes of a growing configuration.
const (
	// GrownBytes is the size in bytes of a record that GrowRecords adds, and SwollenRecords the number of those that SwellRecords adds.
	GrownBytes     = 300
	SwollenRecords = 24
	maxGrown       = 900
)

// linkRates are the bytes a second of limited links: 0.5, 2 and 10 Mbit/s.
var linkRates = []int{62_500, 250_000, 1_250_000}

// Times of a growing fleet.
const (
	// minTransfer is the shortest time that the whole configuration takes on a limited link, longer than one call of an entry may take,
	// and transferRange the range in milliseconds. Both are a part of the time in which a change must be in force.
	minTransfer   = 1200 * time.Millisecond
	transferRange = 1300
	// startsWithin is the time after a growth within which entries start.
	startsWithin = 2500 * time.Millisecond
	// linksBegin is when links become limited, a moment after the first connections.
	linksBegin = 100 * time.Millisecond
)

// growth draws a configuration that grows by as much as limited links carry in a while, and entries that start and stop around each
// growth, and around a time without watches or without records.
func growth(r *rand.Rand, size int, length time.Duration) []Fault {
	rate := linkRates[r.IntN(len(linkRates))]
	out := limits(r, size, rate)
	begin := linksBegin + millis(r, 1500)
	if r.IntN(4) == 0 {
		lasts := 200*time.Millisecond + millis(r, 1300)
		out = append(out, Fault{Kind: LateRecords, At: Duration(begin), Lasts: Duration(lasts)})
		begin += lasts
	}
	growths := 1 + r.IntN(2)
	bytes := int(float64(rate)*(minTransfer+millis(r, transferRange)).Seconds()) / growths
	for range growths {
		out = append(out, grown(r, begin, bytes))
		out = append(out, starts(r, begin, size)...)
		switch r.IntN(4) {
		case 0:
			out = append(out, Fault{Kind: StoreForget, At: Duration(begin + millis(r, 1500))})
		case 1:
			out = append(out, Fault{Kind: StoreMute, At: Duration(max(linksBegin, begin-millis(r, 1000))), Lasts: Duration(time.Second + millis(r, 2000))})
		}
		begin += millis(r, int(max(time.Second, length/2).Milliseconds()))
	}
	return out
}

// millis draws a time below a number of milliseconds.
func millis(r *rand.Rand, n int) time.Duration { return time.Duration(r.IntN(n)) * time.Millisecond }

// limits draws which entries have limited links: to the store, or to the other entries as well, of all entries or all but one.
func limits(r *rand.Rand, size, rate int) []Fault {
	spared, peers := r.IntN(2*size), r.IntN(3) > 0
	var out []Fault
	for i := range size {
		if i == spared {
			continue
		}
		f := Fault{Kind: LimitStore, At: Duration(linksBegin), Target: i, Share: float64(rate)}
		out = append(out, f)
		if peers {
			f.Kind = LimitPeers
			out = append(out, f)
		}
	}
	return out
}

// grown draws a growth by some bytes, as many small records or as few large ones.
func grown(r *rand.Rand, at time.Duration, bytes int) Fault {
	if bytes <= maxGrown*GrownBytes && r.IntN(2) == 0 {
		return Fault{Kind: GrowRecords, At: Duration(at), Share: float64(bytes / GrownBytes)}
	}
	return Fault{Kind: SwellRecords, At: Duration(at), Share: float64(max(1, bytes/SwollenRecords>>10))}
}

// starts draws entries that start, start again or go around a time.
func starts(r *rand.Rand, around time.Duration, size int) []Fault {
	var out []Fault
	for range 2 + r.IntN(4) {
		f := Fault{At: Duration(max(linksBegin, around-200*time.Millisecond+millis(r, int(startsWithin.Milliseconds())))), Target: r.IntN(size)}
		switch r.IntN(6) {
		case 0, 1:
			f.Kind = Kill
		case 2:
			f.Kind, f.Domain, f.Target = Kill, true, r.IntN(domains)
		case 3:
			f.Kind = Stop
		case 4:
			f.Kind, f.Share = AddEntries, float64([]int{1, 2, 3, 8}[r.IntN(4)])
			if r.IntN(2) == 0 {
				f.Lasts = Duration(2*time.Second + millis(r, 4000))
			}
		case 5:
			f.Kind = RemoveEntry
		}
		out = append(out, f)
	}
	return out
}
