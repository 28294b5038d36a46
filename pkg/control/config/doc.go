// Package config holds the decoded control keys (records, members, shard owners and the progress of rollouts), and
// builds the service configurations that the traffic side reads.
package config
