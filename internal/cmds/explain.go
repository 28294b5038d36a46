package cmds

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
)

// decisionWindow is how long before the first line of a request the decisions about its upstreams and domains are shown.
const decisionWindow = 5 * time.Second

// maxLineBytes is the largest size of a log line in bytes; a longer line is an error.
const maxLineBytes = 1 << 20

// logLine is one line of an entry's log.
type logLine struct {
	// host is the text before the JSON object, such as the host name that a log collector adds.
	host string
	// text is the JSON object as it was read.
	text string
	at   time.Time
	// kind is the log message, which tells the kinds of decisions apart.
	kind string
	// fields holds all fields of the JSON object.
	fields map[string]any
}

func (a *App) explain() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "print the log lines of one request in order of time, from the logs of any number of hosts", ArgsUsage: "ID",
		Description: example("explain 9c41d07be2a35f68 < entries.log"),
		Flags:       []cli.Flag{outputFlag()},
		Action:      a.doExplain,
	}
}

func (a *App) doExplain(_ context.Context, cmd *cli.Command) error {
	if cmd.NArg() != 1 {
		return eris.Wrap(errInvalid, "explain takes one request ID")
	}
	lines, err := readLog(a.In)
	if err != nil {
		return eris.Wrapf(errInvalid, "read log lines: %v", err)
	}
	found := selectLines(lines, cmd.Args().First())
	if len(found) == 0 {
		return eris.Wrapf(errRefused, "no log line has request ID %s; sampling or the log's limit per second may have dropped its lines", cmd.Args().First())
	}
	for _, l := range found {
		if cmd.String("output") == "json" {
			fmt.Fprintln(a.Out, l.text)
			continue
		}
		fmt.Fprintf(a.Out, "%s  %-22s %s\n", l.at.Format("15:04:05.000000"), l.host, l.describe())
	}
	return nil
}

// readLog parses the log lines that hold a JSON object with a valid time, and skips all others.
func readLog(r io.Reader) ([]logLine, error) {
	var out []logLine
	in := bufio.NewScanner(r)
	in.Buffer(nil, maxLineBytes)
	for in.Scan() {
		i := bytes.IndexByte(in.Bytes(), '{')
		if i < 0 {
			continue
		}
		l := logLine{host: strings.TrimSpace(string(in.Bytes()[:i])), text: string(in.Bytes()[i:])}
		if err := json.Unmarshal(in.Bytes()[i:], &l.fields); err != nil {
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, l.field("ts"))
		if err != nil {
			continue
		}
		l.at, l.kind = at, l.field("msg")
		out = append(out, l)
	}
	return out, in.Err()
}

// field returns the value of a field as text, or "" if the line does not have it.
func (l *logLine) field(name string) string {
	if v, ok := l.fields[name]; ok {
		return fmt.Sprint(v)
	}
	return ""
}

// selectLines returns the lines of a request, and the decisions about its upstreams and domains within decisionWindow
// before its first line, in order of time.
func selectLines(lines []logLine, id string) []logLine {
	var out []logLine
	names := map[string]bool{}
	var first time.Time
	for _, l := range lines {
		if l.field("mark") != id {
			continue
		}
		out = append(out, l)
		for _, f := range []string{"upstream", "domain"} {
			names[l.field(f)] = true
		}
		if first.IsZero() || l.at.Before(first) {
			first = l.at
		}
	}
	delete(names, "")
	for _, l := range lines {
		if l.kind == "place" && names[l.field("subject")] && !l.at.After(first) && first.Sub(l.at) <= decisionWindow {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b logLine) int { return a.at.Compare(b.at) })
	return out
}

// describe returns a line as readable text, or as it was read if its message is not known.
func (l *logLine) describe() string {
	switch l.kind {
	case "route":
		s := fmt.Sprintf("%s, attempt %s: %s", l.field("step"), l.field("attempt"), l.field("reason"))
		if up := l.field("upstream"); up != "" {
			s += fmt.Sprintf(", upstream %s of %s, version %s, predicted %s from a report of age %s (load %s, pace %s)",
				up, l.field("domain"), l.field("version"), l.field("wait"), l.field("age"), l.field("load"), l.field("pace"))
		} else {
			s += fmt.Sprintf(", fate %s; upstreams excluded: %s leaving, %s cold, %s with an open circuit, %s without a free connection, %s busy, %s tried; %s waiting, limit %s",
				l.field("fate"), l.field("leaving"), l.field("cold"), l.field("open"), l.field("conns"), l.field("busy"), l.field("tried"),
				l.field("waiting"), l.field("limit"))
		}
		return s + l.ownAnswer()
	case "end":
		return fmt.Sprintf("attempt %s ended: %s, status %s, after %s; load %s, pace %s",
			l.field("attempt"), l.field("cause"), l.field("status"), l.field("took"), l.field("busy"), l.field("pace"))
	case "early":
		return fmt.Sprintf("%s for %s%s: %s", l.field("reason"), l.field("host"), l.field("path"), l.field("text")) + l.ownAnswer()
	case "abort":
		return l.field("reason") + l.ownAnswer()
	case "cut":
		return fmt.Sprintf("cut by a planned stop; the call came %s and its connection %s after SIGTERM; sent to an upstream: %s",
			l.field("arrived"), l.field("opened"), l.field("sent"))
	case "place":
		return fmt.Sprintf("%s %s: %s", l.field("what"), l.field("subject"), l.field("reason"))
	}
	return l.text
}

// ownAnswer returns the fields of an answer that the entry made itself as readable text, or "" if the line has none.
func (l *logLine) ownAnswer() string {
	switch l.field("status") {
	case "":
		return ""
	case "0":
		return fmt.Sprintf("; connection closed without a whole answer, by revision %s of age %s", l.field("revision"), l.field("lag"))
	}
	return fmt.Sprintf("; answered %s by revision %s of age %s", l.field("status"), l.field("revision"), l.field("lag"))
}
