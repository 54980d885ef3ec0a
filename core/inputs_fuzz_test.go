package core

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"dewlift/booking"
	"dewlift/wire"
)

// maxInputTime is the time within which a good request must be answered beside any other input.
const maxInputTime = time.Second

// inputKind is a kind of input that comes from outside the process.
type inputKind uint8

const (
	inputPeerMessage inputKind = iota
	inputHeartbeat
	inputSubmission
	inputWatchEvents
	inputSnapshot
	inputCatalog
	inputMachineList
	inputStartedMachines
	inputReservation
	inputReservationQuery
	inputEquipment
	inputPriorityClasses
	inputPermissions
	inputQueuePage
	inputTxnResult
	inputRange
	inputKinds // the number of kinds
)

// externalInput is a decoded input, or what a request of the core is answered with.
type externalInput struct {
	input   Input // nil: it is an answer
	catalog *wire.Catalog
	list    []wire.Machine
	started []string
	txn     *TxnResult
	items   []wire.KeyValue
}

// decodeInput decodes an input as the package at the edge does that receives it. It reports false if that package
// would reject it.
func decodeInput(kind inputKind, raw []byte) (in externalInput, ok bool) {
	decode := func(v any) bool { return json.Unmarshal(raw, v) == nil }
	switch kind {
	case inputPeerMessage:
		var message Message
		ok = decode(&message)
		in.input = PeerMessage{Peer: "n1", Message: message}
	case inputHeartbeat:
		heartbeat, err := wire.ParseHeartbeat(raw)
		in.input, ok = AgentHeartbeat{RequestID: 1, Heartbeat: heartbeat}, err == nil
	case inputSubmission:
		spec, err := wire.ParseSubmission(raw)
		in.input, ok = SubmitJob{RequestID: 1, ID: spec.ID, Spec: spec, UnixMS: 1_700_000_000_000}, err == nil
	case inputWatchEvents:
		var changes wire.WatchResponse
		ok = decode(&changes)
		in.input = WatchResult{LongPoll: true, Status: wire.StatusOK, Changes: changes}
	case inputSnapshot:
		var page wire.RangeResponse
		ok = decode(&page)
		in.input = SnapshotPage{OK: true, Status: wire.StatusOK, Items: page.Items, Revision: page.Revision}
	case inputReservation:
		in.input, ok = decodeReservation(raw)
	case inputReservationQuery:
		var query wire.ReservationQuery
		ok = decode(&query)
		in.input = ListReservations{RequestID: 1, Query: query}
	case inputEquipment:
		in.input, ok = SetEquipment{RequestID: 1, Edit: wire.EquipmentEdit{Text: string(raw)}}, true
	case inputPriorityClasses:
		in.input, ok = SetPriorityClasses{RequestID: 1, Text: string(raw)}, true
	case inputPermissions:
		var edit wire.PermissionsEdit
		ok = decode(&edit)
		in.input = UpdatePermissions{RequestID: 1, Identity: "anna", Edit: edit}
	case inputQueuePage:
		page := ListQueue{RequestID: 1}
		ok = decode(&page)
		in.input = page
	default:
		return decodeAnswer(kind, decode)
	}
	return in, ok
}

func decodeReservation(raw []byte) (Input, bool) {
	var request struct {
		Verb booking.Verb
		wire.ReservationRequest
	}
	if json.Unmarshal(raw, &request) != nil || request.Verb < booking.VerbCreate || request.Verb > booking.VerbEnd {
		return nil, false
	}
	return ReserveEquipment{RequestID: 1, Verb: request.Verb, Request: request.ReservationRequest}, true
}

// decodeAnswer decodes an answer of the store or the cloud.
func decodeAnswer(kind inputKind, decode func(any) bool) (in externalInput, ok bool) {
	switch kind {
	case inputCatalog:
		in.catalog = &wire.Catalog{}
		ok = decode(in.catalog)
	case inputMachineList:
		ok = decode(&in.list)
	case inputStartedMachines:
		ok = decode(&in.started)
	case inputTxnResult:
		in.txn = &TxnResult{}
		ok = decode(in.txn)
	case inputRange:
		ok = decode(&in.items)
	}
	return in, ok
}

// newCoreForInputs returns a leading core with equipment and jobs, or one that has just started if the input is what it
// loads.
func newCoreForInputs(t *testing.T, kind inputKind) *Core {
	t.Helper()
	if kind == inputSnapshot {
		c := New(testConfig(), 0, 1)
		c.Advance(time.Second)
		return c
	}
	c := newLeadingCore(t)
	putEquipment(t, c, time.Second, 8)
	c.Handle(time.Second, WallClock{UnixMS: 1_800_000_000_000})
	for _, id := range []string{"wk-1", "wk-2"} {
		submission := testSubmission(id)
		submission.Spec.Tasks = 3
		c.Handle(time.Second, submission)
	}
	runFor(c, 1100*time.Millisecond, 1300*time.Millisecond)
	return c
}

// playInput handles an input and answers the core's requests for some seconds. It fails if that takes too long.
func playInput(t *testing.T, c *Core, in externalInput) {
	t.Helper()
	started := time.Now()
	now := 1300 * time.Millisecond
	if in.input != nil {
		c.Handle(now, in.input)
	}
	revision := uint64(1000)
	for ; now < 3*time.Second; now += 100 * time.Millisecond {
		for _, output := range c.Advance(now) {
			revision++
			if answer := answerOutput(c, output, &in, revision); answer != nil {
				c.Handle(now, answer)
			}
		}
		c.Healthy()
	}
	if took := time.Since(started); took > maxInputTime {
		t.Errorf("the input took %v", took)
	}
}

// answerOutput returns the answer to an output: that of the input if it is one of this kind, and a good one otherwise.
func answerOutput(c *Core, output Output, in *externalInput, revision uint64) Input {
	switch output := output.(type) {
	case Response:
		if _, err := json.Marshal(output.Body); err != nil {
			return nil
		}
	case CommitTxn:
		if in.txn != nil {
			return TxnResult{ID: output.ID, Status: in.txn.Status, Reply: in.txn.Reply}
		}
		return TxnResult{ID: output.ID, Status: wire.StatusOK, Reply: wire.TxnResponse{Revision: revision}}
	case Watch:
		if !output.LongPoll {
			return WatchResult{Status: wire.StatusOK, Changes: wire.WatchResponse{Revision: revision}}
		}
	case ReadRange:
		return RangeResult{ID: output.ID, Status: wire.StatusOK, Items: in.items, Revision: revision}
	case LeaseRequest:
		return LeaseResult{Op: output.Op, Status: wire.StatusOK, LeaseID: max(1, c.ownLease.id)}
	case SendCommands:
		return CommandsResult{ID: output.ID, Status: wire.StatusOK, MaybeDelivered: true}
	case CloudRequest:
		return CloudResult{
			ID: output.ID, Status: wire.StatusOK, Catalog: in.catalog, Machines: in.list, MachineNames: in.started,
		}
	}
	return nil
}

// inputSeed is an input from which others are made.
type inputSeed struct {
	kind inputKind
	raw  string
}

// inputSeeds are inputs at the ends of what their fields can hold.
var inputSeeds = []inputSeed{
	{
		inputReservation,
		`{"id":"a","slots":[{"piece":"k","from":"0000-01-01T00:00","slots":4}],"repeat":"FREQ=WEEKLY;COUNT=8"}`,
	},
	{
		inputReservation,
		`{"id":"a","slots":[{"piece":"k","from":"2027-03-04T08:00"}],"repeat":"FREQ=MONTHLY;BYDAY=53MO;COUNT=1"}`,
	},
	{
		inputReservation,
		`{"id":"a","slots":[{"piece":"k","from":"2027-03-04T08:00"}],"repeat":"FREQ=YEARLY;BYEASTER=366;COUNT=1"}`,
	},
	{
		inputReservation,
		`{"id":"a","slots":[{"piece":"k","from":"2027-03-04T08:00"}],"repeat":"FREQ=DAILY;BYSETPOS=2;COUNT=1"}`,
	},
	{
		inputReservation,
		`{"id":"a","slots":[{"piece":"k","from":"2099-12-31T23:59","slots":4294967295}],"hold_s":4294967295}`,
	},
	{inputReservation, `{"Verb":2,"id":"a","slots":[{"kind":"kiln","from":"9999-12-31T23:59:59Z"}]}`},
	{inputReservation, `{"id":"a","slots":[` + strings.Repeat(`{"piece":"k","from":"2027-03-04T08:00"},`, 1000) +
		`{}],"repeat":"FREQ=DAILY;COUNT=60"}`},
	{inputReservationQuery, `{"Day":"0000-01-01","Equipment":"k"}`},
	{inputReservationQuery, `{"Day":"9999-12-31","Equipment":"k"}`},
	{inputReservationQuery, `{"FreeSlots":true,"Kind":"kiln","From":"9999-12-31T00:00","Limit":-1,"Slots":4294967295}`},
	{inputReservationQuery, `{"FreeSlots":true,"Kind":"kiln","From":"0000-01-01T00:00","Before":"0000-01-01T00:00"}`},
	{inputEquipment, `pieces { name: "k" kind: "kiln" slot_minutes: 60 closed: "FREQ=YEARLY;BYEASTER=366" }`},
	{inputEquipment, `pieces { name: "k" kind: "kiln" slot_minutes: 60 closed: "FREQ=MONTHLY;BYDAY=53MO" }`},
	{
		inputEquipment,
		`pieces { name: "k" kind: "kiln" slot_minutes: 4294967295 cool_minutes: 4294967295 units: 4294967295 }`,
	},
	{inputPriorityClasses, `lanes { name: "a" due_within_s: 4294967295 rise_after_s: 4294967295 } lanes { name: "b" }`},
	{inputQueuePage, `{"AfterPosition":-9223372036854775808,"Limit":-9223372036854775808}`},
	{inputQueuePage, `{"AfterPosition":9223372036854775807,"Limit":9223372036854775807}`},
	{inputSubmission, `{"uid":"wk-9","ware":"c","crew":"t","form":"batch","heat":"high","pieces":100000,"cpus":0,
		"cards":0,"ram_gb":0,"mould":"","image_gb":0,"one_zone":true,"spread":true,"borrowed":true,"firing_s":1e9,
		"glaze_s":1e9,		"cool_s":1e9,"due_s":0,"awaits":["wk-9","wk-9","wk-1"]}`},
	{inputHeartbeat, `{"hearth":"m-1","address":"x","kiln":"x","yard":"a","shift":18446744073709551615,
		"tally":18446744073709551615,"baton":18446744073709551615,"recall_s":-1e308,
		"pieces":[{"piece":"wk-1/99999","try":18446744073709551615,"stage":"exited","cause":"done"}]}`},
	{
		inputPeerMessage,
		`{"r":[{"hearth":"m-9","shift":0,"pieces":[{"piece":"wk-1/0","try":1,"stage":"running"}]},null]}`,
	},
	{inputPeerMessage, `{"r":[{"hearth":"","shift":1,"recall_s":1e308,"pieces":[{"piece":"/","stage":""}]}],"q":[""]}`},
	{
		inputPeerMessage,
		`{"h":{"ok":true,"u":-1e308,"n":["n0",""],"w":[{"p":-1,"a":-9223372036854775808},{"p":99999}]}}`,
	},
	{inputPeerMessage, `{"d":{"q":0,"l":[{"m":"m-1","c":[9223372036854775807,-9223372036854775808,0]}]}}`},
	{inputPeerMessage, `{"p":{"rev":1,"rows":[{"m":"","a":[-1,-1,-1]}],"stop":[{"m":"m-1","j":"","i":-1}],
		"gone":[""],"hold":{"p":-1,"c":[-1,0,0]}}}`},
	{
		inputPeerMessage,
		`{"v":{},"vd":{},"c":[{"k":""},{"k":"dl/job/wk-1","data":null}],"y":[""],"l":["m-1"],"w":["m-1"]}`,
	},
	{inputPeerMessage, `{"o":{},"od":{"ID":1,"Report":{"hearth":"m-1"}},"to":"n0","fr":"n2","s":["m-1"],"a":true}`},
	{inputWatchEvents, `{"ledger":9,"log":[{"put":"dl/job/wk-1","mark":9,"data":{"h":-1,"st":"x","s":{"n":-1,"pr":99},
		"d":[9,1,-5],"t":18446744073709551615}}]}`},
	{inputWatchEvents, `{"ledger":9,"log":[{"put":"dl/job/wk-9","mark":9,"data":{"h":99999,
		"s":{"tm":"t","n":1000000,"pr":-1,"rc":[-1,-1,-1]},"d":[-9223372036854775808,9223372036854775807]}}]}`},
	{inputWatchEvents, `{"ledger":9,"log":[{"put":"dl/shard/-1","mark":9,"data":{}},{"put":"dl/shard/99","mark":9},
		{"put":"dl/epoch","mark":9,"data":-1},{"delete":"dl/shard/x","mark":9},{"mark":9},{"put":"dl/","mark":9}]}`},
	{inputWatchEvents, `{"ledger":0,"log":[{"put":"dl/booking/head","mark":9,"data":{"p":""}},
		{"put":"dl/booking/list","mark":9,"data":null},{"put":"dl/booking/page/x","mark":9,"data":{"p":"AAAA"}},
		{"delete":"dl/booking/head","mark":9},{"delete":"dl/booking/list","mark":9}]}`},
	{inputSnapshot, `{"ledger":1,"rows":[{"k":"dl/job/","mark":1,"data":{}},{"k":"dl/over/x","mark":1,"data":{}},
		{"k":"dl/types","mark":1,"data":{"kilns":[{"sku":"x","cpus":1e300}]}},{"k":"dl/lanes","mark":1,"data":{}}]}`},
	{inputCatalog, `{"kilns":[{"sku":"x","cpus":1e-300,"cards":1e308,"ram_gb":1e308,"price":1e308,"startup_s":1e308,
		"yards":["a","a",""]},{"sku":"y","cpus":1000000,"cards":0,"ram_gb":1,"price":0,"startup_s":-1e308}]}`},
	{inputMachineList, `[{"uid":"","stage":"failed","age_s":-1e308},{"uid":"m-1","stage":"?","age_s":1e308}]`},
	{inputStartedMachines, `["","m-1","m-1"]`},
	{inputTxnResult, `{"Status":200,"Reply":{"ledger":0}}`},
	{inputTxnResult, `{"Status":409,"Reply":{"ledger":18446744073709551615,"failed":["","dl/booking/head"]}}`},
	{inputTxnResult, `{"Status":-1,"Reply":{}}`},
	{inputRange, `[{"k":"","data":null},{"k":"dl/job/wk-1","data":{"h":-1}}]`},
	{inputPermissions, `{"grant_roles":[""],"add_keys":[{"id":"","ed25519":"AAAA"}],"delete":true}`},
}

// FuzzInputs checks that no input from outside makes the core panic, or keeps it from its other work. One reservation
// with a date of the year 0 ended every controller that it was sent to.
func FuzzInputs(f *testing.F) {
	for _, seed := range inputSeeds {
		f.Add(uint8(seed.kind), []byte(seed.raw))
	}
	f.Fuzz(func(t *testing.T, kind uint8, raw []byte) {
		if len(raw) > wire.MaxBodyBytes {
			return
		}
		known := inputKind(kind) % inputKinds
		if in, ok := decodeInput(known, raw); ok {
			playInput(t, newCoreForInputs(t, known), in)
		}
	})
}

// The seeds of FuzzInputs must reach the core, or they would guard nothing.
func TestInputSeedsAreDecoded(t *testing.T) {
	for i, seed := range inputSeeds {
		if _, ok := decodeInput(seed.kind, []byte(seed.raw)); !ok {
			t.Error(fmt.Sprint(i), seed.raw)
		}
	}
}
