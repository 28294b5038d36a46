// Package issuer hands out the credits of cold upstreams on their owner's side.
package issuer
