package main

import "time"

// route is a route of the configuration.
type route struct {
	name, host, prefix, kind, service string
	// split holds the parts of a route that is split, instead of the service.
	split           []any
	timeout, target time.Duration
	priority        int
}

// putConfig writes the configuration as the operator.
func (g *rig) putConfig(version int, services []string, routes ...route) {
	var rs, ss []any
	for _, r := range routes {
		m := map[string]any{
			"name": r.name, "host": r.host, "path_prefix": r.prefix, "kind": r.kind, "timeout_ms": r.timeout.Milliseconds(),
			"target_latency_ms": r.target.Milliseconds(), "priority": r.priority, "max_attempts": 2,
		}
		if len(r.split) > 0 {
			m["traffic_split"] = r.split
		} else {
			m["service"] = r.service
		}
		rs = append(rs, m)
	}
	for _, s := range services {
		ss = append(ss, map[string]any{
			"name": s, "health_check_path": "/health", "connection_limit": 260, "protocol": "h1", "tls": false, "warmup_s": 3.0, "warmup_per_s": 18.0,
		})
	}
	g.store.put("op/config", map[string]any{
		"version": version, "routes": rs, "services": ss,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// fleet holds the backends of a case.
type fleet struct {
	rig      *rig
	backends []*backend
}

// add starts backends of a service and version, spread over the zones.
func (f *fleet) add(count int, service, version string, set func(b *backend)) ([]*backend, error) {
	var out []*backend
	for range count {
		b, err := f.rig.newBackend(service, version, zones[len(f.backends)%len(zones)])
		if err != nil {
			return nil, err
		}
		if set != nil {
			set(b)
		}
		f.backends = append(f.backends, b)
		out = append(out, b)
		b.start()
	}
	return out, nil
}

func (f *fleet) cleanUp() {
	for _, b := range f.backends {
		b.crash()
	}
}

// startEntries starts entries and waits until they are ready and know each other.
func (g *rig) startEntries(count int) error {
	for range count {
		if err := g.startEntry(); err != nil {
			return err
		}
	}
	if err := g.awaitReady(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	return nil
}

// Disruptions of some length come again after a pause.
const troubleTime, troublePause = 4 * time.Second, 3 * time.Second

// inTrouble reports whether a disruption that comes again and again is there now.
func (g *rig) inTrouble() bool { return time.Since(g.start)%(troubleTime+troublePause) < troubleTime }
