// Package shard maps names to duties and ranks entries for them.
package shard
