package cmds

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/balsamvale/balsamvale/internal/codec"
	pb "github.com/balsamvale/balsamvale/internal/gen/balsamvale/v1"
	"github.com/balsamvale/balsamvale/internal/option"
	"github.com/balsamvale/balsamvale/internal/redial"
	"github.com/balsamvale/balsamvale/internal/store"
	"github.com/balsamvale/balsamvale/internal/tomlpb"
	"github.com/balsamvale/balsamvale/pkg/control/keys"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
	"github.com/balsamvale/balsamvale/pkg/stored/revno"
)

// storeFlag returns the required flag with the addresses of the store.
func storeFlag() cli.Flag {
	return &cli.StringSliceFlag{Name: "store", Usage: "address of the store, such as 10.0.0.1:7000; may be repeated", Required: true}
}

// newStoreClient returns a client for the store addresses on the command line; errors match errInvalid.
func newStoreClient(cmd *cli.Command) (*store.Client, error) {
	var addrs []netip.AddrPort
	for _, s := range cmd.StringSlice("store") {
		ap, err := netip.ParseAddrPort(s)
		if err != nil {
			return nil, eris.Wrapf(errInvalid, "--store %q is not an IP address and port", s)
		}
		addrs = append(addrs, ap)
	}
	return store.New(clock.Wall(), &http.Client{Transport: redial.New(tune.StoreConnIdle)}, addrs), nil
}

func (a *App) check() *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "check settings and record files without changing anything", ArgsUsage: "FILE...",
		Description: "A file with a top-level key \"schema\" holds settings; any other holds records.\n\n" + example("check examples/oyelaran/records.toml"),
		Action:      a.doCheck,
	}
}

func (a *App) doCheck(_ context.Context, cmd *cli.Command) error {
	if cmd.NArg() == 0 {
		return eris.Wrap(errInvalid, "check takes at least one file")
	}
	for _, file := range cmd.Args().Slice() {
		data, err := os.ReadFile(file)
		if err != nil {
			return eris.Wrap(errInvalid, err.Error())
		}
		kind, err := checkFile(file, data)
		if err != nil {
			return err
		}
		fmt.Fprintf(a.Out, "%s: %s are valid\n", file, kind)
		if o, err := option.Parse(file, data); err == nil {
			fmt.Fprintf(a.Out, "%s: settings digest %s\n", file, o.Digest())
		}
	}
	return nil
}

// checkFile checks one file and returns a description of its content, such as "3 records".
func checkFile(file string, data []byte) (string, error) {
	if isSettings(data) {
		_, err := option.Parse(file, data)
		return "settings", err
	}
	recs, err := codec.ReadRecords(file, data)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("%d records", len(recs)), codec.CheckRecords(file, recs, nil)
}

// isSettings reports whether a file holds settings: only these have a top-level key "schema".
func isSettings(data []byte) bool {
	f, err := tomlpb.Parse("", data)
	return err == nil && f.Has("schema")
}

func (a *App) apply() *cli.Command {
	return &cli.Command{
		Name: "apply", Usage: "write the records of a file to the store", ArgsUsage: "FILE",
		Description: "Each record is written only if it was not changed meanwhile.\n\n" + example("apply --store 10.0.0.1:7000 records.toml"),
		Flags: []cli.Flag{
			storeFlag(),
			&cli.BoolFlag{Name: "dry-run", Usage: "show what would change, and write nothing"},
			&cli.Int64Flag{Name: "expect", Usage: "refuse if a record of the file changed after this revision", Value: -1},
		},
		Action: a.doApply,
	}
}

func (a *App) doApply(ctx context.Context, cmd *cli.Command) error {
	if cmd.NArg() != 1 {
		return eris.Wrap(errInvalid, "apply takes one file")
	}
	file := cmd.Args().First()
	data, err := os.ReadFile(file)
	if err != nil {
		return eris.Wrap(errInvalid, err.Error())
	}
	recs, err := codec.ReadRecords(file, data)
	if err != nil {
		return err
	}
	c, err := newStoreClient(cmd)
	if err != nil {
		return err
	}
	stored, err := c.All(ctx, keys.RecordPrefix)
	if err != nil {
		return eris.Wrap(errStore, err.Error())
	}
	if err := codec.CheckRecords(file, recs, stored); err != nil {
		return err
	}
	w := &recordWriter{out: a.Out, client: c, dryRun: cmd.Bool("dry-run"), maxRevision: cmd.Int64("expect"), absent: c.Absent(), stored: map[string]item.Item{}}
	for _, it := range stored {
		w.stored[it.Key] = it
	}
	for _, r := range recs {
		if err := w.write(ctx, r); err != nil {
			return err
		}
	}
	return nil
}

// recordWriter writes records one by one under compare-and-swap.
type recordWriter struct {
	out    interface{ Write([]byte) (int, error) }
	client *store.Client
	// stored holds the records in the store by key, as they were read before the first write.
	stored map[string]item.Item
	// absent is the revision of a record that was not in the store then.
	absent revno.Revision
	dryRun bool
	// maxRevision is the last revision up to which stored records may have changed; negative for no limit.
	maxRevision int64
}

// write writes one record, or with dryRun only prints what would change.
func (w *recordWriter) write(ctx context.Context, r *pb.Record) error {
	key := keys.Record(r.GetKind(), r.GetName())
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(r)
	if err != nil {
		return eris.Wrapf(errInvalid, "encode %s %s: %v", r.GetKind(), r.GetName(), err)
	}
	old, ok := w.stored[key]
	if !ok {
		old.Revision = w.absent
	}
	if bytes.Equal(old.Value, data) {
		fmt.Fprintf(w.out, "%s %s unchanged at revision %d\n", r.GetKind(), r.GetName(), old.Revision.Number())
		return nil
	}
	if w.maxRevision >= 0 && old.Revision.Number() > w.maxRevision {
		return eris.Wrapf(errRefused, "%s %s changed at revision %d, after the expected %d", r.GetKind(), r.GetName(), old.Revision.Number(), w.maxRevision)
	}
	if w.dryRun {
		return w.printChange(r, old)
	}
	return w.compareAndSwap(ctx, r, item.Item{Key: key, Value: data}, old.Revision)
}

// printChange prints the difference between the stored record and the new one.
func (w *recordWriter) printChange(r *pb.Record, old item.Item) error {
	fmt.Fprintf(w.out, "%s %s would change from revision %d:\n", r.GetKind(), r.GetName(), old.Revision.Number())
	before, err := recordTOML(old.Value)
	if err != nil {
		return err
	}
	after, err := codec.UnwrapRecord(r)
	if err != nil {
		return err
	}
	printDiff(w.out, before, tomlpb.Format(r.GetKind(), after))
	return nil
}

// compareAndSwap writes one record if its key still has the expected revision. When an answer is lost, it reads the key:
// the write took effect if the key holds the new value.
func (w *recordWriter) compareAndSwap(ctx context.Context, r *pb.Record, it item.Item, expect revno.Revision) error {
	for range maxWriteTries {
		applied, current, err := w.client.CompareAndSwap(ctx, it, expect, 0)
		if err == nil && applied {
			fmt.Fprintf(w.out, "%s %s written at revision %d\n", r.GetKind(), r.GetName(), current.Revision.Number())
			return nil
		}
		if err != nil {
			if current, err = w.client.Get(ctx, it.Key); err != nil {
				continue
			}
		}
		if current.Revision != expect && bytes.Equal(current.Value, it.Value) {
			fmt.Fprintf(w.out, "%s %s written at revision %d\n", r.GetKind(), r.GetName(), current.Revision.Number())
			return nil
		}
		if current.Revision != expect {
			return eris.Wrapf(errRefused, "%s %s was changed by somebody else at revision %d; the record was not written", r.GetKind(), r.GetName(), current.Revision.Number())
		}
	}
	return eris.Wrapf(errStore, "%s %s may or may not have been written; run apply again", r.GetKind(), r.GetName())
}

// maxWriteTries bounds the tries at writing one record.
const maxWriteTries = 5

// recordTOML returns a stored record as TOML, or "" for a missing one.
func recordTOML(value []byte) (string, error) {
	if len(value) == 0 {
		return "", nil
	}
	var r pb.Record
	if err := proto.Unmarshal(value, &r); err != nil {
		return "", eris.Wrapf(errInvalid, "decode stored record: %v", err)
	}
	m, err := codec.UnwrapRecord(&r)
	if err != nil {
		return "", err
	}
	return tomlpb.Format(r.GetKind(), m), nil
}

func (a *App) get() *cli.Command {
	return &cli.Command{
		Name: "get", Usage: "print records from the store", ArgsUsage: "[KIND [NAME]]",
		Description: "The output can be edited and passed to apply.\n\n" + example("get --store 10.0.0.1:7000 service lookup"),
		Flags:       []cli.Flag{storeFlag(), outputFlag()},
		Action:      a.doGet,
	}
}

func (a *App) doGet(ctx context.Context, cmd *cli.Command) error {
	c, err := newStoreClient(cmd)
	if err != nil {
		return err
	}
	prefix := keys.RecordPrefix
	if kind := cmd.Args().Get(0); kind != "" {
		prefix += kind + "/"
	}
	name := cmd.Args().Get(1)
	items, err := c.All(ctx, prefix+name)
	if err != nil {
		return eris.Wrap(errStore, err.Error())
	}
	found := 0
	for _, it := range items {
		if name != "" && it.Key != prefix+name {
			continue
		}
		found++
		if err := a.printRecord(it, cmd.String("output")); err != nil {
			return err
		}
	}
	if found == 0 {
		return eris.Errorf("no record in the store matches %s", prefix+name)
	}
	return nil
}

// printRecord prints a stored record with its revision, as TOML or JSON.
func (a *App) printRecord(it item.Item, output string) error {
	if output == "text" {
		s, err := recordTOML(it.Value)
		if err != nil {
			return err
		}
		fmt.Fprintf(a.Out, "# revision %d\n%s\n", it.Revision.Number(), s)
		return nil
	}
	var r pb.Record
	if err := proto.Unmarshal(it.Value, &r); err != nil {
		return eris.Wrapf(errInvalid, "decode stored record %s: %v", it.Key, err)
	}
	m, err := codec.UnwrapRecord(&r)
	if err != nil {
		return err
	}
	body, err := protojson.Marshal(m)
	if err != nil {
		return eris.Wrapf(errInvalid, "encode stored record %s as JSON: %v", it.Key, err)
	}
	return json.NewEncoder(a.Out).Encode(map[string]any{
		"kind": r.GetKind(), "revision": it.Revision.Number(), "record": json.RawMessage(body),
	})
}
