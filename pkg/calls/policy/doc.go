// Package policy defines the load balancing policies.
package policy
