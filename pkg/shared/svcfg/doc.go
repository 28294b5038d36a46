// Package svcfg holds the configuration of one service and its upstreams for traffic.
package svcfg
