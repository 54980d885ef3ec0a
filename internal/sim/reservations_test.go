package sim

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	protobuf "google.golang.org/protobuf/proto"

	"dewlift/core/reservations"
	pb "dewlift/proto"
	"dewlift/wire"
)

// Users reserve the same few hours while controllers crash during a write, writes are executed late, the store is
// unavailable, the inventory changes and a new version replaces the previous one.
func TestInvariantsHoldForReservations(t *testing.T) {
	seeds := []uint64{212, 88, 15, 12} // regressions: a block was read before reservations moved to it
	for seed := uint64(1); seed <= 16; seed++ {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			options := Options{
				Seed:             seed,
				Duration:         180 * time.Second,
				Jobs:             8,
				MaxTasksPerJob:   4,
				ReservationUsers: 60,
				Controllers:      []int{3, 5}[seed%2],
				NoFaults:         seed%10 == 0,
				RollingUpgrade:   seed%5 == 1,
			}
			sim := runSimulation(t, options)
			checker := sim.reservations
			if checker.stateCounts["confirmed"] < 5 || checker.stateCounts["ended"] < 5 ||
				seed%5 != 1 && (checker.stateCounts["waiting"] == 0 || checker.stateCounts["held"] == 0) {
				t.Errorf("reservations reached %v", checker.stateCounts)
			}
			if got := checker.CheckLinearizable(); got == porcupine.Illegal || len(checker.history) < 20 {
				t.Errorf("%d operations, linearizable: %v", len(checker.history), got)
			}
			if seed%5 != 1 && (checker.pageMerges == 0 || checker.archived < 10) {
				t.Errorf(
					"%d pages, %d merges, %d reservations in blocks",
					checker.pages,
					checker.pageMerges,
					checker.archived,
				)
			}
			t.Logf(
				"reservations reached %v, %d operations, %d pages, %d merges, %d in blocks",
				checker.stateCounts,
				len(checker.history),
				checker.pages,
				checker.pageMerges,
				checker.archived,
			)
		})
	}
}

// With permissions and the audit log enabled, every change of a reservation must be stored with its audit entry.
func TestReservationsAreAudited(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			sim := runSimulation(
				t,
				Options{
					Seed:             seed,
					Duration:         180 * time.Second,
					Jobs:             8,
					MaxTasksPerJob:   4,
					ReservationUsers: 40,
					Permissions:      true,
					AuditLog:         true,
				},
			)
			for _, verb := range []string{"book", "move booking", "end booking", "change equipment"} {
				if sim.auditChecker.verbCounts[verb] == 0 {
					t.Errorf("no %s in the audit log: %v", verb, sim.auditChecker.verbCounts)
				}
			}
			if sim.reservations.deniedEdits < 5 {
				t.Errorf("%d changes without permission got a final response", sim.reservations.deniedEdits)
			}
		})
	}
}

// The checker must report a stored inventory of a caller without permission.
func TestReservationCheckerDetectsDeniedInventory(t *testing.T) {
	sim := New(Options{Seed: 1})
	equipment := parseEquipment(` pieces { name: "` + deniedItemName + `" kind: "kiln" slot_minutes: 60 }`).Source()
	raw, err := reservations.EncodeInventory(equipment)
	if err != nil {
		t.Fatal(err)
	}
	key := reservations.KeyInventory
	sim.reservations.checkStored(map[string]*wire.KeyValue{key: {Key: key, Value: raw, Revision: 1}})
	if !sim.Checker.firstViolationIs("let_in") {
		t.Errorf("violations are %v", sim.Checker.Violations)
	}
}

// For each rule about reservations, the checker must report a step that violates it.
func TestReservationCheckerDetectsViolations(t *testing.T) {
	slot := func(piece string, from int64) *pb.Slot {
		return &pb.Slot{Piece: piece, Unit: 1, From: from, To: from + 3600, Clear: from + 3600 + 1800}
	}
	later := startUnixMS/1000 + 86400
	one := func(id string, change uint64, state pb.BookingState, slots ...*pb.Slot) *pb.Booking {
		return &pb.Booking{Id: id, Change: change, Made: change, State: state, Slots: slots}
	}
	wait := &pb.Booking{
		Id:     "w",
		Change: 1,
		Made:   1,
		State:  pb.BookingState_waiting,
		Wants:  []*pb.Want{{Piece: "k1", From: later, Slots: 1}},
	}
	type state = map[string]*pb.Booking
	a := one("a", 2, pb.BookingState_confirmed, slot("k1", later))
	for rule, test := range map[string]struct{ was, now state }{
		"double_booked": {
			state{},
			state{"a": a, "b": one("b", 3, pb.BookingState_held, slot("k1", later+3600))},
		}, // the kiln is still cooling
		"booking_lost": {state{"a": a}, state{}},
		"booking_back": {
			state{"a": one("a", 2, pb.BookingState_ended)},
			state{"a": one("a", 3, pb.BookingState_held, slot("k1", later))},
		},
		"booking_back: a wa": {state{"a": a}, state{"a": one("a", 3, pb.BookingState_ended)}},
		"half_booked": {
			state{},
			state{"a": one("a", 3, pb.BookingState_confirmed, slot("k1", later), slot("r", later))},
		},
		"overtaken":   {state{"w": wait}, state{"w": wait, "a": a}},
		"overtaken: ": {state{"w": wait, "a": a}, state{"w": wait, "a": one("a", 3, pb.BookingState_ended)}},
	} {
		sim := New(Options{Seed: 1})
		checker := sim.reservations
		for _, id := range []string{"a", "b"} {
			for at := later; at <= later+3600; at += 3600 {
				checker.requested[id] = append(checker.requested[id], []string{fmt.Sprintf("kiln %d %d", at, at+3600)})
			}
		}
		if strings.HasPrefix(rule, "overtaken") {
			checker.endRequested["a"] = true
		}
		clone := func(s state) state {
			out := state{}
			for id, b := range s {
				out[id] = protobuf.CloneOf(b)
			}
			return out
		}
		checker.checkTransition(clone(test.was), clone(test.now))
		name, _, _ := strings.Cut(rule, ":")
		if !sim.Checker.firstViolationIs(name) {
			t.Errorf("%s: violations are %v", rule, sim.Checker.Violations)
		}
	}
}
