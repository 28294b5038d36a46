// Package core runs the control loop of an entry and carries out what control decides.
package core
