// Package budget bounds retries to a share of calls.
package budget
