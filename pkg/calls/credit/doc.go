// Package credit describes the permission to send one call to a cold upstream.
package credit
