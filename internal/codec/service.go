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

// ErrLossy is matched by errors about a record that an older schema version cannot express.
var ErrLossy = eris.New("the older schema version cannot express the record")

// Values in schema version 2 of fields that version 1 does not have.
const (
	defaultRetryPercent = 10
	defaultMaxQueued    = 256
)

// UpgradeService converts a service record from schema version 1 to version 2.
func UpgradeService(s *pb.Service) *pb2.Service {
	out := &pb2.Service{
		Schema: 2, Name: s.GetName(), Slots: s.GetSlots(), Conns: s.GetConns(),
		Timeout: s.GetTimeout(), Cold: s.GetCold(), Warm: s.GetWarm(), Budget: s.GetBudget(),
		Retry: defaultRetryPercent, Queue: defaultMaxQueued,
	}
	routeClass := pb2.Class_INTERACTIVE
	if s.GetBulk() {
		routeClass = pb2.Class_BULK
		out.Route = append(out.Route, &pb2.Route{Path: "/", Class: routeClass})
	}
	for _, path := range s.GetOnce() {
		out.Route = append(out.Route, &pb2.Route{Path: path, Class: routeClass, Repeat: pb2.Repeat_NEVER})
	}
	return out
}

// DowngradeService converts a service record from schema version 2 to version 1.
//
// Errors match ErrLossy: version 1 cannot express the record.
func DowngradeService(s *pb2.Service) (*pb.Service, error) {
	out := &pb.Service{
		Schema: 1, Name: s.GetName(), Slots: s.GetSlots(), Conns: s.GetConns(),
		Timeout: s.GetTimeout(), Cold: s.GetCold(), Warm: s.GetWarm(), Budget: s.GetBudget(),
	}
	if s.GetRetry() != defaultRetryPercent || s.GetQueue() != defaultMaxQueued {
		return nil, eris.Wrapf(ErrLossy, "service %q: retry is %d and queue is %d, not %d and %d",
			s.GetName(), s.GetRetry(), s.GetQueue(), defaultRetryPercent, defaultMaxQueued)
	}
	if s.GetRate() != 0 {
		return nil, eris.Wrapf(ErrLossy, "service %q: rate is %d, not 0", s.GetName(), s.GetRate())
	}
	if s.GetAsk() != 0 || s.GetHealth() != "" {
		return nil, eris.Wrapf(ErrLossy, "service %q: ask is %d and health is %q, not 0 and empty", s.GetName(), s.GetAsk(), s.GetHealth())
	}
	for _, r := range s.GetRoute() {
		if r.GetPath() == "/" && r.GetRepeat() == pb2.Repeat_METHOD {
			out.Bulk = r.GetClass() == pb2.Class_BULK
		}
	}
	for _, r := range s.GetRoute() {
		if (r.GetClass() == pb2.Class_BULK) != out.Bulk || r.GetRepeat() == pb2.Repeat_ALWAYS {
			return nil, eris.Wrapf(ErrLossy, "service %q: route %q: class %v and repeat %v", s.GetName(), r.GetPath(), r.GetClass(), r.GetRepeat())
		}
		if r.GetRepeat() == pb2.Repeat_NEVER {
			out.Once = append(out.Once, r.GetPath())
		}
	}
	return out, nil
}

// serviceFromProto converts a service record that checkService has accepted.
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

// checkService checks what the limits of single fields in the schema cannot express.
func checkService(s *pb2.Service) error {
	if s.GetCold() > s.GetSlots() {
		return eris.Errorf("cold is %d and slots is %d; cold must not exceed slots, since a cold upstream can run no more calls than a warm one", s.GetCold(), s.GetSlots())
	}
	if s.GetTimeout().AsDuration() <= 0 {
		return eris.New("timeout must be greater than 0")
	}
	seen := map[string]bool{}
	for _, r := range s.GetRoute() {
		if seen[r.GetPath()] {
			return eris.Errorf("route %q is defined twice", r.GetPath())
		}
		seen[r.GetPath()] = true
	}
	return nil
}

func duration(d time.Duration) *durationpb.Duration { return durationpb.New(d) }
