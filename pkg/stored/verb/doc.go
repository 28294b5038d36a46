// Package verb names the calls that control makes to the store.
package verb
