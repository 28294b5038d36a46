// Package tune holds tuning constants. Records override the few that are defaults, such as RetryBurst.
package tune
