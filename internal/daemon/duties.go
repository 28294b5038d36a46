package daemon

import (
	"github.com/balsamvale/balsamvale/internal/duty"
	"github.com/balsamvale/balsamvale/internal/proxy"
	"github.com/balsamvale/balsamvale/pkg/stored/member"
)

// initDuties builds what carries out the duties that the settings name, and registers its metrics; without a duty, nothing is counted.
func (d *Daemon) initDuties(self member.Member, handler *proxy.Handler) {
	counts := func() (accepted, refused, failed, unreported int64) { return 0, 0, 0, 0 }
	held := func() bool { return false }
	if d.seams.ReportUsage != nil && d.options.UsageWindow > 0 {
		d.duty = duty.New(d.clock, d.log, self, d.options)
		d.duty.CallStore, d.duty.SendUsage, d.duty.Report = d.seams.CallStore, d.peers.SendUsage, d.seams.ReportUsage
		d.duty.Active, d.duty.Entries, d.duty.Rank = func() bool { return d.core.Accounts() != nil }, d.core.Entries, d.core.Rank
		d.peers.TakeUsage, handler.Usage = d.duty.Take, d.duty.Meter
		counts, held = d.duty.Counts, d.duty.Held
	}
	d.metrics.NewGauge("balsamvale_duty_held", func() float64 {
		if held() {
			return 1
		}
		return 0
	})
	d.metrics.NewGauge(`balsamvale_usage_reports_total{end="accepted"}`, func() float64 { n, _, _, _ := counts(); return float64(n) })
	d.metrics.NewGauge(`balsamvale_usage_reports_total{end="fenced"}`, func() float64 { _, n, _, _ := counts(); return float64(n) })
	d.metrics.NewGauge(`balsamvale_usage_reports_total{end="failed"}`, func() float64 { _, _, n, _ := counts(); return float64(n) })
	d.metrics.NewGauge("balsamvale_usage_windows_unreported", func() float64 { _, _, _, n := counts(); return float64(n) })
}
