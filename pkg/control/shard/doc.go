// Package shard maps names to shards, and ranks entries for each shard by rendezvous hashing.
package shard
