package dewlift

import (
	"log/slog"
	"runtime"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// metrics collects latencies between two log summaries. Its methods may be called concurrently.
type metrics struct {
	mu              sync.Mutex
	txnLatency      *hdrhistogram.Histogram // from sending a transaction to its response, in µs
	decisionLatency *hdrhistogram.Histogram // from an iteration's last input until its outputs are executed, in µs
	gcCount         uint32                  // garbage collections as of the last summary
}

const (
	// maxLatency is the highest latency that histograms can record. It exceeds all timeouts.
	maxLatency = time.Minute
	// histogramDigits is the precision of histograms in decimal digits.
	histogramDigits = 2
)

func newMetrics() *metrics {
	return &metrics{
		txnLatency:      hdrhistogram.New(1, maxLatency.Microseconds(), histogramDigits),
		decisionLatency: hdrhistogram.New(1, maxLatency.Microseconds(), histogramDigits),
	}
}

func (m *metrics) recordLatency(histogram *hdrhistogram.Histogram, latency time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = histogram.RecordValue(max(1, latency.Microseconds())) // fails only above maxLatency
}

// logSummary logs the latencies since the last call, the core's statistics and the memory usage.
func (m *metrics) logSummary(log *slog.Logger, stats any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	log.Info("metrics",
		"stats", stats,
		drainHistogram("write", m.txnLatency),
		drainHistogram("decision", m.decisionLatency),
		m.memoryGroup(),
	)
}

// drainHistogram returns a summary of a histogram for the log and resets the histogram.
func drainHistogram(name string, histogram *hdrhistogram.Histogram) slog.Attr {
	defer histogram.Reset()
	return slog.Group(name,
		"n", histogram.TotalCount(),
		"p50_us", histogram.ValueAtQuantile(50),
		"p99_us", histogram.ValueAtQuantile(99),
		"max_us", histogram.Max(),
	)
}

// memoryGroup returns the memory usage in MB, the garbage collections since the last summary and the number
// of goroutines.
func (m *metrics) memoryGroup() slog.Attr {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	collections := memory.NumGC - m.gcCount
	m.gcCount = memory.NumGC
	return slog.Group("memory",
		"live_mb", memory.HeapAlloc>>20,
		"next_mb", memory.NextGC>>20,
		"stacks_mb", memory.StackInuse>>20,
		"all_mb", (memory.Sys-memory.HeapReleased)>>20,
		"collections", collections,
		"routines", runtime.NumGoroutine(),
	)
}
