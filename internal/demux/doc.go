// Package demux splits callers' connections, so that pipelined requests run side by side and are answered in order.
package demux
