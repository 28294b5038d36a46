// Package credit describes permission for one call to a cold upstream.
package credit
