// Package admit bounds the calls of one service that an entry has in flight, and orders the calls that wait for admission.
package admit
