package codec

import (
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/balsamvale/balsamvale/internal/gen/balsamvale/v1"
	pb2 "github.com/balsamvale/balsamvale/internal/gen/balsamvale/v2"
	"github.com/balsamvale/balsamvale/pkg/calls/class"
	"github.com/balsamvale/balsamvale/pkg/records/retry"
	"github.com/balsamvale/balsamvale/pkg/records/route"
	"github.com/balsamvale/balsamvale/pkg/records/svcrec"
)

// ErrLossy is what the errors match about a record that an older schema version cannot hold.
var ErrLossy = eris.New("the older schema version cannot hold the record")

// Defaults of schema version 2 for what version 1 does not say.
const (
	defaultRetryPercent = 10
	defaultMaxQueued    = 256
)

// UpgradeService converts a service record of schema version 1 to version 2.
func UpgradeService(s *pb.Service) *pb2.Service {
	out := &pb2.Service{
		Schema: 2, Name: s.GetName(), Slots: s.GetSlots(), Conns: s.GetConns(),
		Timeout: s.GetTimeout(), Cold: s.GetCold(), Warm: s.GetWarm(), Budget: s.GetBudget(),
		Retry: defaultRetryPercent, Queue: defaultMaxQueued,
	}
	cl := pb2.Class_INTERACTIVE
	if s.GetBulk() {
		cl = pb2.Class_BULK
		out.Route = append(out.Route, &pb2.Route{Path: "/", Class: cl})
	}
	for _, path := range s.GetOnce() {
		out.Route = append(out.Route, &pb2.Route{Path: path, Class: cl, Repeat: pb2.Repeat_NEVER})
	}
	return out
}

// DowngradeService converts a service record of schema version 2 to version 1, or fails with ErrLossy.
func DowngradeService(s *pb2.Service) (*pb.Service, error) {
	out := &pb.Service{
		Schema: 1, Name: s.GetName(), Slots: s.GetSlots(), Conns: s.GetConns(),
		Timeout: s.GetTimeout(), Cold: s.GetCold(), Warm: s.GetWarm(), Budget: s.GetBudget(),
	}
	if s.GetRetry() != defaultRetryPercent || s.GetQueue() != defaultMaxQueued {
		return nil, eris.Wrap(ErrLossy, "retry and queue")
	}
	if s.GetRate() != 0 {
		return nil, eris.Wrap(ErrLossy, "rate")
	}
	if s.GetAsk() != 0 || s.GetHealth() != "" {
		return nil, eris.Wrap(ErrLossy, "ask and health")
	}
	for _, r := range s.GetRoute() {
		if r.GetPath() == "/" && r.GetRepeat() == pb2.Repeat_METHOD {
			out.Bulk = r.GetClass() == pb2.Class_BULK
		}
	}
	for _, r := range s.GetRoute() {
		if (r.GetClass() == pb2.Class_BULK) != out.Bulk || r.GetRepeat() == pb2.Repeat_ALWAYS {
			return nil, eris.Wrapf(ErrLossy, "route %s", r.GetPath())
		}
		if r.GetRepeat() == pb2.Repeat_NEVER {
			out.Once = append(out.Once, r.GetPath())
		}
	}
	return out, nil
}

// serviceFromProto converts a checked record.
func serviceFromProto(s *pb2.Service) *svcrec.Service {
	out := &svcrec.Service{
		Name: s.GetName(), Slots: int(s.GetSlots()), Conns: int(s.GetConns()),
		Timeout: s.GetTimeout().AsDuration(), ColdConcurrency: int(s.GetCold()), ColdRate: int(s.GetRate()), Warmup: s.GetWarm().AsDuration(),
		ProbeRate: int(s.GetBudget()), RetryPercent: int(s.GetRetry()), Queue: int(s.GetQueue()),
		ProbesPerCall: int(s.GetAsk()), LoadPath: s.GetHealth(),
	}
	for _, r := range s.GetRoute() {
		out.Routes = append(out.Routes, route.Route{
			Path: r.GetPath(), Class: class.Class(r.GetClass()), Retry: retry.Policy(r.GetRepeat()),
		})
	}
	return out
}

// checkService checks what the schema's limits cannot say.
func checkService(s *pb2.Service) error {
	if s.GetCold() > s.GetSlots() {
		return eris.Errorf("cold is %d and slots is %d; a cold upstream bears no more than a warm one", s.GetCold(), s.GetSlots())
	}
	if s.GetTimeout().AsDuration() <= 0 {
		return eris.New("timeout must be above 0")
	}
	seen := map[string]bool{}
	for _, r := range s.GetRoute() {
		if seen[r.GetPath()] {
			return eris.Errorf("route %s stands twice", r.GetPath())
		}
		seen[r.GetPath()] = true
	}
	return nil
}

func duration(d time.Duration) *durationpb.Duration { return durationpb.New(d) }
