package proxy

import (
	"net/http"

	"github.com/balsamvale/balsamvale/pkg/calls/reason"
	"github.com/balsamvale/balsamvale/pkg/shared/basis"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/traffic/flow"
)

// headLimit returns the maximum size of a request head in bytes: the operators' limit, or else that of the settings; 0 for none.
func (h *Handler) headLimit() int {
	if b := h.Bounds(); b != nil && b.MaxHeaderBytes > 0 {
		return b.MaxHeaderBytes
	}
	return h.MaxHeaderBytes
}

// bodyLimit returns the maximum size of a request body in bytes: the operators' limit, or else that of the settings.
func (h *Handler) bodyLimit() int64 {
	if b := h.Bounds(); b != nil && b.MaxBodyBytes > 0 {
		return b.MaxBodyBytes
	}
	return h.MaxBodyBytes
}

// RefuseHead returns the response to a request whose head was not read to its end, as it exceeds the limit in bytes.
func (h *Handler) RefuseHead(limit int) (status int, why reason.Reason, header http.Header) {
	header = http.Header{}
	switch b := h.Basis(); {
	case !h.Configured():
		status, why = http.StatusServiceUnavailable, reason.Unconfigured
	case h.isOutdated(b):
		status, why = http.StatusServiceUnavailable, reason.Outdated
	case limit < h.headLimit():
		status, why = http.StatusServiceUnavailable, reason.HeaderTooLarge
	default:
		status, why = http.StatusRequestHeaderFieldsTooLarge, reason.HeaderTooLarge
	}
	if status == http.StatusServiceUnavailable {
		h.prepareUnserved(header, why)
	}
	// The request may have a key.
	h.Headers.SetOutcome(header, flow.OutcomeBeforeClaim(true), reason.None)
	return status, why, header
}

// refuseTooLarge refuses a request that exceeds a limit of the configuration b: with status, which is final, only while the limit
// is known to be that of the store.
func (h *Handler) refuseTooLarge(w http.ResponseWriter, r *http.Request, b basis.Basis, status int, why reason.Reason, text string) {
	if h.isOutdated(b) {
		h.refuseUnserved(w, r, b, reason.Outdated, text+" for a configuration that may be out of date")
		return
	}
	h.refuseEarly(w, r, b, status, why, text)
}

// tooLargeBody returns the status for a body of which more than limit bytes came, and the reason. The limit may have risen
// meanwhile, or be out of date. Once a part was sent to an upstream, the status is one that promises nothing.
func (h *Handler) tooLargeBody(limit int64, sent bool) (int, reason.Reason) {
	outdated := h.isOutdated(h.Basis()) || limit < h.bodyLimit()
	switch {
	case !outdated:
		return http.StatusRequestEntityTooLarge, reason.BodyTooLarge
	case sent:
		return http.StatusBadGateway, reason.Outdated
	}
	return http.StatusServiceUnavailable, reason.Outdated
}

// headSize returns the size of the head of a request in bytes, as written in the shortest way: without optional white space, and
// without what net/http adds.
func headSize(r *http.Request) int {
	const fieldOverhead, lineOverhead = len(":\r\n"), len("  HTTP/1.1\r\n")
	n := len(r.Method) + len(r.RequestURI) + lineOverhead + len("Host") + len(r.Host) + fieldOverhead + len("\r\n")
	for k, values := range r.Header {
		for _, v := range values {
			n += len(k) + len(v) + fieldOverhead
		}
	}
	if r.Header.Get("Pragma") == "no-cache" && r.Header.Get("Cache-Control") == "no-cache" {
		n -= len("Cache-Control") + len("no-cache") + fieldOverhead
	}
	return n
}

// requestMemory returns what a request takes beside its body and what the listener counts for its connection. A connection of HTTP/2
// has hundreds of requests at once, of which the listener counts none.
func requestMemory(r *http.Request) int64 {
	n := int64(0)
	if r.ProtoMajor > 1 {
		n = tune.PipelinedMemory
	}
	if size := headSize(r); size > tune.FreeHeadBytes {
		fields := 0
		for _, values := range r.Header {
			fields += len(values)
		}
		// The head is sent to an upstream as well.
		n += int64(2*size + fields*tune.FieldMemory)
	}
	return n
}
