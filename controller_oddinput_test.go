package dewlift

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"dewlift/core/reservations"
	"dewlift/internal/fakes"
	pb "dewlift/proto"
	"dewlift/wire"
)

// maxGoodRequestTime is the time within which a good request must be answered beside any other input.
const maxGoodRequestTime = time.Second

// checkStillServes fails if a good request is not answered in time.
func checkStillServes(t *testing.T, server, after string) {
	t.Helper()
	started := time.Now()
	status, _ := getJob(server, "wk-000001")
	if took := time.Since(started); status != http.StatusOK || took > maxGoodRequestTime {
		t.Fatalf("after %s: status %d after %v", after, status, took)
	}
}

// oddRequest is a request that must be refused with a 4xx status and a text that names a field.
type oddRequest struct {
	name, path, body string
	field            string // "" if the error need not name one
}

// reservationBody returns the body of a reservation, with the slots and the other fields in JSON.
func reservationBody(id, slots, more string) string {
	return fmt.Sprintf(`{"id":%q,"slots":[%s]%s}`, id, slots, more)
}

// oddRequests have values at the ends of what their fields can hold, and beyond.
func oddRequests() []oddRequest {
	const slot = `{"piece":"k","from":"2099-03-04T08:00"}`
	var odd []oddRequest
	for i, from := range []string{
		"0000-01-01T00:00", "0001-01-01T00:00", "1969-12-31T23:59", "2100-01-01T00:00",
		"9999-12-31T23:59", "0000-01-01T00:00:00+23:59", "", strings.Repeat("1", 9000),
	} {
		body := reservationBody(fmt.Sprint("date-", i), fmt.Sprintf(`{"piece":"k","from":%q,"slots":4}`, from), "")
		series := strings.TrimSuffix(body, "}") + `,"repeat":"FREQ=WEEKLY;COUNT=8"}`
		odd = append(odd, oddRequest{"date", wire.PathReservations, body, "slots[0].from"},
			oddRequest{"date of a series", wire.PathReservations, series, "slots[0].from"})
	}
	for i, rule := range []string{
		"FREQ=MONTHLY;BYDAY=53MO;COUNT=1", "FREQ=YEARLY;BYEASTER=366;COUNT=1",
		"FREQ=DAILY;BYSETPOS=2;COUNT=1", "FREQ=DAILY;INTERVAL=9223372036854775807;COUNT=2", "FREQ=SECONDLY;COUNT=1",
		"FREQ=DAILY;COUNT=-1", strings.Repeat("x", 9000),
	} {
		body := reservationBody(fmt.Sprint("rule-", i), slot, fmt.Sprintf(`,"repeat":%q`, rule))
		odd = append(odd, oddRequest{fmt.Sprintf("rule %.20s", rule), wire.PathReservations, body, "repeat"})
		const item = `pieces { name: "k" kind: "kiln" slot_minutes: 60
			closed: %[1]q hours { rule: %[1]q from: "8:00" } }`
		raw, _ := json.Marshal(wire.EquipmentEdit{Text: fmt.Sprintf(item, rule)}) // strings always marshal
		name := fmt.Sprintf("list with %.20s", rule)
		odd = append(odd, oddRequest{name, wire.PathEquipment, string(raw), "pieces[0]"})
	}
	manySlots := strings.TrimSuffix(strings.Repeat(slot+",", 1500), ",")
	return append(odd,
		oddRequest{"many slots", wire.PathReservations, reservationBody("many", manySlots, ""), "slots"},
		oddRequest{
			"many series", wire.PathReservations,
			reservationBody("series", strings.TrimSuffix(strings.Repeat(slot+",", 60), ","),
				`,"repeat":"FREQ=DAILY;COUNT=60"`), "slots",
		},
		oddRequest{
			"count of slots", wire.PathReservations,
			reservationBody("count", `{"piece":"k","from":"2099-03-04T08:00","slots":4294967295}`, ""), "slots",
		},
		oddRequest{"negative", wire.PathReservations, reservationBody("negative", slot, `,"hold_s":-1`), "hold_s"},
		oddRequest{"no number", wire.PathReservations, reservationBody("nan", slot, `,"hold_s":NaN`), ""},
		oddRequest{"nesting", wire.PathReservations, strings.Repeat("[", 60_000), ""},
		oddRequest{"empty list", wire.PathEquipment, `{"equipment":"time_zone: \"nowhere\""}`, "time_zone"},
		oddRequest{"classes", wire.PathPriorityClasses, `{"lanes":"lanes { share_percent: 4294967295 }"}`, "lanes[0]"},
		oddRequest{"job", wire.PathJobs, `{"uid":"wk-9","cpus":1e308}`, "ware"},
		oddRequest{"report", wire.PathHeartbeat, `{"hearth":"m","shift":1,"pieces":[{"piece":"/","stage":""}]}`, ""},
	)
}

// No request may end the process, or keep it from answering a good request in time. One reservation with a date of the
// year 0 ended every controller that it was sent to.
func TestOddRequestsAreRefusedWhileOthersAreServed(t *testing.T) {
	_, addr := startStore(t, fakes.Limits{ValueBytes: 8192, TxnOps: 12, PageItems: 50})
	server := startController(t, addr, nil, enableReservationsAndQueue(t))
	eventually(t, "open", func() bool {
		status, _, _ := requestJSON[any](t, "GET", server+wire.PathEquipment, "")
		queueStatus, _, _ := requestJSON[any](t, "GET", server+wire.PathPriorityClasses, "")
		return status == http.StatusOK && queueStatus == http.StatusOK
	})
	raw, err := json.Marshal(fakes.JobRequest("wk-000001", "x"))
	if err != nil {
		t.Fatal(err)
	}
	if status, body, _ := requestJSON[any](t, "POST", server+wire.PathJobs, string(raw)); status != http.StatusCreated {
		t.Fatal(status, body)
	}
	for _, odd := range oddRequests() {
		status, body, _ := requestJSON[any](t, "POST", server+odd.path, odd.body)
		if status < 400 || status > 499 || !strings.Contains(body, odd.field) || len(body) > 500 {
			t.Errorf("%s: %d %.600s, want a 4xx status that names %q", odd.name, status, body, odd.field)
		}
		checkStillServes(t, server, odd.name)
	}
	for _, query := range []string{"?piece=k&day=0000-01-01", "?piece=k&day=9999-12-31", "?list=free&kind=kiln&from=" +
		"0000-01-01T00:00", "?list=free&kind=kiln&from=9999-12-31T00:00", "?list=free&kind=kiln&by=0000-01-01T00:00"} {
		status, body, _ := requestJSON[any](t, "GET", server+wire.PathReservations+query, "")
		if status != http.StatusBadRequest {
			t.Errorf("%s: %d %s", query, status, body)
		}
		checkStillServes(t, server, query)
	}
	client := &reservationClient{server: server, day: "2099-03-04"}
	status, body, _ := client.create(t, "good", "08", `,"repeat":"FREQ=WEEKLY;COUNT=8"`)
	if status != http.StatusCreated {
		t.Errorf("a good series: %d %s", status, body)
	}
}

// A list that an earlier version stored may have a rule that is refused now. The controller must start with it, reserve
// the other items, and take a list that mends it.
func TestStartsWithAStoredRuleBeyondTheLimits(t *testing.T) {
	store, addr := startStore(t, fakes.Limits{ValueBytes: 8192, TxnOps: 12, PageItems: 50})
	raw, err := reservations.EncodeInventory(&pb.Equipment{Pieces: []*pb.Piece{
		{Name: "k", Kind: "kiln", SlotMinutes: 60},
		{Name: "bad", Kind: "kiln", SlotMinutes: 60, Closed: []string{"FREQ=YEARLY;BYEASTER=366"}},
	}})
	if err != nil {
		t.Fatal(err)
	}
	store.PutUnchecked([]wire.KeyValue{{Key: reservations.KeyInventory, Value: raw}})
	client := &reservationClient{server: startController(t, addr, nil), day: "2099-03-04"}
	eventually(t, "open", func() bool {
		status, _, _ := requestJSON[any](t, "GET", client.server+wire.PathEquipment, "")
		return status == http.StatusOK
	})
	const request = `{"id":"b","slots":[{"piece":"bad","from":"2099-03-04T08:00"}]}`
	if status, body, _ := client.do(t, "POST", "", request); status != int(wire.StatusInvalid) ||
		!strings.Contains(body, "BYEASTER=366") {
		t.Errorf("an item out of use: %d %s", status, body)
	}
	if status, body, _ := client.create(t, "a", "08", ""); status != http.StatusCreated {
		t.Errorf("another item: %d %s", status, body)
	}
	const list = `{"equipment":"pieces { name: \"k\" kind: \"kiln\" slot_minutes: 60 }` +
		` pieces { name: \"bad\" kind: \"kiln\" slot_minutes: 60 }"}`
	status, body, _ := requestJSON[any](t, "POST", client.server+wire.PathEquipment, list)
	if status != http.StatusOK {
		t.Errorf("a list that mends it: %d %s", status, body)
	}
	if status, body, _ := client.do(t, "POST", "", request); status != http.StatusCreated {
		t.Errorf("the item in use again: %d %s", status, body)
	}
}
