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

// decodeMessage reads a table into a message and checks each field against its limit; path is the path of the table.
func (f *File) decodeMessage(path string, table map[string]any, m protoreflect.Message) error {
	fields := m.Descriptor().Fields()
	for _, key := range sortedKeys(table) {
		if fields.ByName(protoreflect.Name(key)) == nil {
			return f.errorf(join(path, key), "unknown key; allowed: %s", strings.Join(names(fields), ", "))
		}
	}
	for i := range fields.Len() {
		if err := f.decodeField(path, table, m, fields.Get(i)); err != nil {
			return err
		}
	}
	return nil
}

// decodeField reads one field of a table. A missing field is an error if it is required. Otherwise it gets its default,
// or the defaults of all fields of its message.
func (f *File) decodeField(path string, table map[string]any, m protoreflect.Message, fd protoreflect.FieldDescriptor) error {
	key := join(path, string(fd.Name()))
	raw, ok := table[string(fd.Name())]
	limit := limitOf(fd)
	if !ok && limit.GetNeed() {
		return f.errorf(key, "must be set: %s", orDefault(limit.GetHelp(), "required"))
	}
	if !ok && limit.GetPreset() != "" {
		raw, ok = defaultValue(limit), true
	}
	if !ok && fd.Message() != nil && !fd.IsList() && !isTime(fd) {
		raw, ok = map[string]any{}, true
	}
	if !ok {
		return nil
	}
	if fd.IsList() {
		return f.decodeList(key, raw, m.Mutable(fd).List(), fd, limit)
	}
	if fd.Message() != nil && !isTime(fd) {
		return f.decodeTable(key, raw, m.Mutable(fd).Message())
	}
	v, err := f.decodeScalar(key, raw, fd, limit)
	if err != nil {
		return err
	}
	m.Set(fd, v)
	return nil
}

// decodeTable reads the value of a field that holds a message.
func (f *File) decodeTable(key string, raw any, m protoreflect.Message) error {
	t, ok := raw.(map[string]any)
	if !ok {
		return f.errorf(key, "must be a table")
	}
	return f.decodeMessage(key, t, m)
}

// decodeList reads an array into a repeated field.
func (f *File) decodeList(key string, raw any, l protoreflect.List, fd protoreflect.FieldDescriptor, limit *pb.Limit) error {
	elems, ok := raw.([]any)
	if !ok {
		return f.errorf(key, "must be an array")
	}
	if len(elems) == 0 && limit.GetNeed() {
		return f.errorf(key, "must have at least one element")
	}
	for i, elem := range elems {
		path := fmt.Sprintf("%s[%d]", key, i)
		if fd.Message() != nil && !isTime(fd) {
			if err := f.decodeTable(path, elem, l.AppendMutable().Message()); err != nil {
				return err
			}
			continue
		}
		v, err := f.decodeScalar(path, elem, fd, limit)
		if err != nil {
			return err
		}
		l.Append(v)
	}
	return nil
}

// decodeScalar converts and checks one value; durations and timestamps count as scalars.
func (f *File) decodeScalar(key string, raw any, fd protoreflect.FieldDescriptor, limit *pb.Limit) (protoreflect.Value, error) {
	var none protoreflect.Value
	switch fd.Kind() {
	case protoreflect.BoolKind:
		b, ok := raw.(bool)
		if !ok {
			return none, f.errorf(key, "must be true or false")
		}
		return protoreflect.ValueOfBool(b), nil
	case protoreflect.StringKind:
		return f.decodeString(key, raw, limit)
	case protoreflect.EnumKind:
		return f.decodeEnum(key, raw, fd.Enum())
	case protoreflect.MessageKind:
		return f.decodeTime(key, raw, fd, limit)
	case protoreflect.DoubleKind:
		return f.decodeFloat(key, raw)
	}
	return f.decodeInteger(key, raw, fd, limit)
}

// decodeFloat accepts floats and integers.
func (f *File) decodeFloat(key string, raw any) (protoreflect.Value, error) {
	switch n := raw.(type) {
	case float64:
		return protoreflect.ValueOfFloat64(n), nil
	case int64:
		return protoreflect.ValueOfFloat64(float64(n)), nil
	}
	return protoreflect.Value{}, f.errorf(key, "must be a number")
}

// decodeInteger checks an integer against its limit, or without one against the range of its type from 0.
func (f *File) decodeInteger(key string, raw any, fd protoreflect.FieldDescriptor, limit *pb.Limit) (protoreflect.Value, error) {
	n, ok := raw.(int64)
	if !ok {
		return protoreflect.Value{}, f.errorf(key, "must be an integer")
	}
	least, most := int64(0), int64(math.MaxUint32)
	if fd.Kind() == protoreflect.Uint64Kind || fd.Kind() == protoreflect.Int64Kind {
		most = math.MaxInt64
	}
	if limit.GetMin() != 0 || limit.GetMax() != 0 {
		least, most = limit.GetMin(), limit.GetMax()
	}
	if n < least || n > most {
		return protoreflect.Value{}, f.errorf(key, "%d is out of range; allowed: %d to %d", n, least, most)
	}
	switch fd.Kind() {
	case protoreflect.Uint32Kind:
		return protoreflect.ValueOfUint32(uint32(n)), nil
	case protoreflect.Uint64Kind:
		return protoreflect.ValueOfUint64(uint64(n)), nil
	}
	return protoreflect.ValueOfInt64(n), nil
}

// decodeEnum accepts the names of the enum values in lower case.
func (f *File) decodeEnum(key string, raw any, ed protoreflect.EnumDescriptor) (protoreflect.Value, error) {
	name, _ := raw.(string)
	v := ed.Values().ByName(protoreflect.Name(strings.ToUpper(name)))
	if v == nil || name != strings.ToLower(name) {
		var allowed []string
		for i := range ed.Values().Len() {
			allowed = append(allowed, strings.ToLower(string(ed.Values().Get(i).Name())))
		}
		return protoreflect.Value{}, f.errorf(key, "%v is not allowed; allowed: %s", raw, strings.Join(allowed, ", "))
	}
	return protoreflect.ValueOfEnum(v.Number()), nil
}

// decodeTime converts a timestamp or a duration; a duration is a string in the syntax of time.ParseDuration.
func (f *File) decodeTime(key string, raw any, fd protoreflect.FieldDescriptor, limit *pb.Limit) (protoreflect.Value, error) {
	var none protoreflect.Value
	if fd.Message().FullName() == timestampName {
		t, ok := raw.(time.Time)
		if !ok {
			return none, f.errorf(key, "must be a date and time with an offset, such as 2026-12-04T09:30:00+01:00")
		}
		return protoreflect.ValueOfMessage(timestamppb.New(t).ProtoReflect()), nil
	}
	s, ok := raw.(string)
	if !ok {
		return none, f.errorf(key, `must be a duration in quotes, such as "250ms"`)
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		return none, f.errorf(key, `%q is not a duration; it must have a unit, such as "250ms"`, s)
	}
	if err := checkDuration(d, limit); err != nil {
		return none, f.errorf(key, "%s", err.Error())
	}
	return protoreflect.ValueOfMessage(durationpb.New(d).ProtoReflect()), nil
}

// checkDuration checks a duration against its limit, if it has one.
func checkDuration(d time.Duration, limit *pb.Limit) error {
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

// decodeString checks a string against the format of its field.
func (f *File) decodeString(key string, raw any, limit *pb.Limit) (protoreflect.Value, error) {
	var none protoreflect.Value
	s, ok := raw.(string)
	if !ok {
		return none, f.errorf(key, "must be a string")
	}
	switch limit.GetForm() {
	case pb.Form_NAME:
		if !isName(s) {
			return none, f.errorf(key, "%q is not a name; allowed: 1 to 63 lower-case letters, digits and hyphens", s)
		}
	case pb.Form_ADDR:
		if ap, err := netip.ParseAddrPort(s); err != nil || ap.Port() == 0 {
			return none, f.errorf(key, "%q is not an address; allowed: an IP address and a port from 1 to 65535, such as 127.0.0.1:8080", s)
		}
	case pb.Form_PATH:
		if !strings.HasPrefix(s, "/") {
			return none, f.errorf(key, "%q is not a path; it must begin with /", s)
		}
	}
	return protoreflect.ValueOfString(s), nil
}

// isName reports whether s is 1 to 63 lower-case letters, digits and hyphens.
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

// Full names of the message types that are read from single TOML values.
const (
	timestampName = "google.protobuf.Timestamp"
	durationName  = "google.protobuf.Duration"
)

// isTime reports whether a message field holds a timestamp or a duration.
func isTime(fd protoreflect.FieldDescriptor) bool {
	name := fd.Message().FullName()
	return name == timestampName || name == durationName
}

// limitOf returns the limit that the schema sets on a field, or nil; the getters of a nil limit return zero values.
func limitOf(fd protoreflect.FieldDescriptor) *pb.Limit {
	l, _ := proto.GetExtension(fd.Options(), pb.E_Limit).(*pb.Limit)
	return l
}

// defaultValue returns the decoded default of a field, which the schema holds as a TOML literal.
func defaultValue(limit *pb.Limit) any {
	var t map[string]any
	if err := toml.Unmarshal([]byte("v = "+limit.GetPreset()), &t); err != nil {
		return nil
	}
	return t["v"]
}

// names returns the names of fields.
func names(fields protoreflect.FieldDescriptors) []string {
	var out []string
	for i := range fields.Len() {
		out = append(out, string(fields.Get(i).Name()))
	}
	return out
}

// sortedKeys returns the keys of a table in ascending order, so that errors do not depend on the order of the map.
func sortedKeys(t map[string]any) []string {
	keys := make([]string, 0, len(t))
	for k := range t {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// orDefault returns s, or other if s is empty.
func orDefault(s, other string) string {
	if s == "" {
		return other
	}
	return s
}
