// Package sched orders the calls of one service that wait for admission, by what their delay or refusal costs callers.
package sched
