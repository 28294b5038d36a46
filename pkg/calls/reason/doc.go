// Package reason defines the reasons for routing decisions and refusals.
package reason
