package proof_test

import (
	"math"
	"testing"
	"time"

	"github.com/balsamvale/balsamvale/pkg/shared/proof"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// Guards against an age that overflows as time is added to it, and against an unknown age that counts as a short one.
func TestAges(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	const day = 24 * time.Hour
	for _, tc := range []struct {
		name  string
		proof proof.Proof
		known bool
		want  time.Duration
	}{
		{"none", proof.Proof{}, false, 0},
		{"of the zero time", proof.At(time.Time{}), false, 0},
		{"of now", proof.At(now), true, 0},
		{"of an age", proof.FromAge(now, time.Second), true, time.Second},
		{"of the longest age", proof.FromAge(now, tune.MaxProofAge-1), true, tune.MaxProofAge - 1},
		{"of an age that says that there is none", proof.FromAge(now, tune.MaxProofAge), false, 0},
		{"of the largest duration", proof.FromAge(now, math.MaxInt64), false, 0},
		{"of a negative age", proof.FromAge(now, -1), false, 0},
		{"of the smallest duration", proof.FromAge(now, math.MinInt64), false, 0},
		{"made older", proof.FromAge(now, time.Second).Older(time.Second), true, 2 * time.Second},
		{"made much older", proof.FromAge(now, tune.MaxProofAge-1).Older(200 * 365 * day), true, tune.MaxProofAge - 1 + 200*365*day},
		{"none, made older", proof.Proof{}.Older(time.Second), false, 0},
		{"by another clock", proof.At(now.Add(day-time.Second)).Rebase(now.Add(day), now), true, time.Second},
		{"none, by another clock", proof.Proof{}.Rebase(now, now), false, 0},
	} {
		age, known := tc.proof.Age(now)
		if known != tc.known || age != tc.want || tc.proof.Known() != tc.known {
			t.Errorf("%s: age %v, known %v; want %v, %v", tc.name, age, known, tc.want, tc.known)
		}
		for _, bound := range []time.Duration{0, time.Second, math.MaxInt64} {
			if got, want := tc.proof.Within(now, bound), tc.known && tc.want <= bound; got != want {
				t.Errorf("%s: within %v is %v, want %v", tc.name, bound, got, want)
			}
		}
	}
}
