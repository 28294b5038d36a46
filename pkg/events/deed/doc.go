// Package deed names the kinds of effects that control has.
package deed
