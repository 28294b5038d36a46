// Package target describes an upstream for traffic.
package target
