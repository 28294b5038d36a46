// Package svcfg holds a service and its upstreams as the traffic side sees them.
package svcfg
