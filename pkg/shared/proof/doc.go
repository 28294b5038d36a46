// Package proof says up to which time a replica is known to match the store.
package proof
