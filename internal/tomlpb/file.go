package tomlpb

import (
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
	"google.golang.org/protobuf/proto"
)

// ErrInvalid is matched by every error about the content of a file.
var ErrInvalid = errors.New("invalid file")

// File is a parsed TOML file.
type File struct {
	name string
	root map[string]any
	// lineByKey holds the line of each key by its path, such as service[0].route[1].path.
	lineByKey map[string]int
}

// fieldError is an error at one line of a file; key is empty for a syntax error.
type fieldError struct {
	file string
	line int
	key  string
	msg  string
}

func (e *fieldError) Error() string {
	if e.key == "" {
		return fmt.Sprintf("%s:%d: %s", e.file, e.line, e.msg)
	}
	return fmt.Sprintf("%s:%d: %s: %s", e.file, e.line, e.key, e.msg)
}

// Is reports whether target is ErrInvalid.
func (e *fieldError) Is(target error) bool { return target == ErrInvalid }

// Parse parses TOML text. The name of the file appears in errors, which match ErrInvalid.
func Parse(name string, data []byte) (*File, error) {
	f := &File{name: name, lineByKey: map[string]int{}}
	if err := toml.Unmarshal(data, &f.root); err != nil {
		var decodeErr *toml.DecodeError
		if !errors.As(err, &decodeErr) {
			return nil, &fieldError{file: name, line: 1, msg: err.Error()}
		}
		row, _ := decodeErr.Position()
		return nil, &fieldError{file: name, line: row, msg: strings.TrimPrefix(decodeErr.Error(), "toml: ")}
	}
	f.indexLines(data)
	return f, nil
}

// Decode reads the whole file into a message and checks it; errors match ErrInvalid.
func (f *File) Decode(m proto.Message) error {
	return f.decodeMessage("", f.root, m.ProtoReflect())
}

// CheckKeys returns an error if the file has a top-level key that is not in keys; errors match ErrInvalid.
func (f *File) CheckKeys(keys ...string) error {
	known := map[string]bool{}
	for _, k := range keys {
		known[k] = true
	}
	for _, k := range sortedKeys(f.root) {
		if !known[k] {
			return f.errorf(k, "unknown key; allowed: %s", strings.Join(keys, ", "))
		}
	}
	return nil
}

// DecodeArray reads each table of a top-level array of tables into a new message and passes it to handle.
//
// The message for a table comes from newForSchema, which gets the value of the key schema, or 0 without one, and returns
// nil if the version is unknown. A missing array is no error. Errors, also those of handle, match ErrInvalid.
func (f *File) DecodeArray(key string, newForSchema func(schema int64) proto.Message, handle func(proto.Message) error) error {
	raw, ok := f.root[key]
	if !ok {
		return nil
	}
	list, ok := raw.([]any)
	if !ok {
		return f.errorf(key, "must be an array of tables: [[%s]]", key)
	}
	for i, el := range list {
		path := fmt.Sprintf("%s[%d]", key, i)
		table, ok := el.(map[string]any)
		if !ok {
			return f.errorf(path, "must be a table")
		}
		version, _ := table["schema"].(int64)
		m := newForSchema(version)
		if m == nil {
			return f.errorf(path+".schema", "schema version %d is not known to this release", version)
		}
		if err := f.decodeMessage(path, table, m.ProtoReflect()); err != nil {
			return err
		}
		if err := handle(m); err != nil {
			return f.errorf(path, "%s", err.Error())
		}
	}
	return nil
}

// errorf returns an error about a key, at the line of that key.
func (f *File) errorf(key, format string, args ...any) error {
	return &fieldError{file: f.name, line: f.line(key), key: key, msg: fmt.Sprintf(format, args...)}
}

// line returns the line of a key path. For a key that the file does not have, it returns the line of the innermost
// enclosing table or array that the file has, or else 1.
func (f *File) line(key string) int {
	for key != "" {
		if n, ok := f.lineByKey[key]; ok {
			return n
		}
		i := strings.LastIndexAny(key, ".[")
		if i < 0 {
			break
		}
		key = key[:i]
	}
	return 1
}

// indexLines records the line of each key and table header, which the decoded values do not have.
func (f *File) indexLines(data []byte) {
	var p unstable.Parser
	p.Reset(data)
	table := ""
	counts := map[string]int{}
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.Table:
			table = f.tablePath(e.Key(), counts)
			f.recordLine(&p, e.Key(), table)
		case unstable.ArrayTable:
			name := f.tablePath(e.Key(), counts)
			table = fmt.Sprintf("%s[%d]", name, counts[name])
			counts[name]++
			f.recordLine(&p, e.Key(), table)
		case unstable.KeyValue:
			f.recordLine(&p, e.Key(), join(table, dotted(e.Key())))
		}
	}
}

// tablePath returns the path of a table header, with the index of the latest table of each array that it passes through.
// The number of tables of each array so far is in counts.
func (f *File) tablePath(it unstable.Iterator, counts map[string]int) string {
	path := ""
	for it.Next() {
		if n := counts[path]; path != "" && n > 0 {
			path = fmt.Sprintf("%s[%d]", path, n-1)
		}
		path = join(path, string(it.Node().Data))
	}
	return path
}

// recordLine stores the line of the first part of a key under path.
func (f *File) recordLine(p *unstable.Parser, it unstable.Iterator, path string) {
	if !it.Next() {
		return
	}
	f.lineByKey[path] = p.Shape(it.Node().Raw).Start.Line
}

// dotted returns a key as its parts joined by dots.
func dotted(it unstable.Iterator) string {
	path := ""
	for it.Next() {
		path = join(path, string(it.Node().Data))
	}
	return path
}

// join appends a key to the path of its table, which is empty at the top level.
func join(table, key string) string {
	if table == "" {
		return key
	}
	return table + "." + key
}

// Has reports whether the file has a top-level key.
func (f *File) Has(key string) bool {
	_, ok := f.root[key]
	return ok
}
