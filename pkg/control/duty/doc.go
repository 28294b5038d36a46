// Package duty decides which shards of the duties an entry takes and gives up.
package duty
