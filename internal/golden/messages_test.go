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

// message is one with everything in it.
type message struct {
	Binary []byte   `json:"binary"`
	Text   []string `json:"text"`
}

// Every message of proto, as bytes and as text: what is stored, and the files of operators.
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
	for name, m := range all {
		fillMessage(m.ProtoReflect(), name)
		raw, err := protobuf.MarshalOptions{Deterministic: true}.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		text, err := prototext.MarshalOptions{Multiline: true}.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		lines := strings.Split(strings.TrimSpace(string(text)), "\n")
		for i, l := range lines { // how much space there is differs from build to build
			lines[i] = strings.Join(strings.Fields(l), " ")
		}
		got[name] = message{raw, lines}
	}
	for name, raw := range same(t, "messages", got) {
		if all[name] == nil {
			continue
		}
		var was message
		if err := json.Unmarshal(raw, &was); err != nil {
			t.Fatal(err)
		}
		m := all[name].ProtoReflect().New().Interface()
		if err := protobuf.Unmarshal(was.Binary, m); err != nil || !protobuf.Equal(m, all[name]) {
			t.Errorf("%s is read as %v (%v)", name, m, err)
		}
		if err := prototext.Unmarshal([]byte(strings.Join(was.Text, "\n")), m); err != nil ||
			!protobuf.Equal(m, all[name]) {
			t.Errorf("the text of %s is read as %v (%v)", name, m, err)
		}
	}
}

// The names of what messages choose from: they are in texts and answers.
func TestChoices(t *testing.T) {
	got := map[string]any{}
	for name, e := range map[string]protoreflect.Enum{
		"verb":    pb.Verb(0),
		"outcome": pb.AuditOutcome(0),
		"booking": pb.BookingState(0),
	} {
		var list []string
		for v := range e.Descriptor().Values().Len() {
			x := e.Descriptor().Values().Get(v)
			list = append(list, fmt.Sprint(x.Number(), " ", x.Name()))
		}
		got[name] = list
	}
	same(t, "choices", got)
}
