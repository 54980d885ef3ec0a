package booking

import (
	"strings"
	"testing"
	"unicode/utf8"

	protobuf "google.golang.org/protobuf/proto"

	pb "dewlift/proto"
)

// The test below guards against a reservation that can't be ended with a long reason of multi-byte characters: the
// reason was truncated to 200 bytes within a character, and protobuf does not encode invalid UTF-8. The request was
// answered "too much to be stored in one value".

// reasonsAroundLimit returns reasons of characters of 1 to 4 bytes that are one byte shorter than the limit, at the
// limit and one byte longer, and others with invalid UTF-8.
func reasonsAroundLimit() (out []string) {
	for _, character := range []string{"a", "é", "窯", "🏺"} {
		for length := maxReasonBytes - 1; length <= maxReasonBytes+1; length++ {
			for shift := range len(character) {
				text := strings.Repeat("x", shift) + strings.Repeat(character, length/len(character))
				out = append(out, text+strings.Repeat("y", max(0, length-len(text))))
			}
		}
	}
	return append(out, "", "\x00", "a\x00b", strings.Repeat("窯", 5000), "\xff", "a\xc3", strings.Repeat("\xff", 500))
}

// Whatever the reason, the reservation must end and be storable, with as much of the reason as fits the limit.
func TestAnyReasonCanBeStored(t *testing.T) {
	for _, reason := range reasonsAroundLimit() {
		inventory, schedule := mustParse(t, testEquipment), NewSchedule()
		draft := schedule.NewDraft()
		now := mustParseTime(t, inventory, "2027-03-01T00:00")
		wants := []*pb.Want{{Piece: "k1", From: mustParseTime(t, inventory, "2027-03-04T08:00"), Slots: 1}}
		inventory.Decide(draft, now, &Request{ID: "a", Wants: wants})
		result := inventory.Decide(draft, now, &Request{Verb: VerbEnd, ID: "a", Reason: reason})
		if result.Outcome != OutcomeDone {
			t.Fatalf("%q: %v %s", reason, result.Outcome, result.Reason)
		}
		why := result.Booking.Why
		if _, err := protobuf.Marshal(result.Booking); err != nil || len(why) > maxReasonBytes || why == "" {
			t.Errorf("%q is kept as %q: %v", reason, why, err)
		}
		if utf8.ValidString(reason) && reason != "" && !strings.HasPrefix(reason, why) {
			t.Errorf("%q is kept as %q", reason, why)
		}
		if utf8.ValidString(reason) && len(reason)-len(why) > 3 && len(why) < maxReasonBytes-3 {
			t.Errorf("%q is cut to %d bytes", reason, len(why))
		}
	}
}
