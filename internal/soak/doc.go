// Package soak runs entries as processes under drawn faults and checks what callers and upstreams saw.
package soak
