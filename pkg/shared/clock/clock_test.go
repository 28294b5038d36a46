package clock_test

import (
	"testing"
	"time"

	"github.com/balsamvale/balsamvale/pkg/shared/clock"
)

// Guards against an age that leaves out a suspension of the host, which the monotonic clock may not count, or that shrinks as the wall
// clock is set back.
func TestElapsed(t *testing.T) {
	start := time.Now()
	for _, tc := range []struct {
		name string
		now  time.Time
		want time.Duration
	}{
		{"both clocks run", start.Add(3 * time.Second), 3 * time.Second},
		{"the wall clock alone counts", start.Round(0).Add(time.Hour), time.Hour},
		{"no time has passed", start, 0},
	} {
		if got := clock.Elapsed(tc.now, start); got != tc.want {
			t.Errorf("%s: %v, want %v", tc.name, got, tc.want)
		}
	}
}
