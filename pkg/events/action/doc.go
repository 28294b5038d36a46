// Package action defines the kinds of effects that the control state machine requests.
package action
