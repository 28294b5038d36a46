// Package tenure defines the stored state of a duty.
package tenure
