// Package pool chooses upstreams for the calls of one service and keeps what this entry knows about these upstreams.
package pool
