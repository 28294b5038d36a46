package peers

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"github.com/balsamvale/balsamvale/internal/codec"
	pb "github.com/balsamvale/balsamvale/internal/gen/balsamvale/v1"
	"github.com/balsamvale/balsamvale/pkg/duties/ack"
	"github.com/balsamvale/balsamvale/pkg/duties/handov"
)

// errNoDuties is the error of a handover to an entry that has no duties.
var errNoDuties = errors.New("the entry has no duties")

// usageTimeout bounds the time of a handover. The holder answers earlier, also if it has decided nothing.
const usageTimeout = 2500 * time.Millisecond

// Usage takes in the counts of a peer.
func (s *Service) Usage(ctx context.Context, req *connect.Request[pb.UsageRequest]) (*connect.Response[pb.UsageResponse], error) {
	if s.TakeUsage == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, errNoDuties)
	}
	m := req.Msg
	a, err := s.TakeUsage(ctx, handov.Handover{From: m.GetFrom(), Usages: codec.UsagesFromProto(m.GetUsage()), Leaving: m.GetLeave(), DecidedTo: m.GetDecided()})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&pb.UsageResponse{Holder: a.Holder, Decided: a.DecidedTo, Kept: a.Kept}), nil
}

// SendUsage hands counts over to the holder of the usage reports; errors match ErrPeer.
func (s *Service) SendUsage(ctx context.Context, addr netip.AddrPort, h handov.Handover) (ack.Ack, error) {
	ctx, cancel := context.WithTimeout(ctx, usageTimeout)
	defer cancel()
	res, err := s.client(addr).Usage(ctx, connect.NewRequest(&pb.UsageRequest{
		From: h.From, Usage: codec.UsagesToProto(h.Usages), Leave: h.Leaving, Decided: h.DecidedTo,
	}))
	if err != nil {
		return ack.Ack{}, eris.Wrapf(ErrPeer, "handing counts over to %s: %v", addr, err)
	}
	return ack.Ack{Holder: res.Msg.GetHolder(), DecidedTo: res.Msg.GetDecided(), Kept: res.Msg.GetKept()}, nil
}
