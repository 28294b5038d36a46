// Package reject describes a record that was not put in force.
package reject
