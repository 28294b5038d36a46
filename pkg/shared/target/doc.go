// Package target describes an upstream as the traffic side sees it.
package target
