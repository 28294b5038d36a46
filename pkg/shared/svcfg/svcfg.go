package svcfg

import (
	"github.com/balsamvale/balsamvale/pkg/records/svcrec"
	"github.com/balsamvale/balsamvale/pkg/shared/share"
	"github.com/balsamvale/balsamvale/pkg/shared/target"
)

// Config is an immutable view of one service.
type Config struct {
	Service svcrec.Service
	Targets []target.Target
	// Shares splits the calls among versions; empty treats all versions alike.
	Shares []share.Share
	// Rollout is the move behind Shares, from the first version to the second; empty for none.
	Rollout string
	// EntryCount is the number of entries that share the upstreams.
	EntryCount int
	// RetryBurst is the number of retries that this entry may save up; 0 for the default.
	RetryBurst int
	// Entry is the name of this entry.
	Entry string
	// EntryRank is the place of this entry among them, from 0.
	EntryRank int
}
