package cmds

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/balsamvale/balsamvale/internal/codec"
	pb "github.com/balsamvale/balsamvale/internal/gen/balsamvale/v1"
	"github.com/balsamvale/balsamvale/internal/peers"
	"github.com/balsamvale/balsamvale/internal/redial"
	"github.com/balsamvale/balsamvale/internal/store"
	"github.com/balsamvale/balsamvale/pkg/control/keys"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/phase"
	"github.com/balsamvale/balsamvale/pkg/stored/progrs"
	"github.com/balsamvale/balsamvale/pkg/stored/revno"
)

func (a *App) status() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "print the state of each entry and the configuration in force there",
		Description: "The entries are those listed in the store, or those given with --peer.\n\n" + example("status --store 10.0.0.1:7000"),
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "store", Usage: "address of the store; may be repeated"},
			&cli.StringSliceFlag{Name: "peer", Usage: "peer address of an entry, for use while the store is down; may be repeated"},
			outputFlag(),
		},
		Action: a.doStatus,
	}
}

func (a *App) doStatus(ctx context.Context, cmd *cli.Command) error {
	statuses, err := fetchStatuses(ctx, cmd)
	if err != nil {
		return err
	}
	if cmd.String("output") == "json" {
		for _, s := range statuses {
			b, err := protojson.Marshal(s)
			if err != nil {
				return eris.Wrapf(errInvalid, "encode the status of %s as JSON: %v", s.GetName(), err)
			}
			if err := json.NewEncoder(a.Out).Encode(json.RawMessage(b)); err != nil {
				return err
			}
		}
		return nil
	}
	return a.printTable(statuses)
}

// printTable prints the statuses as a table, followed by the rejected records, the rollouts, and the builds, settings and revisions
// of the fleet.
func (a *App) printTable(statuses []*pb.StatusResponse) error {
	tw := tabwriter.NewWriter(a.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "ENTRY\tDOMAIN\tREADY\tREVISION\tSINCE\tSTORE\tMEMBERS\tDUTIES\tBUILD\tTREE\tGO\tARCH\tPROCESSORS\tMEMORY\tFILES\tSETTINGS\tDIFFERS")
	common := newCommon(statuses)
	for _, s := range statuses {
		since := "-"
		if s.GetSince() != nil {
			since = s.GetSince().AsTime().Format(time.RFC3339)
		}
		fmt.Fprintf(tw, "%s\t%s\t%v\t%d\t%s\t%v\t%d\t%d\t%s\t%s\n", s.GetName(), s.GetDomain(), s.GetReady(),
			s.GetRevision(), since, s.GetStore(), s.GetMembers(), len(s.GetDuty()), buildColumns(s.GetBuild()), common.differs(s))
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	for _, s := range statuses {
		for _, r := range s.GetRejected() {
			fmt.Fprintf(a.Out, "%s: %s at revision %d is not in force: %s\n", s.GetName(), r.GetKey(), r.GetRevision(), r.GetReason())
		}
		for _, m := range s.GetMove() {
			fmt.Fprintf(a.Out, "%s: move %s is %s at %.1f%%: %s\n", s.GetName(), m.GetName(), m.GetPhase(), float64(m.GetShare())/10, m.GetReason())
		}
	}
	common.print(a.Out)
	return nil
}

// fetchStatuses returns the statuses of the entries, sorted by name. The status of an entry that does not answer holds
// only its address, marked as such.
func fetchStatuses(ctx context.Context, cmd *cli.Command) ([]*pb.StatusResponse, error) {
	addrs, err := entryAddrs(ctx, cmd)
	if err != nil {
		return nil, err
	}
	svc := peers.New(clock.Wall(), &http.Client{Transport: redial.New(tune.PeerConnIdle)})
	var statuses []*pb.StatusResponse
	for _, addr := range addrs {
		s, err := svc.FetchStatus(ctx, addr)
		if err != nil {
			s = &pb.StatusResponse{Name: addr.String() + " (no answer)"}
		}
		statuses = append(statuses, s)
	}
	slices.SortFunc(statuses, func(x, y *pb.StatusResponse) int { return cmp.Compare(x.GetName(), y.GetName()) })
	return statuses, nil
}

// entryAddrs returns the peer addresses of the entries: those of the peer flag, or else those in the store.
func entryAddrs(ctx context.Context, cmd *cli.Command) ([]netip.AddrPort, error) {
	var addrs []netip.AddrPort
	for _, s := range cmd.StringSlice("peer") {
		ap, err := netip.ParseAddrPort(s)
		if err != nil {
			return nil, eris.Wrapf(errInvalid, "--peer %q is not an IP address and port", s)
		}
		addrs = append(addrs, ap)
	}
	if len(addrs) > 0 {
		return addrs, nil
	}
	if len(cmd.StringSlice("store")) == 0 {
		return nil, eris.Wrap(errInvalid, "status needs --store or --peer")
	}
	c, err := newStoreClient(cmd)
	if err != nil {
		return nil, err
	}
	items, err := c.All(ctx, keys.MemberPrefix)
	if err != nil {
		return nil, eris.Wrap(errStore, err.Error())
	}
	for _, it := range items {
		if v, err := codec.Decode(it); err == nil && v.Member != nil {
			addrs = append(addrs, v.Member.Peer)
		}
	}
	return addrs, nil
}

func (a *App) wait() *cli.Command {
	return &cli.Command{
		Name: "wait", Usage: "wait until a move is done or rolled back", ArgsUsage: "MOVE",
		Description: "Exits with 0 when the move is done, 3 when it was rolled back, and 1 when --for is over.\n\n" + example("wait --store 10.0.0.1:7000 lookup-v2"),
		Flags:       []cli.Flag{storeFlag(), &cli.DurationFlag{Name: "for", Value: time.Hour, Usage: "how long to wait at most"}},
		Action:      a.doWait,
	}
}

func (a *App) doWait(ctx context.Context, cmd *cli.Command) error {
	if cmd.NArg() != 1 {
		return eris.Wrap(errInvalid, "wait takes the name of one move")
	}
	c, err := newStoreClient(cmd)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("for"))
	defer cancel()
	name := cmd.Args().First()
	reached, watched := false, revno.Revision(0)
	var lastErr error
	for ctx.Err() == nil {
		p, rev, err := getProgress(ctx, c, name)
		if err == nil {
			reached = true
			if p != nil && p.Phase == phase.Done {
				fmt.Fprintf(a.Out, "move %s is done: %s\n", name, p.Reason)
				return nil
			}
			if p != nil && p.Phase == phase.RolledBack {
				return eris.Wrapf(errRefused, "move %s was rolled back: %s", name, p.Reason)
			}
			_, watched, err = c.Watch(ctx, keys.Rollout(name), max(watched, rev), maxWatchWait)
		}
		if err != nil {
			lastErr = err
			pause(ctx, storeRetryDelay)
		}
	}
	if !reached {
		return eris.Wrapf(errStore, "move %s: %v", name, lastErr)
	}
	return eris.Errorf("move %s did not end within %v", name, cmd.Duration("for"))
}

// getProgress reads the progress of a rollout and its revision; it is nil if there is none that can be read. Errors are
// those of the client.
func getProgress(ctx context.Context, c *store.Client, rollout string) (*progrs.Progress, revno.Revision, error) {
	it, err := c.Get(ctx, keys.Rollout(rollout))
	if err != nil || it.Revision.Number() == 0 {
		return nil, it.Revision, err
	}
	v, err := codec.Decode(it)
	if err != nil {
		// A newer build may have written it; a later change may be readable.
		return nil, it.Revision, nil
	}
	return v.Progress, it.Revision, nil
}

// pause waits for d, or until ctx is done.
func pause(ctx context.Context, d time.Duration) {
	fired, stop := clock.Wall().Timer(d)
	defer stop()
	select {
	case <-fired:
	case <-ctx.Done():
	}
}

// storeRetryDelay is the pause after a request that the store did not answer.
const storeRetryDelay = 500 * time.Millisecond

// maxWatchWait is the longest time that one request waits for a change.
const maxWatchWait = 10 * time.Second
