package reservations

import (
	"reflect"
	"strings"
	"testing"

	protobuf "google.golang.org/protobuf/proto"

	"dewlift/audit"
	pb "dewlift/proto"
)

// The stored form of reservations and all keys must not change, so that controllers of other versions can read
// them.
func TestStoredFormatIsStable(t *testing.T) {
	carried := []audit.PendingEntry{
		{Node: "node-a", Incarnation: 3, Sequence: 4, Entry: []byte("entry"), MAC: []byte("tag")},
	}
	reservation := &pb.Booking{
		Id:        "b-1",
		Change:    7,
		Made:      6,
		State:     pb.BookingState_held,
		Team:      "team",
		Who:       "anna",
		HeldUntil: 1_700_000_000,
		HoldS:     60,
		Rank:      2,
		Why:       "why",
		Asked:     99,
		EndedAt:   1_700_000_100,
		Slots:     []*pb.Slot{{Piece: "kiln", Unit: 1, From: 1_700_000_000, To: 1_700_003_600, Clear: 1_700_007_200}},
		Wants:     []*pb.Want{{Piece: "kiln", Kind: "kilns", Zone: "a", From: 1_700_000_000, Slots: 2}},
	}
	for _, tt := range []struct {
		name, want string
		page       *pb.Page
		carried    []audit.PendingEntry
	}{
		{"head", headBytes, &pb.Page{Change: 7, Bookings: []*pb.Booking{reservation}}, carried},
		{"page", pageBytes, &pb.Page{Bookings: []*pb.Booking{reservation}}, nil},
		{"block", blockBytes, &pb.Page{Bookings: []*pb.Booking{reservation}, Low: "b-", High: "c"}, nil},
	} {
		raw, err := packMessage(tt.page, tt.carried)
		if err != nil || string(raw) != tt.want {
			t.Errorf("%s is encoded as %s, want %s (%v)", tt.name, raw, tt.want, err)
		}
		decoded, pending, err := Decode([]byte(tt.want))
		if err != nil || !protobuf.Equal(decoded, tt.page) || !reflect.DeepEqual(pending, tt.carried) {
			t.Errorf("%s is decoded as %v with %v (%v)", tt.name, decoded, pending, err)
		}
	}
	equipment := &pb.Equipment{
		TimeZone: "UTC",
		Pieces:   []*pb.Piece{{Name: "kiln", Kind: "kilns", Zone: "a", Units: 2, SlotMinutes: 60}},
	}
	raw, err := EncodeInventory(equipment)
	if err != nil || string(raw) != listBytes {
		t.Errorf("equipment is encoded as %s, want %s (%v)", raw, listBytes, err)
	}
	service := New()
	if _, err := service.ApplyPut("dl/booking/list", []byte(listBytes), 3); err != nil ||
		!protobuf.Equal(service.Inventory().Source(), equipment) ||
		service.InventoryRevision() != 3 {
		t.Errorf("stored equipment is not decoded (%v)", err)
	}
	keys := strings.Join([]string{Prefix, KeyHead, KeyInventory, pagePrefix, keyArchive, ArchivePrefix, maxID}, " ")
	if keys != "dl/booking/ dl/booking/head dl/booking/list dl/booking/page/ dl/booking/past da/k/ ~" {
		t.Errorf("keys are %s", keys)
	}
}

// Values in the form in which earlier versions stored them.
const (
	headBytes = `{"p":"4mAXyuZiTtI1FGCXYFNg0mIpSU3MNWJJzMtLtJLiYsnOzMkTYJRoeHR+FZvChH/nV7FpLJh1YRWbA1jEwyaAKYq5PK` +
		`MyMZkBArIkIHqEWEFksRRjogJYpQZTwRMQDQgAAP//","e":[{"a":"node-a","l":3,"q":4,"e":"ZW50cnk=","t":"d` +
		`GFn"}]}`
	pageBytes = `{"p":"EsrmYk7SNRRgl2BTYNJiKUlNzDViSczLS7SS4mLJzszJE2CUaHh0fhWbwoR/51exaSyYdWEVmwNYxMMmgCmKuTyjMj` +
		`GZAQKyJCB6hFhBZLEUY6ICWKUGU8ETEA0IAAD//w=="}`
	blockBytes = `{"p":"EsrmYk7SNRRgl2BTYNJiKUlNzDViSczLS7SS4mLJzszJE2CUaHh0fhWbwoR/51exaSyYdWEVmwNYxMMmgCmKuTyjMj` +
		`GZAQKyJCB6hFhBZLEUY6ICWKUGU8ETEC3FlKSrxJgMCAAA//8="}`
	listBytes = `{"p":"4mIODXEWEuFiyc7MyRNiBZHFUoyJCkwaNoAAAAD//w=="}`
)
