package report

import "time"

// Report is the load of an upstream when it wrote the report.
type Report struct {
	// Busy is the number of calls running or waiting.
	Busy int
	// Slots is the number of calls it can run at once; 0 when not reported.
	Slots int
	// Boot identifies the start of the process; 0 when not reported.
	Boot uint64
	// Age is the time since the start.
	Age  time.Duration
	Cold bool
	// Pace is how long work takes at the moment, as a multiple of the usual; 0 when not reported.
	Pace  float64
	Leave bool
	// Warm is how long the upstream says that it stays cold; 0 when it does not say.
	Warm time.Duration
}
