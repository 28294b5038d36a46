// Command rig runs the cases of this review: entries of the project as separate processes, and stand-ins for the platform's store,
// backends and clients on loopback addresses.
package main

import (
	"bufio"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases are the cases by name. Each reports whether the rule was broken, with trouble set for the disruption.
var cases = map[string]func(g *rig, trouble bool) (broken bool, err error){
	"giveup":   giveUpCase,
	"pipeline": pipelineCase,
	"rollout":  rolloutCase,
	"weights":  weightsCase,
}

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// Usage: rig CASE BALSAMVALE RECORD.
func main() { os.Exit(runCase()) }

func runCase() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE BALSAMVALE RECORD")
		return failed
	}
	f, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer func() { _ = f.Close() }()
	g := &rig{bin: os.Args[2], start: time.Now(), record: bufio.NewWriterSize(f, 1<<20), runs: map[string][]run{}, ports: map[int]bool{}, ends: map[string]time.Time{}}
	defer func() { g.mu.Lock(); defer g.mu.Unlock(); _ = g.record.Flush() }()
	if g.dir, err = os.MkdirTemp("", "review"); err == nil {
		g.store, err = newStore()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(g.dir) }()
	} else {
		fmt.Println("logs in", g.dir)
	}
	defer g.stopEntries()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	type outcome struct {
		broken bool
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		b, err := cases[os.Args[1]](g, os.Getenv("TROUBLE") != "0")
		done <- outcome{b, err}
	}()
	select {
	case <-stop:
		return failed
	case <-time.After(110 * time.Second):
		g.say("the case takes too long")
		return failed
	case o := <-done:
		switch {
		case o.err != nil:
			g.say("the case could not run: %v", o.err)
			return failed
		case o.broken:
			return broken
		}
		return held
	}
}

// say writes a line to the record and to the output.
func (g *rig) say(format string, args ...any) {
	g.logf(format, args...)
	fmt.Printf(format+"\n", args...)
}
