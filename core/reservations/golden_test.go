package reservations

import (
	"dewlift/audit"
	"reflect"
	"strings"
	"testing"

	protobuf "google.golang.org/protobuf/proto"

	pb "dewlift/proto"
)

// What bookings are stored as, and their keys: the same bytes are written, and those of before are read.
func TestStoredBytesStay(t *testing.T) {
	carried := []audit.PendingEntry{
		{Node: "node-a", Incarnation: 3, Sequence: 4, Entry: []byte("entry"), MAC: []byte("tag")},
	}
	b := &pb.Booking{
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
	for _, x := range []struct {
		name, want string
		page       *pb.Page
		carried    []audit.PendingEntry
	}{
		{"head", headBytes, &pb.Page{Change: 7, Bookings: []*pb.Booking{b}}, carried},
		{"page", pageBytes, &pb.Page{Bookings: []*pb.Booking{b}}, nil},
		{"block", blockBytes, &pb.Page{Bookings: []*pb.Booking{b}, Low: "b-", High: "c"}, nil},
	} {
		raw, err := packMessage(x.page, x.carried)
		if err != nil || string(raw) != x.want {
			t.Errorf("a %s is written as %s, was %s (%v)", x.name, raw, x.want, err)
		}
		p, list, err := Decode([]byte(x.want))
		if err != nil || !protobuf.Equal(p, x.page) || !reflect.DeepEqual(list, x.carried) {
			t.Errorf("a %s is read as %v with %v (%v)", x.name, p, list, err)
		}
	}
	list := &pb.Equipment{
		TimeZone: "UTC",
		Pieces:   []*pb.Piece{{Name: "kiln", Kind: "kilns", Zone: "a", Units: 2, SlotMinutes: 60}},
	}
	raw, err := EncodeInventory(list)
	if err != nil || string(raw) != listBytes {
		t.Errorf("a list is written as %s, was %s (%v)", raw, listBytes, err)
	}
	d := New()
	if _, err := d.ApplyPut("dl/booking/list", []byte(listBytes), 3); err != nil ||
		!protobuf.Equal(d.Inventory().Source(), list) ||
		d.InventoryRevision() != 3 {
		t.Errorf("a list is not read (%v)", err)
	}
	if keys := strings.Join([]string{
		Prefix,
		KeyHead,
		KeyInventory,
		pagePrefix,
		keyArchive,
		ArchivePrefix,
		maxID,
	}, " "); keys !=
		"dl/booking/ dl/booking/head dl/booking/list dl/booking/page/ dl/booking/past da/k/ ~" {
		t.Errorf("keys are %s", keys)
	}
}

// As they were written before.
const (
	headBytes  = `{"p":"4mAXyuZiTtI1FGCXYFNg0mIpSU3MNWJJzMtLtJLiYsnOzMkTYJRoeHR+FZvChH/nV7FpLJh1YRWbA1jEwyaAKYq5PKMyMZkBArIkIHqEWEFksRRjogJYpQZTwRMQDQgAAP//","e":[{"a":"node-a","l":3,"q":4,"e":"ZW50cnk=","t":"dGFn"}]}`
	pageBytes  = `{"p":"EsrmYk7SNRRgl2BTYNJiKUlNzDViSczLS7SS4mLJzszJE2CUaHh0fhWbwoR/51exaSyYdWEVmwNYxMMmgCmKuTyjMjGZAQKyJCB6hFhBZLEUY6ICWKUGU8ETEA0IAAD//w=="}`
	blockBytes = `{"p":"EsrmYk7SNRRgl2BTYNJiKUlNzDViSczLS7SS4mLJzszJE2CUaHh0fhWbwoR/51exaSyYdWEVmwNYxMMmgCmKuTyjMjGZAQKyJCB6hFhBZLEUY6ICWKUGU8ETEC3FlKSrxJgMCAAA//8="}`
	listBytes  = `{"p":"4mIODXEWEuFiyc7MyRNiBZHFUoyJCkwaNoAAAAD//w=="}`
)
