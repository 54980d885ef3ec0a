package dewlift

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"dewlift/connlimit"
	"dewlift/core"
	pb "dewlift/proto"
	"dewlift/settings"
	"dewlift/wire"
)

// platformSettings are valid settings of a platform, with every number that it has.
const platformSettings = `{"node_name":"n0","zone":"a","serve_on":"127.0.0.1:1","mesh_addr":"127.0.0.1:2",
	"peers":[{"node_name":"n1","endpoint":"127.0.0.1:3"}],
	"services":{"cloud":"127.0.0.1:4","state":"127.0.0.1:5"},
	"cluster":{"count":2,"zones":["a"],"teams":[{"name":"t","cpus":1,"cpus_max":2,"gpus":1,"gpus_max":2}],
	"workers":{"report_s":3,"lease_s":36,"cancel_s":66},
	"state":{"rps":150,"write_rps":30,"value_kb":8,"txn_ops":24,
		"next":{"rps":100,"write_rps":20,"value_kb":4,"txn_ops":12}},
	"cloud":{"rps":4,"list_lag_s":5},"quota":{"core_share":1,"mem_mb":200,"fd_limit":1000},"time_bound_ms":50}}`

// startCore starts a core with settings and lets it work for some seconds of its time.
func startCore(platform *settings.Platform, tuning *pb.Tuning) {
	connlimit.Divide(platform.Cluster.Quota.FDLimit)
	c := core.New(CoreConfig(platform, tuning), 0, 1)
	for now := time.Duration(0); now < 5*time.Second; now += 100 * time.Millisecond {
		for _, output := range c.Advance(now) {
			switch output := output.(type) {
			case core.LoadSnapshot:
				c.Handle(now, core.SnapshotPage{OK: true, Status: wire.StatusOK, Revision: 1})
			case core.LeaseRequest:
				c.Handle(now, core.LeaseResult{Op: output.Op, Status: wire.StatusOK, LeaseID: 1})
			case core.CommitTxn:
				reply := wire.TxnResponse{Revision: 2}
				c.Handle(now, core.TxnResult{ID: output.ID, Status: wire.StatusOK, Reply: reply})
			}
		}
	}
}

// setNumbers calls f with a copy of decoded JSON for each number in it, in which the number is replaced.
func setNumbers(value any, replacement json.Number, path string, f func(path string, changed any)) {
	switch value := value.(type) {
	case json.Number:
		f(path, replacement)
	case map[string]any:
		for key, child := range value {
			setNumbers(child, replacement, path+"."+key, func(path string, changedChild any) {
				changed := map[string]any{}
				for k, v := range value {
					changed[k] = v
				}
				changed[key] = changedChild
				f(path, changed)
			})
		}
	case []any:
		for i, child := range value {
			setNumbers(child, replacement, path+"."+strconv.Itoa(i), func(path string, changedChild any) {
				changed := append([]any{}, value...)
				changed[i] = changedChild
				f(path, changed)
			})
		}
	}
}

// A number in the platform's settings must either be refused, or be one with which a controller starts. A negative
// bound of the clock and numbers that overflow a duration were accepted.
func TestPlatformNumbersAreRefusedOrWork(t *testing.T) {
	decoder := json.NewDecoder(strings.NewReader(platformSettings))
	decoder.UseNumber()
	var valid any
	if err := decoder.Decode(&valid); err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "settings.json")
	for _, number := range []json.Number{
		"-1e300", "-1", "0", "1e-300", "1", "1000000000", "1000000001", "9223372036854775807", "1e300",
	} {
		setNumbers(valid, number, "", func(path string, changed any) {
			raw, err := json.Marshal(changed)
			if err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(file, raw, 0o600); err != nil {
				t.Fatal(err)
			}
			platform, err := settings.LoadPlatform(file)
			if err != nil {
				if field := path[strings.LastIndexByte(path, '.')+1:]; !strings.Contains(err.Error(), field) &&
					!strings.Contains(path, ".teams.") {
					t.Errorf("%s = %s: the error does not name it: %v", path, number, err)
				}
				return
			}
			started := time.Now()
			startCore(platform, settings.DefaultTuning())
			if took := time.Since(started); took > maxGoodRequestTime {
				t.Errorf("%s = %s: took %v", path, number, took)
			}
			for name, limit := range map[string]float64{
				"cloud.list_lag_s": platform.Cluster.Cloud.ListLagS, "time_bound_ms": platform.Cluster.TimeBoundMS,
				"state.txn_ops": float64(platform.Cluster.State.TxnOps),
			} {
				if limit < 0 || limit > 1e9 {
					t.Errorf("%s = %v is accepted", name, limit)
				}
			}
		})
	}
}

// Each operators' setting must work at the ends of its range.
func TestOperatorSettingsWorkAtTheirLimits(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(file, []byte(platformSettings), 0o600); err != nil {
		t.Fatal(err)
	}
	platform, err := settings.LoadPlatform(file)
	if err != nil {
		t.Fatal(err)
	}
	for _, setting := range settings.OperatorSettings() {
		for _, number := range []float64{setting.About.GetMin(), setting.About.GetMax()} {
			text := setting.Name + ": " + strconv.FormatFloat(number, 'f', -1, 64)
			path := filepath.Join(t.TempDir(), "tuning.textproto")
			if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			tuning, err := settings.LoadTuning(path)
			if err != nil {
				continue // a switch, or not valid together with the others
			}
			started := time.Now()
			startCore(platform, tuning)
			if took := time.Since(started); took > maxGoodRequestTime {
				t.Errorf("%s: took %v", text, took)
			}
		}
	}
}
