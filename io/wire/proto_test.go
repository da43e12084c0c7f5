package wire

import (
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/dynamicpb"

	"egretdock/core/input"
	"egretdock/core/packet"
)

// parseSchema returns the messages of packet.proto.
func parseSchema(t *testing.T) protoreflect.MessageDescriptors {
	t.Helper()
	text, err := os.ReadFile("packet.proto")
	if err != nil {
		t.Fatal(err)
	}
	file := &descriptorpb.FileDescriptorProto{Name: proto.String("packet.proto"), Syntax: proto.String("proto3")}
	for _, m := range regexp.MustCompile(`(?m)^message (\w+)|^  (\w+) (\w+) = (\d+);`).FindAllStringSubmatch(string(text), -1) {
		if m[1] != "" {
			file.MessageType = append(file.MessageType, &descriptorpb.DescriptorProto{Name: &m[1]})
			continue
		}
		n, _ := strconv.ParseInt(m[4], 10, 32)
		f := &descriptorpb.FieldDescriptorProto{Name: &m[3], Number: proto.Int32(int32(n)), Label: descriptorpb.FieldDescriptorProto_LABEL_OPTIONAL.Enum()}
		if typ, ok := descriptorpb.FieldDescriptorProto_Type_value["TYPE_"+strings.ToUpper(m[2])]; ok {
			f.Type = descriptorpb.FieldDescriptorProto_Type(typ).Enum()
		} else {
			f.Type, f.TypeName = descriptorpb.FieldDescriptorProto_TYPE_MESSAGE.Enum(), proto.String("."+m[2])
		}
		last := file.MessageType[len(file.MessageType)-1]
		last.Field = append(last.Field, f)
	}
	fd, err := protodesc.NewFile(file, nil)
	if err != nil {
		t.Fatal(err)
	}
	return fd.Messages()
}

// assertFields checks that a message has only fields of its schema and that each
// number has its field number as value. It records the fields in seen.
func assertFields(t *testing.T, b []byte, m *dynamicpb.Message, seen map[string]bool) {
	t.Helper()
	if err := proto.Unmarshal(b, m); err != nil {
		t.Fatal(err)
	}
	if u := m.GetUnknown(); len(u) > 0 {
		t.Errorf("%s has fields %x that packet.proto doesn't define", m.Descriptor().Name(), u)
	}
	m.Range(func(f protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		seen[string(f.FullName())] = true
		switch f.Kind() {
		case protoreflect.BytesKind, protoreflect.MessageKind, protoreflect.BoolKind:
		default:
			if f.Name() != "kind" && v.String() != strconv.Itoa(int(f.Number())) {
				t.Errorf("%s is %v, want %d", f.FullName(), v, f.Number())
			}
		}
		return true
	})
}

// Guards against an encoding that programs built from packet.proto misread, and
// the reverse: different field numbers, types or kinds, or missing fields.
func TestMatchesSchema(t *testing.T) {
	messages, seen, s := parseSchema(t), map[string]bool{}, newFleetSealer(t)
	field := func(m *dynamicpb.Message, name protoreflect.Name) protoreflect.Value {
		return m.Get(m.Descriptor().Fields().ByName(name))
	}
	assertValue := func(t *testing.T, m *dynamicpb.Message, name protoreflect.Name, want any) {
		t.Helper()
		assertSame(t, want, field(m, name).Interface())
	}
	for i, body := range bodies {
		t.Run(string(messages.ByName("Packet").Name())+strconv.Itoa(i+1), func(t *testing.T) {
			p := packet.Packet{Header: header, Body: body}
			m := dynamicpb.NewMessage(messages.ByName("Packet"))
			assertFields(t, Append(nil, &p), m, seen)
			assertValue(t, m, "kind", uint32(i+1))
			assertValue(t, m, "address", []byte{10, 1, 0, 1, 7001 >> 8, 7001 & 0xff})
			assertValue(t, m, "client", appendAddr(nil, ipv6Addr))
			b, err := proto.Marshal(m)
			assertError(t, nil, err)
			assertDecodes(t, b, p)
			assertFields(t, AppendWithToken(nil, &p, []byte("token")), m, seen)
			assertValue(t, m, "token", []byte("token"))
		})
	}
	t.Run("Relay", func(t *testing.T) {
		r := relay
		r.Packet.Route.Endpoint = ipv6Addr
		m := dynamicpb.NewMessage(messages.ByName("Relay"))
		assertFields(t, s.AppendRelay(nil, &r)[tagSize:], m, seen)
		assertValue(t, m, "target", appendAddr(nil, ipv4Addr))
		assertValue(t, m, "best", appendAddr(nil, ipv6Addr))
		assertValue(t, m, "route", append(appendAddr(nil, ipv6Addr), 0, 0, 0, 0, 0, 0, 0, 7))
		assertValue(t, m, "forced", true)
		inner, err := proto.Marshal(field(m, "packet").Message().Interface())
		assertError(t, nil, err)
		assertDecodes(t, inner, relay.Packet)
		b, err := proto.Marshal(m)
		assertError(t, nil, err)
		var d Decoder
		var got input.Relay
		assertError(t, nil, d.DecodeRelay(slices.Concat(s.relayTag(b), b), s, &got))
		assertSame(t, r, got)
	})
	for i := range messages.Len() {
		for fields, j := messages.Get(i).Fields(), 0; j < fields.Len(); j++ {
			if name := string(fields.Get(j).FullName()); !seen[name] {
				t.Errorf("%s is never encoded", name)
			}
		}
	}
}
