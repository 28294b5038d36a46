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
	// Rollout is the name of the rollout behind Shares, from their first version to their second; empty for none.
	Rollout string
	// EntryCount is the number of entries that send calls to the upstreams.
	EntryCount int
	// RetryBurst is the number of retries that this entry may save up; 0 for the default.
	RetryBurst int
	// Entry is the name of this entry.
	Entry string
	// EntryRank is the position of this entry among all entries, from 0.
	EntryRank int
}
