package dewlift

import (
	"log/slog"
	"runtime"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// metrics gathers latencies between two lines of the log.
type metrics struct {
	mu          sync.Mutex
	txnLatency  *hdrhistogram.Histogram // a transaction, from sending to its answer
	gcCount     uint32                  // of garbage, until the last call
	turnLatency *hdrhistogram.Histogram // a turn of the core: what came in is decided
}

func newMetrics() *metrics {
	return &metrics{
		txnLatency:  hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 2),
		turnLatency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 2),
	}
}

func (f *metrics) recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	// Beyond the histogram's range nothing is recorded; a minute is far beyond any timeout.
	_ = h.RecordValue(max(1, d.Microseconds()))
}

// logSummary writes the latencies since the last call.
func (f *metrics) logSummary(log *slog.Logger, stats any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	args := []any{"stats", stats}
	for _, x := range []struct {
		name string
		h    *hdrhistogram.Histogram
	}{{"write", f.txnLatency}, {"decision", f.turnLatency}} {
		args = append(args, slog.Group(x.name, "n", x.h.TotalCount(), "p50_us", x.h.ValueAtQuantile(50),
			"p99_us", x.h.ValueAtQuantile(99), "max_us", x.h.Max()))
		x.h.Reset()
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	args = append(
		args,
		slog.Group(
			"memory",
			"live_mb",
			m.HeapAlloc>>20,
			"next_mb",
			m.NextGC>>20,
			"stacks_mb",
			m.StackInuse>>20,
			"all_mb",
			(m.Sys-m.HeapReleased)>>20,
			"collections",
			m.NumGC-f.gcCount,
			"routines",
			runtime.NumGoroutine(),
		),
	)
	f.gcCount = m.NumGC
	log.Info("figures", args...)
}
