package kvsim

import pb "github.com/balsamvale/balsamvale/internal/gen/balsamvale/v1"

// Copy is the state of a store at one time.
type Copy struct {
	revision    int64
	items       map[string]*pb.Item
	leaseByKey  map[string]int64
	lastLeaseID int64
}
