package svcfg

import (
	"github.com/balsamvale/balsamvale/pkg/records/svcrec"
	"github.com/balsamvale/balsamvale/pkg/shared/share"
	"github.com/balsamvale/balsamvale/pkg/shared/target"
)

// Config is the immutable configuration of one service.
type Config struct {
	Service svcrec.Service
	// Targets lists the upstreams of the service, sorted by name.
	Targets []target.Target
	// Shares splits the calls among versions; when it is empty, all versions are treated alike.
	Shares []share.Share
	// Rollout is the name of the rollout behind Shares, from their first version to their second; empty if there is none
	// or it has ended.
	Rollout string
	// EntryCount is the number of running entries, including draining ones; at least 1.
	EntryCount int
	// RetryBurst is the number of retries that this entry may save up; 0 for the default.
	RetryBurst int
	// Entry is the name of this entry.
	Entry string
	// EntryRank is the index of this entry among the entries that are not draining, sorted by name; 0 if it is not one of
	// them.
	EntryRank int
}
