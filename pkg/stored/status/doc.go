// Package status defines what an entry reports about the configuration that it has in force.
package status
