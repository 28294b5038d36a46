package tomlpb

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	pb "github.com/balsamvale/balsamvale/internal/gen/balsamvale/v1"
)

// fill copies a table into a message and checks each field against its limit.
func (f *File) fill(path string, table map[string]any, m protoreflect.Message) error {
	fields := m.Descriptor().Fields()
	for _, key := range sorted(table) {
		if fields.ByName(protoreflect.Name(key)) == nil {
			return f.problem(join(path, key), "unknown key; known here: %s", strings.Join(names(fields), ", "))
		}
	}
	for i := range fields.Len() {
		if err := f.field(path, table, m, fields.Get(i)); err != nil {
			return err
		}
	}
	return nil
}

// field copies one key, its default, or the defaults of the table it stands for.
func (f *File) field(path string, table map[string]any, m protoreflect.Message, fd protoreflect.FieldDescriptor) error {
	key := join(path, string(fd.Name()))
	raw, ok := table[string(fd.Name())]
	limit := limitOf(fd)
	if !ok && limit.GetNeed() {
		return f.problem(key, "must be set: %s", orText(limit.GetHelp(), "required"))
	}
	if !ok && limit.GetPreset() != "" {
		raw, ok = preset(limit), true
	}
	if !ok && fd.Message() != nil && !fd.IsList() && !isTime(fd) {
		raw, ok = map[string]any{}, true
	}
	if !ok {
		return nil
	}
	if fd.IsList() {
		return f.list(key, raw, m.Mutable(fd).List(), fd, limit)
	}
	if fd.Message() != nil && !isTime(fd) {
		return f.table(key, raw, m.Mutable(fd).Message())
	}
	v, err := f.scalar(key, raw, fd, limit)
	if err != nil {
		return err
	}
	m.Set(fd, v)
	return nil
}

func (f *File) table(key string, raw any, m protoreflect.Message) error {
	t, ok := raw.(map[string]any)
	if !ok {
		return f.problem(key, "must be a table")
	}
	return f.fill(key, t, m)
}

func (f *File) list(key string, raw any, l protoreflect.List, fd protoreflect.FieldDescriptor, limit *pb.Limit) error {
	els, ok := raw.([]any)
	if !ok {
		return f.problem(key, "must be an array")
	}
	if len(els) == 0 && limit.GetNeed() {
		return f.problem(key, "must have at least one element")
	}
	for i, el := range els {
		path := fmt.Sprintf("%s[%d]", key, i)
		if fd.Message() != nil && !isTime(fd) {
			if err := f.table(path, el, l.AppendMutable().Message()); err != nil {
				return err
			}
			continue
		}
		v, err := f.scalar(path, el, fd, limit)
		if err != nil {
			return err
		}
		l.Append(v)
	}
	return nil
}

// scalar converts one value and checks it.
func (f *File) scalar(key string, raw any, fd protoreflect.FieldDescriptor, limit *pb.Limit) (protoreflect.Value, error) {
	var none protoreflect.Value
	switch fd.Kind() {
	case protoreflect.BoolKind:
		b, ok := raw.(bool)
		if !ok {
			return none, f.problem(key, "must be true or false")
		}
		return protoreflect.ValueOfBool(b), nil
	case protoreflect.StringKind:
		return f.text(key, raw, limit)
	case protoreflect.EnumKind:
		return f.enum(key, raw, fd.Enum())
	case protoreflect.MessageKind:
		return f.time(key, raw, fd, limit)
	case protoreflect.DoubleKind:
		return f.number(key, raw)
	}
	return f.whole(key, raw, fd, limit)
}

func (f *File) number(key string, raw any) (protoreflect.Value, error) {
	switch n := raw.(type) {
	case float64:
		return protoreflect.ValueOfFloat64(n), nil
	case int64:
		return protoreflect.ValueOfFloat64(float64(n)), nil
	}
	return protoreflect.Value{}, f.problem(key, "must be a number")
}

func (f *File) whole(key string, raw any, fd protoreflect.FieldDescriptor, limit *pb.Limit) (protoreflect.Value, error) {
	n, ok := raw.(int64)
	if !ok {
		return protoreflect.Value{}, f.problem(key, "must be a whole number")
	}
	least, most := int64(0), int64(math.MaxUint32)
	if fd.Kind() == protoreflect.Uint64Kind || fd.Kind() == protoreflect.Int64Kind {
		most = math.MaxInt64
	}
	if limit.GetMin() != 0 || limit.GetMax() != 0 {
		least, most = limit.GetMin(), limit.GetMax()
	}
	if n < least || n > most {
		return protoreflect.Value{}, f.problem(key, "%d is out of range; allowed: %d to %d", n, least, most)
	}
	switch fd.Kind() {
	case protoreflect.Uint32Kind:
		return protoreflect.ValueOfUint32(uint32(n)), nil
	case protoreflect.Uint64Kind:
		return protoreflect.ValueOfUint64(uint64(n)), nil
	}
	return protoreflect.ValueOfInt64(n), nil
}

func (f *File) enum(key string, raw any, ed protoreflect.EnumDescriptor) (protoreflect.Value, error) {
	word, _ := raw.(string)
	v := ed.Values().ByName(protoreflect.Name(strings.ToUpper(word)))
	if v == nil || word != strings.ToLower(word) {
		var words []string
		for i := range ed.Values().Len() {
			words = append(words, strings.ToLower(string(ed.Values().Get(i).Name())))
		}
		return protoreflect.Value{}, f.problem(key, "%v is not allowed; allowed: %s", raw, strings.Join(words, ", "))
	}
	return protoreflect.ValueOfEnum(v.Number()), nil
}

func (f *File) time(key string, raw any, fd protoreflect.FieldDescriptor, limit *pb.Limit) (protoreflect.Value, error) {
	var none protoreflect.Value
	if fd.Message().FullName() == timestampName {
		t, ok := raw.(time.Time)
		if !ok {
			return none, f.problem(key, "must be a date and time with an offset, such as 2026-12-04T09:30:00+01:00")
		}
		return protoreflect.ValueOfMessage(timestamppb.New(t).ProtoReflect()), nil
	}
	s, ok := raw.(string)
	if !ok {
		return none, f.problem(key, `must be a duration in quotes, such as "250ms"`)
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		return none, f.problem(key, `%q is not a duration such as "250ms"`, s)
	}
	if err := inRange(d, limit); err != nil {
		return none, f.problem(key, "%s", err.Error())
	}
	return protoreflect.ValueOfMessage(durationpb.New(d).ProtoReflect()), nil
}

func inRange(d time.Duration, limit *pb.Limit) error {
	if limit.GetMost() == "" {
		return nil
	}
	least, err := time.ParseDuration(limit.GetLeast())
	if err != nil {
		return err
	}
	most, err := time.ParseDuration(limit.GetMost())
	if err != nil {
		return err
	}
	if d < least || d > most {
		return fmt.Errorf("%v is out of range; allowed: %v to %v", d, least, most)
	}
	return nil
}

func (f *File) text(key string, raw any, limit *pb.Limit) (protoreflect.Value, error) {
	var none protoreflect.Value
	s, ok := raw.(string)
	if !ok {
		return none, f.problem(key, "must be a string")
	}
	switch limit.GetForm() {
	case pb.Form_NAME:
		if !isName(s) {
			return none, f.problem(key, "%q is not a name; allowed: 1 to 63 lower-case letters, digits and hyphens", s)
		}
	case pb.Form_ADDR:
		if ap, err := netip.ParseAddrPort(s); err != nil || ap.Port() == 0 {
			return none, f.problem(key, "%q is not an address; allowed: an IP address and a port from 1 to 65535, such as 127.0.0.1:8080", s)
		}
	case pb.Form_PATH:
		if !strings.HasPrefix(s, "/") {
			return none, f.problem(key, "%q is not a path; it must begin with /", s)
		}
	}
	return protoreflect.ValueOfString(s), nil
}

func isName(s string) bool {
	if len(s) == 0 || len(s) > 63 {
		return false
	}
	for _, r := range s {
		if (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' {
			return false
		}
	}
	return true
}

const (
	timestampName = "google.protobuf.Timestamp"
	durationName  = "google.protobuf.Duration"
)

func isTime(fd protoreflect.FieldDescriptor) bool {
	name := fd.Message().FullName()
	return name == timestampName || name == durationName
}

func limitOf(fd protoreflect.FieldDescriptor) *pb.Limit {
	l, _ := proto.GetExtension(fd.Options(), pb.E_Limit).(*pb.Limit)
	return l
}

// preset returns the default of a field; the schema's defaults are in TOML notation.
func preset(limit *pb.Limit) any {
	var t map[string]any
	if err := toml.Unmarshal([]byte("v = "+limit.GetPreset()), &t); err != nil {
		return nil
	}
	return t["v"]
}

func names(fields protoreflect.FieldDescriptors) []string {
	var out []string
	for i := range fields.Len() {
		out = append(out, string(fields.Get(i).Name()))
	}
	return out
}

func sorted(t map[string]any) []string {
	keys := make([]string, 0, len(t))
	for k := range t {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func orText(s, other string) string {
	if s == "" {
		return other
	}
	return s
}
