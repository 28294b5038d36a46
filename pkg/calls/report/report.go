package report

import "time"

// Report is the load of an upstream when it wrote the report.
type Report struct {
	// InFlight is the number of calls running or waiting.
	InFlight int
	// Slots is the number of calls it can run at once; 0 when not reported.
	Slots int
	// Incarnation identifies the start of the process; 0 when not reported.
	Incarnation uint64
	// Uptime is the time since the start.
	Uptime time.Duration
	Cold   bool
	// Slowdown is how long work takes at the moment, as a multiple of the usual; 0 when not reported.
	Slowdown float64
	Draining bool
	// WarmupLeft is how long the upstream says that it stays cold; 0 when it does not say.
	WarmupLeft time.Duration
}
