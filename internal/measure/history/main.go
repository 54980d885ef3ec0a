// Command history measures what a long history of ended jobs costs a controller. It starts the built program against
// a fake store on loopback that holds a number of ended jobs, and writes a table, JSON and an HTML report. A run with
// one number of jobs takes at most a minute. docs/operations/history.md shows how to run it.
package main

import (
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

	"dewlift/archive"
	"dewlift/core"
	"dewlift/internal/fakes"
	"dewlift/internal/measure/process"
	"dewlift/wire"
)

const (
	liveJobs = 2000
	// keptRecords is the number of the latest ended jobs of an archived history that keep a record of their own.
	keptRecords = 7500
	// maxKeptRecords is the number of records at or below which archiving counts as finished, since the latest ended
	// jobs keep theirs.
	maxKeptRecords      = 10_100
	jobsPerBlock        = 1200 // of the archive, on average
	maxValueBytes       = 8192
	storeWriteRate      = 30 // writes per second while a start is measured
	archiveRate         = 1000
	archiveTimeout      = 15 * time.Minute
	archivePollInterval = 200 * time.Millisecond
	pollsPerStart       = 60
	maxPollAttempts     = 5
	pollRetryDelay      = 500 * time.Millisecond
	endedJobsPrefix     = core.Root + "job/wk-0"
	formRecords         = "records"
	formArchive         = "archive"
	versionCurrent      = "now"
	versionEarlier      = "before"
	archivingTuning     = "archive: true history_wait_ms: 0"
	liveJobUnixMS       = 1700000000000
)

// StartCost is the cost of one start. The report's template uses its field names.
type StartCost struct {
	Version   string  `json:"version"`
	Form      string  `json:"form"` // "records": one key per job; "archive": compact blocks of jobs
	Jobs      int     `json:"jobs"`
	RPS       float64 `json:"rps"`
	HealthyS  float64 `json:"healthy_s"`
	CPUS      float64 `json:"cpu_s"`
	ShareS    float64 `json:"share_s"` // lower bound of the time until healthy at the production share of a core
	PeakMB    float64 `json:"peak_mb"`
	Requests  int     `json:"requests"`
	StoreB    float64 `json:"store_bytes_per_job"`
	MemoryB   float64 `json:"memory_bytes_per_job"` // peak memory growth per job added to the first start of its kind
	Ended     string  `json:"ended,omitempty"`      // why the controller did not become healthy
	PollMS    float64 `json:"poll_ms,omitempty"`    // median for random ended jobs
	Wrong     int     `json:"wrong"`                // wrong responses to polls
	Polls     int     `json:"polls"`
	Committed int     `json:"changes"` // writes to the store, including those during the polls
}

// options are the command's flags.
type options struct {
	bin, earlierBin string // paths of the program and of an earlier version; "": none
	jobCounts       string
	rates           string
	quotaMB         float64
	out             string
	archiveCount    int // number of records; 0: don't measure archiving
}

func main() {
	log.SetFlags(0)
	var o options
	flag.StringVar(&o.bin, "program", "target/dewlift", "path of the dewlift program")
	flag.StringVar(&o.earlierBin, "before", "", "path of an earlier version of the program, for comparison")
	flag.StringVar(&o.jobCounts, "jobs", "10000,100000,1000000", "numbers of ended jobs, separated by commas")
	flag.StringVar(&o.rates, "rps", "150,70", "request limits of the state service per second, separated by commas")
	flag.Float64Var(&o.quotaMB, "mem-mb", 186, "memory quota of a controller in MB")
	flag.StringVar(&o.out, "out", "history", "output folder for figures.json and report.html")
	flag.IntVar(
		&o.archiveCount,
		"compact",
		0,
		"also measure archiving this number of records at 1000 writes per second; 0 disables it",
	)
	flag.Parse()
	if err := o.run(); err != nil {
		log.Fatal("history: ", err)
	}
}

// parseNumbers parses positive numbers separated by commas.
func parseNumbers(list string) ([]float64, error) {
	var out []float64
	for _, text := range strings.Split(list, ",") {
		value, err := strconv.ParseFloat(text, 64)
		if err != nil || value <= 0 {
			return nil, fmt.Errorf("not a positive number: %q", text)
		}
		out = append(out, value)
	}
	return out, nil
}

// run measures all starts and, if asked to, archiving, and writes the report.
func (o *options) run() error {
	jobs, err := parseNumbers(o.jobCounts)
	if err != nil {
		return err
	}
	rates, err := parseNumbers(o.rates)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(o.out, 0o755); err != nil {
		return fmt.Errorf("create folder for report: %w", err)
	}
	var starts []*StartCost
	for _, rps := range rates {
		for _, kind := range []StartCost{
			{Version: versionEarlier, Form: formRecords, RPS: rps},
			{Version: versionCurrent, Form: formRecords, RPS: rps},
			{Version: versionCurrent, Form: formArchive, RPS: rps},
		} {
			kindCosts, err := o.measureKind(kind, jobs)
			if err != nil {
				return err
			}
			starts = append(starts, kindCosts...)
		}
	}
	var archiving *ArchivingCost
	if o.archiveCount > 0 {
		if archiving, err = measureArchiving(o.bin, o.archiveCount, o.quotaMB); err != nil {
			return err
		}
	}
	raw, err := json.MarshalIndent(map[string]any{"starts": starts, "moved": archiving}, "", " ")
	if err != nil {
		return fmt.Errorf("encode figures: %w", err)
	}
	if err := os.WriteFile(filepath.Join(o.out, "figures.json"), raw, 0o644); err != nil {
		return fmt.Errorf("write figures: %w", err)
	}
	return writeReport(filepath.Join(o.out, "report.html"), starts, archiving)
}

// measureKind measures a start of a kind with each number of jobs. It measures none if the program of its version
// was not given.
func (o *options) measureKind(kind StartCost, jobs []float64) (starts []*StartCost, err error) {
	bin := o.bin
	if kind.Version == versionEarlier {
		bin = o.earlierBin
	}
	if bin == "" {
		return nil, nil
	}
	for _, count := range jobs {
		cost := kind
		cost.Jobs = int(count)
		if err := cost.measureStart(bin, o.quotaMB); err != nil {
			return nil, err
		}
		if len(starts) > 0 && cost.Ended == "" {
			first := starts[0]
			cost.MemoryB = (cost.PeakMB - first.PeakMB) * (1 << 20) / float64(cost.Jobs-first.Jobs)
		}
		starts = append(starts, &cost)
		cost.log()
	}
	return starts, nil
}

func (c *StartCost) log() {
	log.Printf(
		"%-6s %-7s %8d jobs %3.0f rps: healthy %6.1f s (CPU %5.1f s, at production share %6.1f s), peak %4.0f MB, "+
			"%5d requests, %5.1f B/job stored, median poll %.0f ms, %d of %d polls wrong %s",
		c.Version,
		c.Form,
		c.Jobs,
		c.RPS,
		c.HealthyS,
		c.CPUS,
		c.ShareS,
		c.PeakMB,
		c.Requests,
		c.StoreB,
		c.PollMS,
		c.Wrong,
		c.Polls,
		c.Ended,
	)
}

// endedJobs returns random ended jobs in the order of their IDs. They depend only on count.
func endedJobs(count int) []archive.Entry {
	rng := rand.New(rand.NewPCG(uint64(count), 1))
	out := make([]archive.Entry, count)
	for i := range out {
		out[i] = archive.Entry{
			ID:             fmt.Sprintf("wk-%08d", 3*i+rng.IntN(3)),
			CompletedTasks: 1 + rng.IntN(120),
			Cancelled:      rng.IntN(20) == 0,
		}
	}
	return out
}

// encodeRecord returns the stored record of an ended job.
func encodeRecord(job archive.Entry) string {
	stage := "d"
	if job.Cancelled {
		stage = "c"
	}
	return fmt.Sprintf(`{"h":%d,"st":"%s","d":[0,%d]}`, job.CompletedTasks%12, stage, job.CompletedTasks-1)
}

// keyList collects keys for the store.
type keyList []wire.KeyValue

func (l *keyList) add(key, value string) {
	*l = append(*l, wire.KeyValue{Key: key, Value: json.RawMessage(value)})
}

// addRecords adds one record for each ended job.
func (l *keyList) addRecords(jobs []archive.Entry) {
	for _, job := range jobs {
		l.add(core.Root+"job/"+job.ID, encodeRecord(job))
	}
}

// addBlocks adds archive blocks that hold ended jobs.
func (l *keyList) addBlocks(jobs []archive.Entry) error {
	low := ""
	for start := 0; start < len(jobs); {
		end := min(start+jobsPerBlock, len(jobs))
		block := &archive.Block{Low: low, High: archive.MaxID, Entries: jobs[start:end]}
		if end < len(jobs) {
			block.High = jobs[end].ID
		}
		raw, err := block.Encode()
		if err != nil {
			return fmt.Errorf("encode archive block: %w", err)
		}
		if len(raw) > maxValueBytes {
			return fmt.Errorf("archive block of %d bytes exceeds the limit of a store value", len(raw))
		}
		l.add(archive.BlockKey(block.High), string(raw))
		low, start = block.High, end
	}
	return nil
}

// fillStore stores the keys of a cluster: what a controller needs to become healthy, live jobs and ended jobs. If
// archived, the older ended jobs are in archive blocks.
func fillStore(store *fakes.Store, ended []archive.Entry, archived bool) error {
	store.SetMachineType(wire.MachineType{Name: "x", CPUs: 32, MemoryGB: 128, Price: 1, Zones: []string{"a"}})
	var keys keyList
	keys.add(core.Root+"form/n0", fmt.Sprint(core.SchemaVersion))
	for i := range liveJobs {
		keys.add(
			fmt.Sprintf("%sjob/wk-live-%04d", core.Root, i),
			fmt.Sprintf(
				`{"h":1,"s":{"cl":"c","tm":"t","pr":2,"n":4,"rc":[4000,0,8000],"im":"img"},"at":%d}`,
				int64(liveJobUnixMS),
			),
		)
	}
	if archived {
		old := ended[:len(ended)-min(len(ended), keptRecords)]
		keys.addRecords(ended[len(old):])
		keys.add(core.Root+"history", "1")
		if err := keys.addBlocks(old); err != nil {
			return err
		}
	} else {
		keys.addRecords(ended)
	}
	for revision := range slices.Chunk(keys, 100) { // several revisions, as after ordinary writes
		store.PutUnchecked(revision)
	}
	return nil
}

var httpClient = http.Client{Timeout: 2 * time.Second}

// pollJob polls a job until it is answered and reports whether the response is correct. An empty stage stands for an
// unknown job.
func pollJob(controller *process.Process, id, stage string, done int) (correct bool, took time.Duration) {
	startedAt := time.Now()
	for range maxPollAttempts { // retries errors and responses such as 503
		response, err := httpClient.Get("http://" + controller.Addr + wire.PathJobs + "/" + id)
		if err != nil {
			continue
		}
		var state wire.JobState
		err = json.NewDecoder(response.Body).Decode(&state)
		_ = response.Body.Close()
		switch {
		case response.StatusCode == http.StatusNotFound:
			return stage == "", time.Since(startedAt)
		case response.StatusCode == http.StatusOK && err == nil:
			return state.Stage == stage && state.Done == done, time.Since(startedAt)
		}
		time.Sleep(pollRetryDelay)
	}
	return false, time.Since(startedAt)
}

// pollRandomJobs polls random ended jobs and as many unknown ones. It returns the number of wrong responses and the
// median duration of the polls of ended jobs.
func pollRandomJobs(
	controller *process.Process,
	ended []archive.Entry,
	count int,
) (wrong int, median time.Duration) {
	rng := rand.New(rand.NewPCG(1, 1))
	var durations []time.Duration
	for range count {
		job := ended[rng.IntN(len(ended))]
		stage := wire.StageDone
		if job.Cancelled {
			stage = wire.StageCancelled
		}
		correct, took := pollJob(controller, job.ID, stage, job.CompletedTasks)
		durations = append(durations, took)
		if !correct {
			wrong++
		}
		if correct, _ := pollJob(controller, "wk-never-"+job.ID[3:], "", 0); !correct {
			wrong++
		}
	}
	slices.Sort(durations)
	return wrong, durations[count/2]
}

// measureStart starts a controller with a history of ended jobs, and measures the start and a few polls.
func (c *StartCost) measureStart(bin string, quotaMB float64) error {
	ended := endedJobs(c.Jobs)
	store := fakes.NewStore(fakes.Limits{
		RPS: c.RPS, WriteRPS: storeWriteRate, ValueBytes: maxValueBytes, TxnOps: 24, PageItems: 1000, PageKB: 512,
	})
	if err := fillStore(store, ended, c.Form == formArchive); err != nil {
		return err
	}
	prefix := endedJobsPrefix
	if c.Form == formArchive {
		prefix = archive.BlockPrefix
	}
	_, bytes := store.CountKeys(prefix)
	c.StoreB = float64(bytes) / float64(c.Jobs)
	tuning := ""
	if c.Version == versionCurrent {
		tuning = archivingTuning
	}
	controller, err := process.Start(bin, store, process.Options{
		RPS: c.RPS, WriteRPS: storeWriteRate, MemMB: quotaMB, TuningText: tuning,
	})
	if err != nil {
		return err
	}
	took, err := controller.WaitHealthy()
	if err != nil {
		c.Ended = err.Error()
		return controller.Stop()
	}
	c.HealthyS = took.Seconds()
	return errors.Join(c.measureHealthy(controller, ended), controller.Stop())
}

// measureHealthy measures the resource usage of a controller that has just become healthy, and polls jobs.
func (c *StartCost) measureHealthy(controller *process.Process, ended []archive.Entry) error {
	c.Requests = controller.Store.Counters()["requests"]
	cpu, _, err := controller.Usage()
	if err != nil {
		return err
	}
	c.CPUS = cpu.Seconds()
	c.ShareS = max(c.HealthyS, c.CPUS/process.CoreShare)
	c.Polls = pollsPerStart
	wrong, median := pollRandomJobs(controller, ended, c.Polls/2)
	c.Wrong, c.PollMS = wrong, float64(median.Microseconds())/1000
	c.Committed = controller.Store.Counters()["changed"]
	_, c.PeakMB, err = controller.Usage()
	return err
}

// ArchivingCost is the cost of moving records to the archive. The report's template uses its field names.
type ArchivingCost struct {
	Jobs        int     `json:"jobs"`
	TookS       float64 `json:"took_s"`
	Changes     int     `json:"changes"` // writes to the store meanwhile
	PerJob      float64 `json:"per_job"` // writes per job, including the deletion of its record
	Beyond      float64 `json:"beyond"`  // writes per job, without the deletion of its record
	Blocks      int     `json:"blocks"`  // in the archive at the end
	BytesPerJob float64 `json:"bytes_per_job"`
	PeakMB      float64 `json:"peak_mb"`
	Wrong       int     `json:"wrong"`
	Polls       int     `json:"polls"`
}

// measureArchiving starts a controller that archives the records of ended jobs, and polls jobs meanwhile.
func measureArchiving(bin string, jobs int, quotaMB float64) (*ArchivingCost, error) {
	ended := endedJobs(jobs)
	store := fakes.NewStore(fakes.Limits{ValueBytes: maxValueBytes, TxnOps: 24, PageItems: 1000, PageKB: 512})
	if err := fillStore(store, ended, false); err != nil {
		return nil, err
	}
	controller, err := process.Start(bin, store, process.Options{
		RPS: archiveRate, WriteRPS: archiveRate, MemMB: quotaMB, TuningText: archivingTuning,
	})
	if err != nil {
		return nil, err
	}
	cost := &ArchivingCost{}
	if err := errors.Join(cost.measure(controller, ended), controller.Stop()); err != nil {
		return nil, err
	}
	cost.log()
	return cost, nil
}

// measure polls jobs until all but the latest records are archived, and takes the measurements.
func (c *ArchivingCost) measure(controller *process.Process, ended []archive.Entry) error {
	if _, err := controller.WaitHealthy(); err != nil {
		return err
	}
	startedAt := time.Now()
	left := len(ended)
	for left > maxKeptRecords {
		if time.Since(startedAt) > archiveTimeout {
			return fmt.Errorf("archiving timed out with %d records left", left)
		}
		time.Sleep(archivePollInterval)
		wrong, _ := pollRandomJobs(controller, ended, 2)
		c.Wrong, c.Polls = c.Wrong+wrong, c.Polls+4
		left, _ = controller.Store.CountKeys(endedJobsPrefix)
	}
	c.TookS = time.Since(startedAt).Seconds()
	left, _ = controller.Store.CountKeys(endedJobsPrefix)
	c.Jobs, c.Changes = len(ended)-left, controller.Store.Counters()["changed"]
	var bytes int
	c.Blocks, bytes = controller.Store.CountKeys(archive.BlockPrefix)
	c.PerJob = float64(c.Changes) / float64(c.Jobs)
	c.Beyond, c.BytesPerJob = c.PerJob-1, float64(bytes)/float64(c.Jobs)
	var err error
	_, c.PeakMB, err = controller.Usage()
	return err
}

func (c *ArchivingCost) log() {
	log.Printf(
		"archived %d jobs in %.0f s: %.3f writes/job, %.3f without the deletion of the record; "+
			"%d blocks, %.1f B/job; peak memory %.0f MB; %d of %d polls wrong",
		c.Jobs,
		c.TookS,
		c.PerJob,
		c.Beyond,
		c.Blocks,
		c.BytesPerJob,
		c.PeakMB,
		c.Wrong,
		c.Polls,
	)
}
