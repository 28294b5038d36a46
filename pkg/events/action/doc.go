// Package action names the kinds of effects that control has.
package action
