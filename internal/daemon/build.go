package daemon

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	pb "github.com/balsamvale/balsamvale/internal/gen/balsamvale/v1"
)

// buildFields returns the log fields that describe the build, the limits of the process and the settings.
func (d *Daemon) buildFields() []zap.Field {
	b := d.Build
	return []zap.Field{
		zap.String("revision", b.Revision()), zap.String("tree", b.Tree()), zap.String("go", b.Go()), zap.String("arch", b.Arch()),
		zap.Int("processors", b.Processors()), zap.Int64("memory", b.SettingsMemory()), zap.Int64("heap", b.MemoryLimit()),
		zap.Int("files", b.Files()), zap.String("settings", b.Settings()),
	}
}

// buildProto returns the description of the build for status requests.
func (d *Daemon) buildProto() *pb.Build {
	b := d.Build
	return &pb.Build{
		Revision: b.Revision(), Tree: b.Tree(), Go: b.Go(), Arch: b.Arch(), Processors: uint32(b.Processors()),
		Memory: b.SettingsMemory(), Heap: b.MemoryLimit(), Files: uint64(b.Files()), Settings: b.Settings(),
	}
}

// writeBuildMetric writes the metric whose labels describe the build. It is not registered, because its labels change when the
// settings are reloaded.
func (d *Daemon) writeBuildMetric(w io.Writer) {
	b := d.Build
	metrics.WriteGaugeUint64(w, fmt.Sprintf("balsamvale_build_info{revision=%q,tree=%q,go=%q,arch=%q,processors=\"%d\",memory=\"%d\",heap=\"%d\",files=\"%d\",settings=%q}",
		b.Revision(), b.Tree(), b.Go(), b.Arch(), b.Processors(), b.SettingsMemory(), b.MemoryLimit(), b.Files(), b.Settings()), 1)
}
