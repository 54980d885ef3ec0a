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
	"dewlift/core/jobrecord"
	"dewlift/settings"
	"dewlift/wire"
)

// bodies returns the types of the bodies of the platform's APIs and of ours, by their names in the golden file.
func bodies() map[string]any {
	return map[string]any{
		"booking ask":      new(wire.ReservationRequest),
		"booking want":     new(wire.SlotRequest),
		"booking":          new(wire.Reservation),
		"booked slot":      new(wire.ReservedSlot),
		"free time":        new(wire.FreeInterval),
		"booking answer":   new(wire.ReservationResponse),
		"equipment edit":   new(wire.EquipmentEdit),
		"queue":            new(wire.JobQueue),
		"queued job":       new(wire.QueuedJob),
		"submission":       new(wire.Submission),
		"spec":             new(wire.JobSpec),
		"job state":        new(wire.JobState),
		"reason":           new(wire.TaskStop),
		"error":            new(wire.Error),
		"piece":            new(wire.TaskStatus),
		"report":           new(wire.Heartbeat),
		"order":            new(wire.Command),
		"beat reply":       new(wire.HeartbeatResponse),
		"orders":           new(wire.CommandBatch),
		"machine type":     new(wire.MachineType),
		"catalog":          new(wire.Catalog),
		"rent request":     new(wire.ScaleOutRequest),
		"names":            new(wire.MachineNames),
		"machine":          new(wire.Machine),
		"machine list":     new(wire.MachineList),
		"item":             new(wire.KeyValue),
		"rights edit":      new(wire.PermissionsEdit),
		"rights key":       new(wire.PublicKey),
		"changed rights":   new(wire.PermissionsEditResult),
		"rights":           new(wire.Permissions),
		"audit head":       new(wire.AuditChainHead),
		"audit heads":      new(wire.AuditChainHeads),
		"audit block":      new(wire.AuditBlock),
		"audit page":       new(wire.AuditPage),
		"site":             new(wire.StoreEndpoint),
		"found":            new(wire.GetResponse),
		"page":             new(wire.RangeResponse),
		"condition":        new(wire.Compare),
		"write":            new(wire.Write),
		"transaction":      new(wire.Txn),
		"its reply":        new(wire.TxnResponse),
		"event":            new(wire.WatchEvent),
		"changes":          new(wire.WatchResponse),
		"lease request":    new(wire.LeaseRequest),
		"lease reply":      new(wire.LeaseResponse),
		"private key":      new(access.PrivateKey),
		"access decision":  new(access.Decision),
		"act of the audit": new(audit.Event),
	}
}

// messages returns the types of messages between controllers, by their names in the golden file.
func messages() map[string]any {
	return map[string]any{
		"message":      new(core.Message),
		"orders":       new(core.SendCommands),
		"ordered":      new(core.CommandsResult),
		"heard":        new(core.HeartbeatDigest),
		"health":       new(core.Health),
		"waiting":      new(core.QueueHead),
		"deltas":       new(core.AllocationDeltas),
		"delta":        new(core.AllocationDelta),
		"push":         new(core.StatePush),
		"hold":         new(core.CapacityHold),
		"stop":         new(core.PreemptedTask),
		"row":          new(core.MachineCapacity),
		"quorum read":  new(core.QuorumRead),
		"quorum reply": new(core.QuorumReply),
	}
}

// The encodings of bodies from and to users, agents, the store and the cloud must not change.
func TestBodies(t *testing.T) { checkTypes(t, "bodies", bodies()) }

// The encodings of messages between controllers must not change.
func TestPeerMessages(t *testing.T) { checkTypes(t, "mesh", messages()) }

// Every exported type of these packages that has JSON tags must be among the golden types.
func TestEveryTaggedTypeIsListed(t *testing.T) {
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
			if strings.HasSuffix(path, "_test.go") {
				continue
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err != nil {
				t.Fatal(err)
			}
			for _, name := range typesWithTags(file) {
				found++
				if !listed[name] {
					t.Errorf("%s: %s is not among the golden types", path, name)
				}
			}
		}
		if found == 0 {
			t.Errorf("%s has no types", dir)
		}
	}
}

// typesWithTags lists the exported struct types of a file that have a JSON tag.
func typesWithTags(file *ast.File) (names []string) {
	hasTag := func(field *ast.Field) bool {
		return field.Tag != nil && strings.Contains(field.Tag.Value, `json:"`)
	}
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.TypeSpec)
		if !ok || !spec.Name.IsExported() {
			return true
		}
		if structType, ok := spec.Type.(*ast.StructType); ok && slices.ContainsFunc(structType.Fields.List, hasTag) {
			names = append(names, spec.Name.Name)
		}
		return true
	})
	return names
}

// The settings of the platform, and the names under which they are audited, must not change.
func TestPlatform(t *testing.T) {
	checkTypes(t, "platform", map[string]any{"platform": new(settings.Platform)})
	checkGolden(
		t,
		"recorded",
		map[string]any{
			"settings": settings.AuditedValues(filled[settings.Platform]("platform"), settings.DefaultTuning()),
		},
	)
}

// Names of paths, stages and causes must not change.
func TestNames(t *testing.T) {
	checkGolden(t, "names", map[string]any{
		"paths": []string{
			wire.PathJobs,
			wire.PathHealth,
			wire.PathPermissions,
			wire.PathAudit,
			wire.PathStoreEndpoint,
			wire.PathHeartbeat,
			wire.PathAgentCommands,
			wire.PathAgentStatus,
			wire.PathCatalog,
			wire.PathMachines,
			wire.PathScaleIn,
			wire.PathKeys,
			wire.PathTxn,
			wire.PathLeases,
			wire.PathWatch,
			wire.PathReservations,
			wire.PathEquipment,
			wire.PathQueue,
			wire.PathPriorityClasses,
			wire.RangePath("a/b", "c&d", 7),
			wire.EndpointForSnapshot,
			wire.TaskName("wk-1", 7),
		},
		"job stages":  []string{wire.StageQueued, wire.StageRunning, wire.StageDone, wire.StageCancelled},
		"task stages": []string{wire.TaskPullingImage, wire.TaskRunning, wire.TaskCheckpointing, wire.TaskExited},
		"causes": []string{
			wire.CauseDone,
			wire.CauseStopped,
			wire.CauseError,
			wire.CauseNoCapacity,
			wire.CauseBusy,
			wire.CauseNoSuchTask,
		},
		"orders":         []string{wire.OpStart, wire.OpStop, wire.OpClear},
		"machine stages": []string{wire.MachineBooting, wire.MachineRunning, wire.MachineFailed},
		"priorities": []string{
			wire.PriorityName(0),
			wire.PriorityName(1),
			wire.PriorityName(wire.PriorityStandard),
			wire.PriorityName(wire.PriorityLowest),
		},
		"certificate": access.CertificateKey,
	})
}

// Submissions must be parsed and stored as before.
func TestSubmissions(t *testing.T) {
	got := map[string]any{}
	for name, body := range map[string]string{
		"batch": `{"uid":"wk-1","ware":"cups","crew":"blue","form":"batch","heat":"high","pieces":7,"cpus":1.5,` +
			`"cards":0.25,"ram_gb":3,"mould":"im","image_gb":2,"kilns":["k1","k2"],"yard":"north","one_zone":true,` +
			`"spread":false,"borrowed":true,"firing_s":60,"glaze_s":5,"cool_s":2,"due_s":900,"awaits":["wk-3","wk-2"]}`,
		"daemon": `{"uid":"wk-2","ware":"cups","crew":"blue","form":"daemon","heat":"critical","pieces":1,"cpus":2,` +
			`"cards":1,"ram_gb":4,"mould":"","image_gb":0,"one_zone":false,"spread":true,"borrowed":false,` +
			`"firing_s":0,"glaze_s":0,"cool_s":0}`,
	} {
		spec, err := wire.ParseSubmission([]byte(body))
		if err != nil || spec.ID != wire.PeekJobID([]byte(body)) {
			t.Fatalf("%s: %+v (%v)", name, spec, err)
		}
		got[name] = spec
	}
	checkGolden(t, "submissions", got)
}

// A token must get the same signature as in earlier versions, and a token that one of them signed must be accepted.
func TestToken(t *testing.T) {
	privateKey := access.PrivateKey{Holder: "anna", ID: "anna-1", Seed: []byte("a seed of thirty-two bytes, just")}
	now := time.Unix(1_700_000_000, 0)
	token, err := privateKey.SignToken(now, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	policy, err := access.Parse([]byte(`roles { name: "r" grants { verbs: administer } } ` +
		`identities { name: "anna" roles: "r" keys { id: "anna-1" ed25519: "` + privateKey.PublicBase64() + `" } }`))
	if err != nil {
		t.Fatal(err)
	}
	for name, raw := range checkGolden(
		t,
		"token",
		map[string]any{"token": token, "public key": privateKey.PublicBase64()},
	) {
		if name != "token" {
			continue
		}
		var was string
		if err := json.Unmarshal(raw, &was); err != nil {
			t.Fatal(err)
		}
		id, ok := access.PeekKeyID(was)
		key, until, err := policy.VerifyToken(was, now, time.Second)
		if err != nil || !ok || id != "anna-1" || key.Holder != "anna" || !until.Equal(now.Add(time.Hour)) {
			t.Errorf("the token has key %q and is valid until %v (%v)", id, until, err)
		}
	}
}

// Every field that is sent or stored as JSON must have a tag; otherwise its Go name would be its encoded name.
func TestEveryFieldHasTag(t *testing.T) {
	visited := map[reflect.Type]bool{}
	var walk func(typ reflect.Type)
	walk = func(typ reflect.Type) {
		if visited[typ] || typ == reflect.TypeFor[time.Time]() {
			return
		}
		visited[typ] = true
		switch typ.Kind() {
		case reflect.Pointer, reflect.Slice, reflect.Array, reflect.Map:
			walk(typ.Elem())
		case reflect.Struct:
			for i := range typ.NumField() {
				field := typ.Field(i)
				if !field.IsExported() {
					continue
				}
				if name, _, _ := strings.Cut(field.Tag.Get("json"), ","); name == "" && !field.Anonymous {
					t.Errorf("%v.%s has no name in a JSON tag", typ, field.Name)
				}
				walk(field.Type)
			}
		}
	}
	for _, types := range []map[string]any{
		bodies(),
		messages(),
		{
			"record":   new(jobrecord.Record),
			"head":     new(audit.Head),
			"carried":  new(audit.PendingEntry),
			"platform": new(settings.Platform),
		},
	} {
		for _, v := range types {
			walk(reflect.TypeOf(v))
		}
	}
}
