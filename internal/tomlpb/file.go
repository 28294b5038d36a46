package tomlpb

import (
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
	"google.golang.org/protobuf/proto"
)

// ErrInvalid is what every error about the content of a file matches.
var ErrInvalid = errors.New("invalid file")

// File is a parsed TOML file.
type File struct {
	name  string
	root  map[string]any
	lines map[string]int
}

// fieldError is an error at one place of a file.
type fieldError struct {
	file string
	line int
	key  string
	text string
}

func (p *fieldError) Error() string {
	if p.key == "" {
		return fmt.Sprintf("%s:%d: %s", p.file, p.line, p.text)
	}
	return fmt.Sprintf("%s:%d: %s: %s", p.file, p.line, p.key, p.text)
}

func (p *fieldError) Is(target error) bool { return target == ErrInvalid }

// Parse reads TOML text; name stands for the file in errors, which match ErrInvalid.
func Parse(name string, data []byte) (*File, error) {
	f := &File{name: name, lines: map[string]int{}}
	if err := toml.Unmarshal(data, &f.root); err != nil {
		var de *toml.DecodeError
		if !errors.As(err, &de) {
			return nil, &fieldError{file: name, line: 1, text: err.Error()}
		}
		row, _ := de.Position()
		return nil, &fieldError{file: name, line: row, text: strings.TrimPrefix(de.Error(), "toml: ")}
	}
	f.indexLines(data)
	return f, nil
}

// Decode reads the whole file into a message; errors match ErrInvalid.
func (f *File) Decode(m proto.Message) error {
	return f.decodeMessage("", f.root, m.ProtoReflect())
}

// CheckKeys reports an error for a top-level key that is not among keys.
func (f *File) CheckKeys(keys ...string) error {
	known := map[string]bool{}
	for _, k := range keys {
		known[k] = true
	}
	for _, k := range sortedKeys(f.root) {
		if !known[k] {
			return f.errorf(k, "unknown key; known here: %s", strings.Join(keys, ", "))
		}
	}
	return nil
}

// DecodeArray reads the tables of an array, each into the message that pick returns for its schema version.
//
// A nil message means that the version is not known, which is an error.
func (f *File) DecodeArray(key string, pick func(schema int64) proto.Message, use func(proto.Message) error) error {
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
		m := pick(version)
		if m == nil {
			return f.errorf(path+".schema", "schema version %d is not known to this release", version)
		}
		if err := f.decodeMessage(path, table, m.ProtoReflect()); err != nil {
			return err
		}
		if err := use(m); err != nil {
			return f.errorf(path, "%s", err.Error())
		}
	}
	return nil
}

func (f *File) errorf(key, format string, args ...any) error {
	return &fieldError{file: f.name, line: f.line(key), key: key, text: fmt.Sprintf(format, args...)}
}

// line returns the line of a key, or that of the nearest table around it.
func (f *File) line(key string) int {
	for key != "" {
		if n, ok := f.lines[key]; ok {
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

// indexLines notes the line of each key.
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

// tablePath puts the index of the latest table into each array that a header passes through.
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

func (f *File) recordLine(p *unstable.Parser, it unstable.Iterator, path string) {
	if !it.Next() {
		return
	}
	f.lines[path] = p.Shape(it.Node().Raw).Start.Line
}

func dotted(it unstable.Iterator) string {
	path := ""
	for it.Next() {
		path = join(path, string(it.Node().Data))
	}
	return path
}

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
