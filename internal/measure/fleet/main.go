// Command fleet measures the load that many machines put on their controllers. It runs several controllers in this
// process over loopback connections, with a fake store and fake machines whose agents follow the protocol, and writes
// a CPU profile. The fakes run in the same process; `go tool pprof` shows their cost separately.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"log"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime/pprof"
	"sync"
	"sync/atomic"
	"time"

	"dewlift"
	"dewlift/internal/fakes"
	"dewlift/settings"
	"dewlift/wire"
)

var (
	machineCount    = flag.Int("machines", 1000, "machines")
	controllerCount = flag.Int("controllers", 3, "controllers")
	serviceCount    = flag.Int("services", 250, "number of services with 8 tasks each, submitted at the start")
	arrayRate       = flag.Float64("arrays", 0.75, "arrays of 90 tasks submitted per second; each task runs for 40 s")
	measuredSeconds = flag.Int("seconds", 30, "duration of the measurement under steady load, in seconds")
	pollRate        = flag.Float64("polls", 100, "polls per second")
	partitionedZone = flag.String("cut", "", "zone to partition when the measurement begins")
	profileFile     = flag.String("profile", "fleet.prof", "output file for the CPU profile of the measurement")
)

func main() {
	log.SetFlags(0)
	flag.Parse()
	if err := run(); err != nil {
		log.Fatal("fleet: ", err)
	}
}

const (
	arrayTaskDuration     = 40 * time.Second
	heartbeatInterval     = 6 * time.Second
	shardAcquisitionTime  = 8 * time.Second       // until the controllers own their shards
	serviceSubmitInterval = 30 * time.Millisecond // between submissions of services
	warmUpTime            = 45 * time.Second      // of arrays and their tasks, before the measurement
	firstArrayNumber      = 100_000               // services have lower numbers
	maxSubmitAttempts     = 30
)

// storeLimits are the limits that the fake store enforces and the controllers are configured with.
var storeLimits = fakes.Limits{
	RPS: 150, WriteRPS: 30, ValueBytes: 8 << 10, TxnOps: 24, PageItems: 500, PageKB: 256,
}

var machineType = wire.MachineType{
	Name:      "x",
	CPUs:      32,
	MemoryGB:  128,
	Zones:     []string{"a", "b", "c"},
	BootS:     15,
	Price:     1,
	SpotPrice: 0.4,
}

// listen listens on a free loopback port.
func listen() (net.Listener, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return listener, nil
}

// serveUntilExit serves requests in the background until the program exits.
func serveUntilExit(handler http.Handler) (addr string, err error) {
	listener, err := listen()
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String(), nil
}

// controllerListeners are the listeners of one controller.
type controllerListeners struct{ users, peers net.Listener }

// listenForControllers returns listeners for all controllers.
func listenForControllers(count int) (listeners []controllerListeners, err error) {
	for range count {
		users, err := listen()
		if err != nil {
			return nil, err
		}
		peers, err := listen()
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, controllerListeners{users, peers})
	}
	return listeners, nil
}

// taskShape returns the resources that a task requests and its run time, which is 0 for services: their tasks run
// until they are stopped.
func taskShape(task string) (request [3]int64, duration time.Duration) {
	if id, _, _ := wire.SplitTaskName(task); id < jobID(firstArrayNumber) {
		return [3]int64{1000, 0, 2200}, 0
	}
	return [3]int64{4000, 0, 8900}, arrayTaskDuration
}

func jobID(number int) string { return fmt.Sprintf("wk-%06d", number) }

// run starts the store, machines, controllers and load, and takes the measurement.
func run() error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	store := fakes.NewStore(storeLimits)
	store.SetMachineType(machineType)
	storeAddr, err := serveUntilExit(store)
	if err != nil {
		return err
	}
	listeners, err := listenForControllers(*controllerCount)
	if err != nil {
		return err
	}
	var addrs []string
	for _, l := range listeners {
		addrs = append(addrs, l.users.Addr().String())
	}
	workers := fakes.NewWorkers(*machineCount, machineType, addrs, heartbeatInterval, taskShape)
	cloudAddr, err := serveUntilExit(workers.CloudHandler())
	if err != nil {
		return err
	}
	for i := range listeners {
		startController(ctx, i, listeners, storeAddr, cloudAddr)
	}
	go func() {
		if err := workers.Run(ctx); err != nil {
			log.Fatal("fleet: ", err)
		}
	}()
	time.Sleep(shardAcquisitionTime)
	transport := &http.Transport{MaxIdleConnsPerHost: 100}
	client := &jobClient{httpClient: http.Client{Timeout: 5 * time.Second, Transport: transport}, addrs: addrs}
	client.applyLoad(ctx)
	return measure(workers, client)
}

// startController starts a controller in this process. If the controller fails, the program exits.
func startController(ctx context.Context, i int, listeners []controllerListeners, storeAddr, cloudAddr string) {
	platform := &settings.Platform{
		Name: fmt.Sprintf("n%d", i),
		Zone: machineType.Zones[i%len(machineType.Zones)],
	}
	platform.Services.State, platform.Services.Cloud = storeAddr, cloudAddr
	for k := range listeners {
		if k != i {
			peer := settings.Peer{Name: fmt.Sprintf("n%d", k), Addr: listeners[k].peers.Addr().String()}
			platform.Peers = append(platform.Peers, peer)
		}
	}
	cluster := &platform.Cluster
	cluster.Teams = []settings.Team{{Name: "t"}}
	cluster.Workers.HeartbeatIntervalS = heartbeatInterval.Seconds()
	cluster.Workers.AgentLeaseS, cluster.Workers.CancelDeadlineS = 36, 66
	cluster.TimeBoundMS = 5
	cluster.State.RPS, cluster.State.WriteRPS = storeLimits.RPS, storeLimits.WriteRPS
	cluster.State.ValueKB, cluster.State.TxnOps = 8, storeLimits.TxnOps
	cluster.Cloud.RPS, cluster.Cloud.ListLagS = 4, 5
	cluster.Quota.FDLimit = 3172
	logger := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelInfo}))
	controller := dewlift.New(platform, settings.DefaultTuning(), dewlift.Options{}, logger)
	go func() {
		if err := controller.Serve(ctx, listeners[i].users, listeners[i].peers); ctx.Err() == nil {
			log.Fatal("fleet: ", err)
		}
	}()
}

// measure profiles the controllers under steady load and prints the event counts.
func measure(workers *fakes.Workers, client *jobClient) error {
	profile, err := os.Create(*profileFile)
	if err != nil {
		return fmt.Errorf("create profile: %w", err)
	}
	workers.PartitionZone(*partitionedZone)
	ackedBefore, failedBefore := workers.HeartbeatCounts()
	if err := pprof.StartCPUProfile(profile); err != nil {
		return fmt.Errorf("start profile: %w", err)
	}
	time.Sleep(time.Duration(*measuredSeconds) * time.Second)
	pprof.StopCPUProfile()
	acked, failed := workers.HeartbeatCounts()
	fmt.Printf(
		"%d machines, %d controllers: %d heartbeats/s, %d heartbeats failed, %d starts refused, %d jobs accepted, "+
			"%d submissions refused, %d polls, %d polls failed\n",
		workers.ProvisionedCount(),
		*controllerCount,
		(acked-ackedBefore)/(*measuredSeconds),
		failed-failedBefore,
		workers.StartsRefused(),
		client.accepted.Load(),
		client.refused.Load(),
		client.polls.Load(),
		client.failedPolls.Load(),
	)
	return profile.Close()
}

// runAtRate calls a function rate times per second until the context ends.
func runAtRate(ctx context.Context, rate float64, call func()) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			call()
		}
	}
}

// jobClient simulates all users: it submits and polls jobs and counts the outcomes.
type jobClient struct {
	httpClient                            http.Client
	addrs                                 []string // of the controllers
	accepted, refused, polls, failedPolls atomic.Int64
}

// applyLoad submits all services, then submits arrays and, after the warm-up, polls services at constant rates until
// the context ends. It returns when the warm-up is over.
func (c *jobClient) applyLoad(ctx context.Context) {
	var services sync.WaitGroup
	for i := range *serviceCount {
		services.Go(func() { c.submit(serviceRequest(jobID(i))) })
		time.Sleep(serviceSubmitInterval)
	}
	services.Wait()
	next := firstArrayNumber
	go runAtRate(ctx, *arrayRate, func() {
		next++
		request := arrayRequest(jobID(next))
		go c.submit(request)
	})
	time.Sleep(warmUpTime)
	go runAtRate(ctx, *pollRate, func() {
		number := int(time.Now().UnixNano() % int64(*serviceCount))
		go c.poll(jobID(number))
	})
}

// arrayRequest returns the submission of a job array.
func arrayRequest(id string) map[string]any {
	request := fakes.JobRequest(id, "x")
	request["pieces"], request["cpus"], request["ram_gb"], request["heat"] = 90, 4, 8.9, "high"
	return request
}

// serviceRequest returns the submission of a service.
func serviceRequest(id string) map[string]any {
	request := fakes.JobRequest(id, "x")
	request["pieces"], request["cpus"], request["ram_gb"], request["heat"] = 8, 1, 2.2, "critical"
	request["form"], request["firing_s"], request["spread"], request["borrowed"] = "daemon", 0, true, false
	return request
}

// submit submits a job until it is accepted, at most maxSubmitAttempts times.
func (c *jobClient) submit(request map[string]any) {
	raw, err := json.Marshal(request)
	if err != nil {
		panic(err) // strings and numbers always marshal
	}
	for attempt := range maxSubmitAttempts {
		addr := c.addrs[(int(time.Now().UnixNano())+attempt)%len(c.addrs)]
		status := c.doRequest(http.MethodPost, addr+wire.PathJobs, raw)
		if status == http.StatusOK || status == http.StatusCreated {
			c.accepted.Add(1)
			return
		}
		c.refused.Add(1)
		time.Sleep(time.Second)
	}
}

func (c *jobClient) poll(id string) {
	c.polls.Add(1)
	addr := c.addrs[int(time.Now().UnixNano()>>8)%len(c.addrs)]
	if c.doRequest(http.MethodGet, addr+wire.PathJobs+"/"+id, nil) != http.StatusOK {
		c.failedPolls.Add(1)
	}
}

// doRequest sends a request and returns the response status, or 0 if there is no response.
func (c *jobClient) doRequest(method, url string, body []byte) int {
	request, err := http.NewRequest(method, "http://"+url, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	response, err := c.httpClient.Do(request)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body) // a connection is reused only if the body was read
	_ = response.Body.Close()
	return response.StatusCode
}
