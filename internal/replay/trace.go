package replay

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	pb "github.com/balsamvale/balsamvale/internal/gen/balsamvale/v1"
	"github.com/balsamvale/balsamvale/internal/tomlpb"
	"github.com/balsamvale/balsamvale/pkg/calls/policy"
)

// Load reads a trace from TOML text; errors match tomlpb.ErrInvalid.
func Load(name string, data []byte) (*pb.Trace, error) {
	f, err := tomlpb.Parse(name, data)
	if err != nil {
		return nil, err
	}
	t := &pb.Trace{}
	if err := f.Decode(t); err != nil {
		return nil, err
	}
	if len(t.GetBound()) == 0 {
		return nil, eris.Wrapf(tomlpb.ErrInvalid, "%s: a trace needs at least one [[bound]]", name)
	}
	return t, nil
}

// Files lists the traces of a folder, or the file itself; errors match ErrTrace.
func Files(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, eris.Wrap(ErrTrace, err.Error())
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	files, err := filepath.Glob(filepath.Join(path, "*.toml"))
	if err != nil || len(files) == 0 {
		return nil, eris.Wrapf(ErrTrace, "no traces in %s", path)
	}
	return files, nil
}

// Check runs a trace under its policy, writes a line for each bound, and reports how many held and did not.
func Check(w io.Writer, t *pb.Trace) (passed, failed int, err error) {
	p, err := parsePolicy(t.GetPolicy())
	if err != nil {
		return 0, 0, err
	}
	got, err := New(t, p).Run()
	if err != nil {
		return 0, 0, err
	}
	if err := addBaselines(t, got); err != nil {
		return 0, 0, err
	}
	for _, b := range t.GetBound() {
		word := "pass"
		if !holds(b, got[b.GetFigure()]) {
			word = "fail"
			failed++
		} else {
			passed++
		}
		fmt.Fprintf(w, "%-4s  %-24s %-9s %10.3f  %-14s %s\n", word, t.GetName(),
			figureName(b.GetFigure()), got[b.GetFigure()], boundText(b), t.GetPromise())
	}
	return passed, failed, nil
}

// addBaselines runs the baselines where a bound compares with them.
func addBaselines(t *pb.Trace, got map[pb.Bound_Figure]float64) error {
	if !slices.ContainsFunc(t.GetBound(), func(b *pb.Bound) bool { return isRelative(b.GetFigure()) }) {
		return nil
	}
	ahead, timely := math.Inf(1), 0.0
	for p := policy.Random; p <= policy.TwoChoices; p++ {
		other, err := New(t, p).Run()
		if err != nil {
			return err
		}
		ratio := other[pb.Bound_P99] / got[pb.Bound_P99]
		ahead = min(ahead, ratio)
		timely = max(timely, other[pb.Bound_INGOAL])
		switch p {
		case policy.Random:
			got[pb.Bound_RANDOM] = ratio
		case policy.TwoChoices:
			got[pb.Bound_TWO] = ratio
		}
	}
	got[pb.Bound_AHEAD] = ahead
	got[pb.Bound_BETTER] = got[pb.Bound_INGOAL] / timely
	return nil
}

// isRelative reports whether a figure is relative to the baselines.
func isRelative(f pb.Bound_Figure) bool {
	return f >= pb.Bound_AHEAD && f <= pb.Bound_TWO || f == pb.Bound_BETTER
}

func figureName(f pb.Bound_Figure) string { return strings.ToLower(f.String()) }

// holds reports whether a figure is within its bound; an absent upper limit is 0 unless there is a lower one.
func holds(b *pb.Bound, v float64) bool {
	if b.GetLeast() > 0 {
		return v >= b.GetLeast() && (b.GetMost() == 0 || v <= b.GetMost())
	}
	return v <= b.GetMost()
}

func boundText(b *pb.Bound) string {
	if b.GetLeast() > 0 {
		return fmt.Sprintf("at least %g", b.GetLeast())
	}
	return fmt.Sprintf("at most %g", b.GetMost())
}

func parsePolicy(name string) (policy.Policy, error) {
	for p := policy.LeastPredictedWait; p <= policy.TwoChoices; p++ {
		if name == "" || name == p.String() {
			return p, nil
		}
	}
	return 0, eris.Wrapf(ErrTrace, "policy %q is not known", name)
}

// Compare runs a trace under each policy and under an oracle, and writes a line for each.
func Compare(w io.Writer, t *pb.Trace) error {
	fmt.Fprintf(w, "%s\n", t.GetName())
	for p := policy.LeastPredictedWait; p <= policy.TwoChoices; p++ {
		got, err := New(t, p).Run()
		if err != nil {
			return err
		}
		row(w, p.String(), got)
	}
	s := New(t, policy.LeastPredictedWait)
	s.oracle = true
	got, err := s.Run()
	if err != nil {
		return err
	}
	row(w, "oracle", got)
	return nil
}

func row(w io.Writer, name string, got map[pb.Bound_Figure]float64) {
	fmt.Fprintf(w, "  %-10s p99 %8.2f ms  p99.9 %8.2f ms  answered %.4f  in goal %.4f  refused %.4f  wasted %.4f  attempts beyond one %.3f\n", name,
		got[pb.Bound_P99], got[pb.Bound_P999], got[pb.Bound_ANSWERED], got[pb.Bound_INGOAL], got[pb.Bound_REFUSED], got[pb.Bound_WASTED], got[pb.Bound_RETRIES])
}

// WriteFigures writes all figures of a run, in order.
func WriteFigures(w io.Writer, got map[pb.Bound_Figure]float64) {
	var list []pb.Bound_Figure
	for f := range got {
		list = append(list, f)
	}
	slices.SortFunc(list, func(a, b pb.Bound_Figure) int { return cmp.Compare(a, b) })
	for _, f := range list {
		fmt.Fprintf(w, "  %-9s %10.3f\n", figureName(f), got[f])
	}
}
