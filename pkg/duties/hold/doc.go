// Package hold decides when one entry takes, keeps and gives up a duty.
package hold
