// Package demux serves pipelined HTTP/1.1 requests of one connection concurrently and answers them in order.
package demux
