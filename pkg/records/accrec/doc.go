// Package accrec defines the configuration record of a client account.
package accrec
