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

// Load reads a trace from TOML text. The name identifies it in errors, which match tomlpb.ErrInvalid.
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
	for i, fault := range t.GetFault() {
		if (fault.GetKind() == pb.Fault_NOISE || fault.GetKind() == pb.Fault_THROTTLE) && fault.GetEvery().AsDuration() <= 0 {
			return nil, eris.Wrapf(tomlpb.ErrInvalid, "%s: fault %d: %s needs every, the time between its repetitions", name, i+1, strings.ToLower(fault.GetKind().String()))
		}
	}
	return t, nil
}

// Files returns the .toml files in a folder, or path itself if it is a file; errors match ErrTrace.
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
		return nil, eris.Wrapf(ErrTrace, "no .toml files in %s", path)
	}
	return files, nil
}

// Check runs a trace under its policy and writes a line for each bound.
//
// It returns how many bounds hold and how many do not. Errors match ErrTrace.
func Check(w io.Writer, t *pb.Trace) (passed, failed int, err error) {
	p, err := parsePolicy(t.GetPolicy())
	if err != nil {
		return 0, 0, err
	}
	figures, err := New(t, p).Run()
	if err != nil {
		return 0, 0, err
	}
	if err := addBaselines(t, figures); err != nil {
		return 0, 0, err
	}
	for _, b := range t.GetBound() {
		verdict := "pass"
		if !holds(b, figures[b.GetFigure()]) {
			verdict = "fail"
			failed++
		} else {
			passed++
		}
		fmt.Fprintf(w, "%-4s  %-24s %-9s %10.3f  %-14s %s\n", verdict, t.GetName(),
			figureName(b.GetFigure()), figures[b.GetFigure()], boundText(b), t.GetPromise())
	}
	return passed, failed, nil
}

// addBaselines adds the figures that are relative to the baseline policies.
//
// It runs the trace under each of these policies, but only if a bound needs it.
func addBaselines(t *pb.Trace, figures map[pb.Bound_Figure]float64) error {
	if !slices.ContainsFunc(t.GetBound(), func(b *pb.Bound) bool { return isRelative(b.GetFigure()) }) {
		return nil
	}
	minRatio, maxTimely := math.Inf(1), 0.0
	for p := policy.Random; p <= policy.TwoChoices; p++ {
		other, err := New(t, p).Run()
		if err != nil {
			return err
		}
		ratio := other[pb.Bound_P99] / figures[pb.Bound_P99]
		minRatio = min(minRatio, ratio)
		maxTimely = max(maxTimely, other[pb.Bound_INGOAL])
		switch p {
		case policy.Random:
			figures[pb.Bound_RANDOM] = ratio
		case policy.TwoChoices:
			figures[pb.Bound_TWO] = ratio
		}
	}
	figures[pb.Bound_AHEAD] = minRatio
	figures[pb.Bound_BETTER] = figures[pb.Bound_INGOAL] / maxTimely
	return nil
}

// isRelative reports whether a figure is relative to the baseline policies.
func isRelative(f pb.Bound_Figure) bool {
	return f >= pb.Bound_AHEAD && f <= pb.Bound_TWO || f == pb.Bound_BETTER
}

// figureName returns the name that traces use for a figure.
func figureName(f pb.Bound_Figure) string { return strings.ToLower(f.String()) }

// holds reports whether a figure is within its bound. A missing upper limit counts as 0, unless there is a lower limit.
func holds(b *pb.Bound, v float64) bool {
	if b.GetLeast() > 0 {
		return v >= b.GetLeast() && (b.GetMost() == 0 || v <= b.GetMost())
	}
	return v <= b.GetMost()
}

// boundText returns the limit of a bound in words; the upper limit of a bound that has both is left out.
func boundText(b *pb.Bound) string {
	if b.GetLeast() > 0 {
		return fmt.Sprintf("at least %g", b.GetLeast())
	}
	return fmt.Sprintf("at most %g", b.GetMost())
}

// parsePolicy returns the policy of that name, or policy.LeastPredictedWait for the empty name; errors match ErrTrace.
func parsePolicy(name string) (policy.Policy, error) {
	for p := policy.LeastPredictedWait; p <= policy.TwoChoices; p++ {
		if name == "" || name == p.String() {
			return p, nil
		}
	}
	return 0, eris.Wrapf(ErrTrace, "unknown policy %q", name)
}

// Compare runs a trace under each policy and under an oracle, and writes a line for each.
//
// The oracle knows the state of every upstream. Errors match ErrTrace.
func Compare(w io.Writer, t *pb.Trace) error {
	fmt.Fprintf(w, "%s\n", t.GetName())
	for p := policy.LeastPredictedWait; p <= policy.TwoChoices; p++ {
		figures, err := New(t, p).Run()
		if err != nil {
			return err
		}
		writeRow(w, p.String(), figures)
	}
	s := New(t, policy.LeastPredictedWait)
	s.oracle = true
	figures, err := s.Run()
	if err != nil {
		return err
	}
	writeRow(w, "oracle", figures)
	return nil
}

// writeRow writes the main figures of one run.
func writeRow(w io.Writer, name string, figures map[pb.Bound_Figure]float64) {
	fmt.Fprintf(w, "  %-10s p99 %8.2f ms  p99.9 %8.2f ms  answered %.4f  in goal %.4f  refused %.4f  wasted %.4f  attempts beyond one %.3f\n", name,
		figures[pb.Bound_P99], figures[pb.Bound_P999], figures[pb.Bound_ANSWERED], figures[pb.Bound_INGOAL], figures[pb.Bound_REFUSED], figures[pb.Bound_WASTED], figures[pb.Bound_RETRIES])
}

// WriteFigures writes all figures of a run, a line for each, in the order of the schema.
func WriteFigures(w io.Writer, figures map[pb.Bound_Figure]float64) {
	var list []pb.Bound_Figure
	for f := range figures {
		list = append(list, f)
	}
	slices.SortFunc(list, func(a, b pb.Bound_Figure) int { return cmp.Compare(a, b) })
	for _, f := range list {
		fmt.Fprintf(w, "  %-9s %10.3f\n", figureName(f), figures[f])
	}
}
