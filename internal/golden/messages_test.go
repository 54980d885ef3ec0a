package golden

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"google.golang.org/protobuf/encoding/prototext"
	protobuf "google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	pb "dewlift/proto"
)

// message holds both encodings of a message with all fields set.
type message struct {
	Binary []byte   `json:"binary"`
	Text   []string `json:"text"`
}

// Every protobuf message must keep its binary form, which is stored, and its text form, which is in operators' files.
func TestMessages(t *testing.T) {
	all := map[string]protobuf.Message{
		"rights":      &pb.Access{},
		"identity":    &pb.Identity{},
		"audit entry": &pb.AuditEntry{},
		"audit block": &pb.AuditBlock{},
		"equipment":   &pb.Equipment{},
		"bookings":    &pb.Page{},
		"archive":     &pb.Block{},
		"part":        &pb.Part{},
		"keys":        &pb.Keys{},
		"trailer":     &pb.Trailer{},
		"lanes":       &pb.Lanes{},
		"secure":      &pb.Secure{},
		"tuning":      &pb.Tuning{},
		"about":       &pb.About{},
	}
	got := map[string]any{}
	for name, filledMessage := range all {
		fillMessage(filledMessage.ProtoReflect(), name)
		raw, err := protobuf.MarshalOptions{Deterministic: true}.Marshal(filledMessage)
		if err != nil {
			t.Fatal(err)
		}
		text, err := prototext.MarshalOptions{Multiline: true}.Marshal(filledMessage)
		if err != nil {
			t.Fatal(err)
		}
		lines := strings.Split(strings.TrimSpace(string(text)), "\n")
		for i, line := range lines { // prototext varies the amount of white space from build to build
			lines[i] = strings.Join(strings.Fields(line), " ")
		}
		got[name] = message{raw, lines}
	}
	for name, raw := range checkGolden(t, "messages", got) {
		if all[name] == nil {
			continue
		}
		var was message
		if err := json.Unmarshal(raw, &was); err != nil {
			t.Fatal(err)
		}
		decoded := all[name].ProtoReflect().New().Interface()
		if err := protobuf.Unmarshal(was.Binary, decoded); err != nil || !protobuf.Equal(decoded, all[name]) {
			t.Errorf("%s is decoded as %v (%v)", name, decoded, err)
		}
		if err := prototext.Unmarshal([]byte(strings.Join(was.Text, "\n")), decoded); err != nil ||
			!protobuf.Equal(decoded, all[name]) {
			t.Errorf("the text of %s is decoded as %v (%v)", name, decoded, err)
		}
	}
}

// The names of enum values must not change: they are in text files and responses.
func TestEnumValueNames(t *testing.T) {
	got := map[string]any{}
	for name, enum := range map[string]protoreflect.Enum{
		"verb":    pb.Verb(0),
		"outcome": pb.AuditOutcome(0),
		"booking": pb.BookingState(0),
	} {
		var list []string
		for v := range enum.Descriptor().Values().Len() {
			value := enum.Descriptor().Values().Get(v)
			list = append(list, fmt.Sprint(value.Number(), " ", value.Name()))
		}
		got[name] = list
	}
	checkGolden(t, "choices", got)
}
