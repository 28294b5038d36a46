package proxy

import (
	"net/http"

	"github.com/balsamvale/balsamvale/pkg/calls/reason"
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
func (h *Handler) RefuseHead(int) (status int, why reason.Reason, header http.Header) {
	header = http.Header{}
	// The request may have a key.
	h.Headers.SetOutcome(header, flow.OutcomeBeforeClaim(true), reason.None)
	return http.StatusRequestHeaderFieldsTooLarge, reason.HeaderTooLarge, header
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
