package dewlift

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"dewlift/internal/fakes"
	"dewlift/settings"
	"dewlift/wire"
)

// startControllerWithAgents runs a controller with a store, a cloud and agents until the test ends. taskDuration is the
// run time of each task.
func startControllerWithAgents(t *testing.T, taskDuration time.Duration) (server string, agents *fakes.Workers) {
	t.Helper()
	_, store := startStore(t, fakes.Limits{ValueBytes: 8192, TxnOps: 12, PageItems: 500})
	users, peers := listenLoopback(t), listenLoopback(t)
	platform := testPlatform(users.Addr().String(), peers.Addr().String(), store)
	platform.Cluster.Workers.HeartbeatIntervalS = 1
	platform.Cluster.Workers.AgentLeaseS = 6

	machineType := wire.MachineType{Name: "x", CPUs: 4, MemoryGB: 8, Zones: []string{"a"}, BootS: 2}
	machineType.Price, machineType.SpotPrice = 1, 1
	agents = fakes.NewWorkers(4, machineType, []string{platform.Listen}, time.Second,
		func(string) ([3]int64, time.Duration) { return [3]int64{1000, 0, 1000}, taskDuration })
	cloud := httptest.NewServer(agents.CloudHandler())
	t.Cleanup(cloud.Close)
	platform.Services.Cloud = strings.TrimPrefix(cloud.URL, "http://")

	controller := New(platform, settings.DefaultTuning(), Options{}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 2)
	go func() { ended <- agents.Run(ctx) }()
	go func() { ended <- controller.Serve(ctx, users, peers) }()
	t.Cleanup(func() {
		cancel()
		for range cap(ended) {
			if err := <-ended; err != nil && !errors.Is(err, context.Canceled) {
				t.Error(err)
			}
		}
	})
	return platform.Listen, agents
}

// Over real connections too, a late copy of an answered start command must not start an attempt that was cleared.
func TestCopiesOfCommandsOverHTTPStartNothingAgain(t *testing.T) {
	const (
		jobs         = 12
		maxCopyDelay = 10 * time.Second
	)
	server, agents := startControllerWithAgents(t, 300*time.Millisecond)
	agents.CopyCommands(maxCopyDelay)
	for i := range jobs {
		id := fmt.Sprintf("wk-%06d", i)
		eventually(t, "accepted", func() bool {
			status := statusAs(t, nil, "POST", "http://"+server+wire.PathJobs, fakes.JobRequest(id, "c"))
			return status == 200 || status == 201
		})
	}
	eventually(t, "all cleared", func() bool { return agents.CommandCounts().Cleared >= jobs })
	time.Sleep(maxCopyDelay / 2) // for copies that are still on their way
	counts := agents.CommandCounts()
	if counts.Copies == 0 || counts.StartedAgain != 0 {
		t.Errorf("%+v, want copies and no attempt that started again", counts)
	}
}
