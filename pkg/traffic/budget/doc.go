// Package budget limits retries to a share of calls.
package budget
