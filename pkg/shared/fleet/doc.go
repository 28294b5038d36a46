// Package fleet holds a service and its upstreams as the traffic side sees them.
package fleet
