// Package core runs the control loop of an entry and carries out the effects that control requests.
package core
