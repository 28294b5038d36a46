package report

import "time"

// Report is the load of an upstream at the time of the report.
type Report struct {
	// InFlight is the number of calls running or queued in the upstream.
	InFlight int
	// Slots is the number of calls that the upstream can run at once; 0 when not reported.
	Slots int
	// Incarnation identifies the start of the upstream process; 0 when not reported.
	Incarnation uint64
	// Uptime is the time since that start.
	Uptime time.Duration
	// Cold is set while the upstream is warming up.
	Cold bool
	// Slowdown is how much longer than usual work takes at present, as a factor; 0 when not reported.
	Slowdown float64
	// Draining is set when the upstream takes no new calls.
	Draining bool
	// WarmupLeft is the remaining warm-up time; 0 when not reported.
	WarmupLeft time.Duration
}
