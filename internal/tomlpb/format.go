package tomlpb

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"
)

// Format returns a message as one table of the TOML array kind, followed by its nested tables, in the form that Parse reads.
//
// Fields that are unset, not required and without a default are left out, as are unset durations and timestamps.
func Format(kind string, m proto.Message) string {
	var b strings.Builder
	writeTable(&b, kind, m.ProtoReflect())
	return b.String()
}

// writeTable writes the scalar fields of a message, then its lists of messages as arrays of tables.
func writeTable(b *strings.Builder, table string, m protoreflect.Message) {
	fmt.Fprintf(b, "[[%s]]\n", table)
	fields := m.Descriptor().Fields()
	var nested []protoreflect.FieldDescriptor
	for i := range fields.Len() {
		fd := fields.Get(i)
		if !m.Has(fd) && !limitOf(fd).GetNeed() && limitOf(fd).GetPreset() == "" {
			continue
		}
		if fd.IsList() && fd.Message() != nil {
			nested = append(nested, fd)
			continue
		}
		if fd.Message() != nil && !m.Has(fd) {
			continue
		}
		fmt.Fprintf(b, "%s = %s\n", fd.Name(), literal(fd, m.Get(fd)))
	}
	for _, fd := range nested {
		l := m.Get(fd).List()
		for i := range l.Len() {
			b.WriteString("\n")
			writeTable(b, table+"."+string(fd.Name()), l.Get(i).Message())
		}
	}
}

// literal returns a field value, or a list of them, as a TOML literal.
func literal(fd protoreflect.FieldDescriptor, v protoreflect.Value) string {
	if fd.IsList() {
		var elems []string
		for i := range v.List().Len() {
			elems = append(elems, scalarLiteral(fd, v.List().Get(i)))
		}
		return "[" + strings.Join(elems, ", ") + "]"
	}
	return scalarLiteral(fd, v)
}

// scalarLiteral returns one value as a TOML literal: enum values in lower case, durations as strings.
func scalarLiteral(fd protoreflect.FieldDescriptor, v protoreflect.Value) string {
	switch fd.Kind() {
	case protoreflect.StringKind:
		return strconv.Quote(v.String())
	case protoreflect.EnumKind:
		name := string(fd.Enum().Values().ByNumber(v.Enum()).Name())
		return strconv.Quote(strings.ToLower(name))
	case protoreflect.MessageKind:
		switch t := v.Message().Interface().(type) {
		case *durationpb.Duration:
			return strconv.Quote(t.AsDuration().String())
		case *timestamppb.Timestamp:
			return t.AsTime().Format(time.RFC3339Nano)
		}
	}
	return v.String()
}
