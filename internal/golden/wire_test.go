package golden

import (
	"encoding/json"
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"dewlift/access"
	"dewlift/audit"
	"dewlift/core"
	"dewlift/core/ledger"
	"dewlift/settings"
	"dewlift/wire"
)

// bodies are those of the platform's interfaces, and of ours.
func bodies() map[string]any {
	return map[string]any{
		"booking ask":      new(wire.BookingAsk),
		"booking want":     new(wire.BookingWant),
		"booking":          new(wire.Booking),
		"booked slot":      new(wire.BookedSlot),
		"free time":        new(wire.FreeTime),
		"booking answer":   new(wire.BookingAnswer),
		"equipment edit":   new(wire.EquipmentEdit),
		"queue":            new(wire.Queue),
		"queued job":       new(wire.QueuedJob),
		"submission":       new(wire.Submission),
		"spec":             new(wire.Spec),
		"job state":        new(wire.JobState),
		"reason":           new(wire.Reason),
		"error":            new(wire.Error),
		"piece":            new(wire.Piece),
		"report":           new(wire.Report),
		"order":            new(wire.Order),
		"beat reply":       new(wire.BeatReply),
		"orders":           new(wire.OrdersBody),
		"machine type":     new(wire.MachineType),
		"catalog":          new(wire.Catalog),
		"rent request":     new(wire.RentRequest),
		"names":            new(wire.Names),
		"machine":          new(wire.Machine),
		"machine list":     new(wire.MachineList),
		"item":             new(wire.Item),
		"rights edit":      new(wire.RightsEdit),
		"rights key":       new(wire.RightsKey),
		"changed rights":   new(wire.Changed),
		"rights":           new(wire.Rights),
		"audit head":       new(wire.AuditHead),
		"audit heads":      new(wire.AuditHeads),
		"audit block":      new(wire.AuditBlock),
		"audit page":       new(wire.AuditPage),
		"site":             new(wire.Site),
		"found":            new(wire.Found),
		"page":             new(wire.Page),
		"condition":        new(wire.Cond),
		"write":            new(wire.Write),
		"transaction":      new(wire.Txn),
		"its reply":        new(wire.TxnReply),
		"event":            new(wire.Event),
		"changes":          new(wire.Changes),
		"lease request":    new(wire.LeaseRequest),
		"lease reply":      new(wire.LeaseReply),
		"private key":      new(access.Private),
		"access decision":  new(access.Decision),
		"act of the audit": new(audit.Act),
	}
}

// messages are those between controllers.
func messages() map[string]any {
	return map[string]any{
		"message":      new(core.Msg),
		"orders":       new(core.Orders),
		"ordered":      new(core.Ordered),
		"heard":        new(core.Heard),
		"health":       new(core.Health),
		"waiting":      new(core.Waiting),
		"deltas":       new(core.Deltas),
		"delta":        new(core.DeltaMsg),
		"push":         new(core.Push),
		"hold":         new(core.Hold),
		"stop":         new(core.StopMsg),
		"row":          new(core.PushRow),
		"quorum read":  new(core.QuorumRead),
		"quorum reply": new(core.QuorumReply),
	}
}

// What users, workers, the state service and the cloud are sent, and what they send.
func TestBodies(t *testing.T) { checkTypes(t, "bodies", bodies()) }

// What controllers send each other.
func TestMesh(t *testing.T) { checkTypes(t, "mesh", messages()) }

// Every type of these packages that has names for JSON is among them.
func TestNoTypeIsLeftOut(t *testing.T) {
	for dir, types := range map[string]map[string]any{"../../wire": bodies(), "../../core": messages()} {
		listed := map[string]bool{}
		for _, v := range types {
			listed[reflect.TypeOf(v).Elem().Name()] = true
		}
		files, err := filepath.Glob(dir + "/*.go")
		if err != nil || len(files) == 0 {
			t.Fatalf("%s: %v", dir, err)
		}
		found := 0
		for _, path := range files {
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err != nil {
				t.Fatal(err)
			}
			ast.Inspect(file, func(n ast.Node) bool {
				x, ok := n.(*ast.TypeSpec)
				if !ok || !x.Name.IsExported() || strings.HasSuffix(path, "_test.go") {
					return true
				}
				s, ok := x.Type.(*ast.StructType)
				if !ok || !slices.ContainsFunc(s.Fields.List, func(f *ast.Field) bool { return f.Tag != nil && strings.Contains(f.Tag.Value, `json:"`) }) {
					return true
				}
				found++
				if !listed[x.Name.Name] {
					t.Errorf("%s: %s is not among the golden types", path, x.Name.Name)
				}
				return true
			})
		}
		if found == 0 {
			t.Errorf("%s has no types", dir)
		}
	}
}

// The settings of the platform, and the names under which they are recorded.
func TestPlatform(t *testing.T) {
	checkTypes(t, "platform", map[string]any{"platform": new(settings.Platform)})
	same(t, "recorded", map[string]any{"settings": settings.Recorded(filled[settings.Platform]("platform"), settings.Defaults())})
}

// Names of paths, stages and causes.
func TestNames(t *testing.T) {
	same(t, "names", map[string]any{
		"paths": []string{wire.PathJobs, wire.PathHealth, wire.PathAccess, wire.PathAudit, wire.PathSite, wire.PathBeat, wire.PathOrders, wire.PathShow,
			wire.PathCatalog, wire.PathRentals, wire.PathReturn, wire.PathStore, wire.PathCommit, wire.PathHolds, wire.PathChanges, wire.PathBookings,
			wire.PathEquipment, wire.PathQueue, wire.PathLanes, wire.ListPath("a/b", "c&d", 7), wire.ForSnapshot, wire.TaskName("wk-1", 7)},
		"job stages":     []string{wire.StageQueued, wire.StageRunning, wire.StageDone, wire.StageCancelled},
		"task stages":    []string{wire.TaskFetching, wire.TaskRunning, wire.TaskSaving, wire.TaskExited},
		"causes":         []string{wire.CauseDone, wire.CauseStopped, wire.CauseError, wire.CauseFull, wire.CauseBusy, wire.CauseUnknown},
		"orders":         []string{wire.OpStart, wire.OpStop, wire.OpForget},
		"machine stages": []string{wire.MachineBooting, wire.MachineRunning, wire.MachineFailed},
		"priorities":     []string{wire.PriorityName(0), wire.PriorityName(1), wire.PriorityName(wire.PriorityStandard), wire.PriorityName(wire.PriorityLeast)},
		"certificate":    access.CertificateKey,
	})
}

// What is submitted, as it is understood and kept.
func TestSubmissions(t *testing.T) {
	got := map[string]any{}
	for name, body := range map[string]string{
		"batch": `{"uid":"wk-1","ware":"cups","crew":"blue","form":"batch","heat":"high","pieces":7,"cpus":1.5,"cards":0.25,"ram_gb":3,"mould":"im","image_gb":2,` +
			`"kilns":["k1","k2"],"yard":"north","one_zone":true,"spread":false,"borrowed":true,"firing_s":60,"glaze_s":5,"cool_s":2,"due_s":900,"awaits":["wk-3","wk-2"]}`,
		"daemon": `{"uid":"wk-2","ware":"cups","crew":"blue","form":"daemon","heat":"critical","pieces":1,"cpus":2,"cards":1,"ram_gb":4,"mould":"","image_gb":0,` +
			`"one_zone":false,"spread":true,"borrowed":false,"firing_s":0,"glaze_s":0,"cool_s":0}`,
	} {
		s, err := wire.ParseSubmission([]byte(body))
		if err != nil || s.ID != wire.PeekJobID([]byte(body)) {
			t.Fatalf("%s: %+v (%v)", name, s, err)
		}
		got[name] = s
	}
	same(t, "submissions", got)
}

// A token, as its holder signs it.
func TestToken(t *testing.T) {
	k := access.Private{Holder: "anna", ID: "anna-1", Seed: []byte("a seed of thirty-two bytes, just")}
	now := time.Unix(1_700_000_000, 0)
	token, err := k.Token(now, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	p, err := access.Parse([]byte(`roles { name: "r" grants { verbs: administer } } identities { name: "anna" roles: "r" keys { id: "anna-1" ed25519: "` + k.Public() + `" } }`))
	if err != nil {
		t.Fatal(err)
	}
	for name, raw := range same(t, "token", map[string]any{"token": token, "public key": k.Public()}) {
		if name != "token" {
			continue
		}
		var was string
		if err := json.Unmarshal(raw, &was); err != nil {
			t.Fatal(err)
		}
		id, ok := access.PeekKey(was)
		key, until, err := p.Verify(was, now, time.Second)
		if err != nil || !ok || id != "anna-1" || key.Holder != "anna" || !until.Equal(now.Add(time.Hour)) {
			t.Errorf("the token is one of %q until %v (%v)", id, until, err)
		}
	}
}

// Every field of what is sent or stored as JSON has its name written out: else its Go name would be its name on the wire.
func TestEveryFieldIsNamed(t *testing.T) {
	seen := map[reflect.Type]bool{}
	var walk func(x reflect.Type)
	walk = func(x reflect.Type) {
		if seen[x] || x == reflect.TypeFor[time.Time]() {
			return
		}
		seen[x] = true
		switch x.Kind() {
		case reflect.Pointer, reflect.Slice, reflect.Array, reflect.Map:
			walk(x.Elem())
		case reflect.Struct:
			for i := range x.NumField() {
				f := x.Field(i)
				if !f.IsExported() {
					continue
				}
				if name, _, _ := strings.Cut(f.Tag.Get("json"), ","); name == "" && !f.Anonymous {
					t.Errorf("%v.%s has no name for JSON", x, f.Name)
				}
				walk(f.Type)
			}
		}
	}
	for _, types := range []map[string]any{bodies(), messages(), {"record": new(ledger.Record), "head": new(audit.Head), "carried": new(audit.Carried), "platform": new(settings.Platform)}} {
		for _, v := range types {
			walk(reflect.TypeOf(v))
		}
	}
}
