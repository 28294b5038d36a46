// Package wallet keeps the credits that an entry holds for one cold upstream.
package wallet
