package soak

import (
	"io"
	"time"

	"github.com/rotisserie/eris"
	"github.com/wcharczuk/go-chart/v2"
	"github.com/wcharczuk/go-chart/v2/drawing"
)

// Layout of a timeline in pixels.
const (
	timelineWidth = 1400
	rowHeight     = 18
	marginHeight  = 90
	labelWidth    = 260
	lineWidth     = 5
	dotWidth      = 4
)

// timeline is a chart with one row for each process, fault and promise; the first row is at the top.
type timeline struct {
	report *Report
	end    time.Time
	series []chart.Series
	labels []string
}

// WriteTimeline writes the lives of the processes, the faults and the broken promises over time as SVG; errors match ErrSoak.
func (r *Report) WriteTimeline(w io.Writer) error {
	t := &timeline{report: r, end: r.Trail.Begin.Add(time.Duration(r.Plan.Length))}
	for _, l := range r.Trail.Lives {
		t.span(l.Entry, l.Begin, l.End, chart.ColorBlue)
		if !l.Stopped.IsZero() {
			t.span("", l.Stopped, l.End, chart.ColorOrange)
		}
	}
	for _, d := range sortedFaults(r.Trail) {
		t.span(d.Subject+" "+d.What, d.Begin, d.End, chart.ColorAlternateGray)
	}
	rows := map[string]bool{}
	for _, b := range r.Broken {
		if p := b.Promise.String(); !rows[p] {
			rows[p] = true
			t.broken(p)
		}
	}
	return t.write(w)
}

func (t *timeline) second(at time.Time) float64 { return at.Sub(t.report.Trail.Begin).Seconds() }

// row returns the height of a new row, or of the last one if the label is empty.
func (t *timeline) row(label string) float64 {
	if label != "" {
		t.labels = append(t.labels, label)
	}
	return -float64(len(t.labels))
}

// span adds a line from one time to another; a zero time stands for the end of the soak.
func (t *timeline) span(label string, from, to time.Time, color drawing.Color) {
	if to.IsZero() {
		to = t.end
	}
	y := t.row(label)
	t.series = append(t.series, chart.ContinuousSeries{
		Style:   chart.Style{StrokeColor: color, StrokeWidth: lineWidth, DotColor: color, DotWidth: dotWidth / 2},
		XValues: []float64{t.second(from), t.second(to)}, YValues: []float64{y, y},
	})
}

// broken adds a row with a dot for each time that a promise broke.
func (t *timeline) broken(promise string) {
	y := t.row("broken: " + promise)
	s := chart.ContinuousSeries{Style: chart.Style{StrokeWidth: chart.Disabled, DotColor: chart.ColorRed, DotWidth: dotWidth}}
	for _, b := range t.report.Broken {
		if b.Promise.String() == promise {
			s.XValues, s.YValues = append(s.XValues, t.second(b.At)), append(s.YValues, y)
		}
	}
	t.series = append(t.series, s)
}

func (t *timeline) write(w io.Writer) error {
	var ticks []chart.Tick
	for i, l := range t.labels {
		ticks = append(ticks, chart.Tick{Value: -float64(i + 1), Label: l})
	}
	c := chart.Chart{
		Width: timelineWidth, Height: marginHeight + rowHeight*len(t.labels),
		Background: chart.Style{Padding: chart.Box{Top: 20, Left: 20, Right: labelWidth, Bottom: 20}},
		XAxis:      chart.XAxis{Name: "seconds"},
		YAxis:      chart.YAxis{Ticks: ticks, Range: &chart.ContinuousRange{Min: -float64(len(t.labels) + 1), Max: 0}},
		Series:     t.series,
	}
	if err := c.Render(chart.SVG, w); err != nil {
		return eris.Wrap(ErrSoak, err.Error())
	}
	return nil
}
