// Command history measures what a long history costs a controller: it starts the built program
// against the stand-in state service, holding so many ended jobs, and writes a table, JSON and an HTML
// report. docs/operations/history.md shows how it is run. Everything is on loopback; a run of one
// size takes a minute at most, each process is ended by its id.
package main

import (
	"context"
	"dewlift/archive"
	"dewlift/core"
	"dewlift/internal/fakes"
	"dewlift/internal/measure/process"
	"dewlift/wire"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"log"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	liveJobs = 2000

	keptRecords = 7500 // of an archived history, the jobs that ended last, which have records still
)

// StartCost is what one start took.
type StartCost struct {
	Version   string  `json:"version"`
	Form      string  `json:"form"` // "records": a key each; "archive": compact blocks
	Jobs      int     `json:"jobs"`
	RPS       float64 `json:"rps"`
	HealthyS  float64 `json:"healthy_s"`
	CPUS      float64 `json:"cpu_s"`
	ShareS    float64 `json:"share_s"` // at its share of a core: the larger of both
	PeakMB    float64 `json:"peak_mb"`
	Requests  int     `json:"requests"`
	StoreB    float64 `json:"store_bytes_per_job"`
	MemoryB   float64 `json:"memory_bytes_per_job"` // more than the start with the fewest jobs of its kind took
	Ended     string  `json:"ended,omitempty"`      // why it never was healthy
	PollMS    float64 `json:"poll_ms,omitempty"`    // median, of ended jobs chosen at random
	Wrong     int     `json:"wrong"`                // answers to polls that were not right
	Polls     int     `json:"polls"`
	Committed int     `json:"changes"`
}

func main() {
	log.SetFlags(0)
	bin := flag.String("program", "target/dewlift", "the program")
	before := flag.String("before", "", "an earlier version's program, for comparison")
	sizes := flag.String("jobs", "10000,100000,1000000", "numbers of ended jobs")
	rates := flag.String("rps", "150,70", "requests a second of the state service")
	quota := flag.Float64("mem-mb", 186, "memory quota of a controller")
	out := flag.String("out", "history", "folder for figures.json and report.html")
	compact := flag.Int(
		"compact",
		0,
		"also have so many records moved, with 1000 changes a second, and count what that takes",
	)
	flag.Parse()
	if err := run(*bin, *before, *sizes, *rates, *quota, *out, *compact); err != nil {
		log.Fatal("history: ", err)
	}
}

func parseNumbers(s string) ([]float64, error) {
	var out []float64
	for _, x := range strings.Split(s, ",") {
		v, err := strconv.ParseFloat(x, 64)
		if err != nil || v <= 0 {
			return nil, fmt.Errorf("not a positive number: %q", x)
		}
		out = append(out, v)
	}
	return out, nil
}

func run(bin, before, sizes, rates string, quota float64, out string, compact int) error {
	jobs, err := parseNumbers(sizes)
	if err != nil {
		return err
	}
	rps, err := parseNumbers(rates)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(out, 0o755); err != nil {
		return err
	}
	var all []*StartCost
	for _, r := range rps {
		for _, kind := range []struct{ version, bin, form string }{
			{"before", before, "records"},
			{"now", bin, "records"},
			{"now", bin, "archive"},
		} {
			if kind.bin == "" {
				continue
			}
			var first *StartCost
			for _, n := range jobs {
				f := &StartCost{Version: kind.version, Form: kind.form, Jobs: int(n), RPS: r}
				if err := f.measureStart(kind.bin, quota); err != nil {
					return err
				}
				if first == nil {
					first = f
				} else if f.Ended == "" {
					f.MemoryB = (f.PeakMB - first.PeakMB) * (1 << 20) / float64(f.Jobs-first.Jobs)
				}
				all = append(all, f)
				log.Printf(
					"%-6s %-7s %8d jobs %3.0f rps: healthy %6.1f s (cpu %5.1f s, at its share %6.1f s), peak %4.0f MB, %5d requests, %5.1f B/job stored, poll %.0f ms, %d of %d wrong %s",
					f.Version,
					f.Form,
					f.Jobs,
					f.RPS,
					f.HealthyS,
					f.CPUS,
					f.ShareS,
					f.PeakMB,
					f.Requests,
					f.StoreB,
					f.PollMS,
					f.Wrong,
					f.Polls,
					f.Ended,
				)
			}
		}
	}
	var moved *ArchivingCost
	if compact > 0 {
		if moved, err = measureArchiving(bin, compact, quota); err != nil {
			return err
		}
	}
	raw, err := json.MarshalIndent(map[string]any{"starts": all, "moved": moved}, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(out, "figures.json"), raw, 0o644); err != nil {
		return err
	}
	return writeReport(filepath.Join(out, "report.html"), all, moved)
}

// endedJobs makes so many ended jobs, in the order of their ids.
func endedJobs(n int) []archive.Entry {
	rng := rand.New(rand.NewPCG(uint64(n), 1))
	out := make([]archive.Entry, n)
	for i := range out {
		out[i] = archive.Entry{
			ID:             fmt.Sprintf("wk-%08d", 3*i+rng.IntN(3)),
			CompletedTasks: 1 + rng.IntN(120),
			Cancelled:      rng.IntN(20) == 0,
		}
	}
	return out
}

func encodeRecord(e archive.Entry) string {
	stage := "d"
	if e.Cancelled {
		stage = "c"
	}
	return fmt.Sprintf(`{"h":%d,"st":"%s","d":[0,%d]}`, e.CompletedTasks%12, stage, e.CompletedTasks-1)
}

// fillStore puts a site's keys into the stand-in: what a controller needs to serve, live jobs and ended ones.
func fillStore(s *fakes.Store, entries []archive.Entry, archived bool) error {
	s.SetMachineType(wire.MachineType{Name: "x", CPUs: 32, MemoryGB: 128, Price: 1, Zones: []string{"a"}})
	var items []wire.KeyValue
	add := func(key, value string) {
		items = append(items, wire.KeyValue{Key: key, Value: json.RawMessage(value)})
	}
	add(core.Root+"form/n0", fmt.Sprint(core.SchemaVersion))
	for i := range liveJobs {
		add(
			fmt.Sprintf("%sjob/wk-live-%04d", core.Root, i),
			`{"h":1,"s":{"cl":"c","tm":"t","pr":2,"n":4,"rc":[4000,0,8000],"im":"img"},"at":1700000000000}`,
		)
	}
	if !archived {
		for _, e := range entries {
			add(core.Root+"job/"+e.ID, encodeRecord(e))
		}
	} else {
		recent := min(len(entries), keptRecords)
		for _, e := range entries[len(entries)-recent:] {
			add(core.Root+"job/"+e.ID, encodeRecord(e))
		}
		entries = entries[:len(entries)-recent]
		add(core.Root+"history", "1")
		low := ""
		for i := 0; i < len(entries); { // blocks as full as they are on average
			n := min(1200, len(entries)-i)
			b := &archive.Block{Low: low, High: archive.MaxID, Entries: entries[i : i+n]}
			if i += n; i < len(entries) {
				b.High = entries[i].ID
			}
			raw, err := b.Encode()
			if err != nil {
				return err
			}
			if len(raw) > 8192 {
				return fmt.Errorf("a block takes %d bytes", len(raw))
			}
			add(archive.BlockKey(b.High), string(raw))
			low = b.High
		}
	}
	for len(items) > 0 { // in revisions, as they would have come
		n := min(100, len(items))
		s.PutUnchecked(items[:n])
		items = items[n:]
	}
	return nil
}

var httpClient = http.Client{Timeout: 2 * time.Second}

// pollJob asks for a job and tells whether the answer is right.
func pollJob(x *process.Process, id, stage string, done int) (right bool, took time.Duration) {
	began := time.Now()
	for range 5 { // a 503 is no answer
		resp, err := httpClient.Get("http://" + x.Addr + wire.PathJobs + "/" + id)
		if err != nil {
			continue
		}
		var s wire.JobState
		err = json.NewDecoder(resp.Body).Decode(&s)
		_ = resp.Body.Close()
		switch {
		case resp.StatusCode == http.StatusNotFound:
			return stage == "", time.Since(began)
		case resp.StatusCode == http.StatusOK && err == nil:
			return s.Stage == stage && s.Done == done, time.Since(began)
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false, time.Since(began)
}

// pollRandomJobs asks for ended jobs chosen at random, and for some that never were.
func pollRandomJobs(x *process.Process, entries []archive.Entry, n int) (wrong int, median time.Duration) {
	rng := rand.New(rand.NewPCG(1, 1))
	var took []time.Duration
	for range n {
		e := entries[rng.IntN(len(entries))]
		stage := wire.StageDone
		if e.Cancelled {
			stage = wire.StageCancelled
		}
		right, t := pollJob(x, e.ID, stage, e.CompletedTasks)
		if took = append(took, t); !right {
			wrong++
		}
		if right, _ := pollJob(x, "wk-never-"+e.ID[3:], "", 0); !right {
			wrong++
		}
	}
	slices.Sort(took)
	return wrong, took[n/2]
}

func (f *StartCost) measureStart(bin string, quota float64) error {
	entries := endedJobs(f.Jobs)
	s := fakes.NewStore(
		fakes.Limits{RPS: f.RPS, WriteRPS: 30, ValueBytes: 8192, TxnOps: 24, PageItems: 1000, PageKB: 512},
	)
	if err := fillStore(s, entries, f.Form == "archive"); err != nil {
		return err
	}
	prefix := core.Root + "job/wk-0"
	if f.Form == "archive" {
		prefix = archive.BlockPrefix
	}
	_, bytes := s.CountKeys(prefix)
	f.StoreB = float64(bytes) / float64(f.Jobs)
	tuning := ""
	if f.Version == "now" {
		tuning = "archive: true history_wait_ms: 0"
	}
	x, err := process.Start(bin, s, process.Options{RPS: f.RPS, WriteRPS: 30, MemMB: quota, TuningText: tuning})
	if err != nil {
		return err
	}
	took, err := x.WaitHealthy()
	if err != nil {
		f.Ended = err.Error()
		return x.Stop()
	}
	f.HealthyS = took.Seconds()
	f.Requests = s.Counters()["requests"]
	cpu, _, err := x.Usage()
	if err != nil {
		return errors.Join(err, x.Stop())
	}
	f.CPUS = cpu.Seconds()
	f.ShareS = max(f.HealthyS, f.CPUS/process.CoreShare)
	f.Polls = 60
	wrong, median := pollRandomJobs(x, entries, f.Polls/2)
	f.Wrong, f.PollMS = wrong, float64(median.Microseconds())/1000
	f.Committed = s.Counters()["changed"]
	if _, f.PeakMB, err = x.Usage(); err != nil {
		return errors.Join(err, x.Stop())
	}
	return x.Stop()
}

// ArchivingCost is what moving records took.
type ArchivingCost struct {
	Jobs        int     `json:"jobs"`
	TookS       float64 `json:"took_s"`
	Changes     int     `json:"changes"` // all that were made meanwhile
	PerJob      float64 `json:"per_job"` // changes per job, its record's deletion included
	Beyond      float64 `json:"beyond"`  // the same without that
	Blocks      int     `json:"blocks"`  // at the end
	BytesPerJob float64 `json:"bytes_per_job"`
	PeakMB      float64 `json:"peak_mb"`
	Wrong       int     `json:"wrong"`
	Polls       int     `json:"polls"`
}

// measureArchiving has a site of the old form move its records, asks for jobs all along, and counts.
func measureArchiving(bin string, n int, quota float64) (*ArchivingCost, error) {
	entries := endedJobs(n)
	s := fakes.NewStore(fakes.Limits{ValueBytes: 8192, TxnOps: 24, PageItems: 1000, PageKB: 512})
	if err := fillStore(s, entries, false); err != nil {
		return nil, err
	}
	x, err := process.Start(
		bin,
		s,
		process.Options{RPS: 1000, WriteRPS: 1000, MemMB: quota, TuningText: "archive: true history_wait_ms: 0"},
	)
	if err != nil {
		return nil, err
	}
	if _, err := x.WaitHealthy(); err != nil {
		return nil, errors.Join(err, x.Stop())
	}
	m := &ArchivingCost{Jobs: n}
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Minute)
	defer cancel()
	for left := n; left > 10_100; { // those that ended last stay
		select {
		case <-ctx.Done():
			return nil, errors.Join(fmt.Errorf("%d records are left", left), x.Stop())
		case <-time.After(200 * time.Millisecond):
		}
		wrong, _ := pollRandomJobs(x, entries, 2)
		m.Wrong, m.Polls = m.Wrong+wrong, m.Polls+4
		left, _ = s.CountKeys(core.Root + "job/wk-0")
	}
	m.TookS = time.Since(began).Seconds()
	left, _ := s.CountKeys(core.Root + "job/wk-0")
	gone := n - left
	m.Jobs, m.Changes = gone, s.Counters()["changed"]
	var bytes int
	m.Blocks, bytes = s.CountKeys(archive.BlockPrefix)
	m.PerJob = float64(m.Changes) / float64(gone)
	m.Beyond, m.BytesPerJob = m.PerJob-1, float64(bytes)/float64(gone)
	if _, m.PeakMB, err = x.Usage(); err != nil {
		return nil, errors.Join(err, x.Stop())
	}
	log.Printf(
		"moved %d jobs in %.0f s: %.3f changes a job, %.3f beyond the deletion of its record; %d blocks, %.1f B/job; peak %.0f MB; %d of %d answers wrong",
		m.Jobs,
		m.TookS,
		m.PerJob,
		m.Beyond,
		m.Blocks,
		m.BytesPerJob,
		m.PeakMB,
		m.Wrong,
		m.Polls,
	)
	return m, x.Stop()
}
