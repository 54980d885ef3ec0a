// Command fleet measures what a fleet costs its controllers: it runs controllers in this process,
// over real connections on loopback, with the stand-in state service and machines that do as the
// protocol says, and tells the processor time by what it went to. The share of the stand-ins is
// told apart in the profile (`go tool pprof`), as all run in one process.
package main

import (
	"bytes"
	"context"
	"dewlift"
	"dewlift/internal/fakes"
	"dewlift/settings"
	"dewlift/wire"
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
)

var (
	machineCount    = flag.Int("machines", 1000, "machines")
	controllerCount = flag.Int("controllers", 3, "controllers")
	serviceCount    = flag.Int("services", 250, "services of 8 tasks that are there from the start")
	arrayRate       = flag.Float64("arrays", 0.75, "arrays of 90 tasks that come a second; each task takes 40 s")
	measuredSeconds = flag.Int("seconds", 30, "of steady load that are measured")
	pollRate        = flag.Float64("polls", 100, "polls a second")
	cutZone         = flag.String("cut", "", "a zone that is cut off when the measured time begins")
	profileFile     = flag.String("profile", "fleet.prof", "file for the processor profile of the measured time")
)

func main() {
	log.SetFlags(0)
	flag.Parse()
	if err := run(); err != nil {
		log.Fatal("fleet: ", err)
	}
}

func listen() (net.Listener, error) { return net.Listen("tcp4", "127.0.0.1:0") }

func run() error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	store := fakes.NewStore(
		fakes.Limits{RPS: 150, WriteRPS: 30, ValueBytes: 8 << 10, TxnOps: 24, PageItems: 500, PageKB: 256},
	)
	kind := wire.MachineType{
		Name:      "x",
		CPUs:      32,
		MemoryGB:  128,
		Zones:     []string{"a", "b", "c"},
		BootS:     15,
		Price:     1,
		SpotPrice: 0.4,
	}
	store.SetMachineType(kind)
	sl, err := listen()
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(sl, store) }() // ends with the process
	cl, err := listen()
	if err != nil {
		return err
	}

	var addrs []string
	var users, peers []net.Listener
	for range *controllerCount {
		u, err := listen()
		if err != nil {
			return err
		}
		p, err := listen()
		if err != nil {
			return err
		}
		users, peers, addrs = append(users, u), append(peers, p), append(addrs, u.Addr().String())
	}
	fleet := fakes.NewWorkers(
		*machineCount,
		kind,
		addrs,
		6*time.Second,
		func(piece string) ([3]int64, time.Duration) {
			if id, _, _ := wire.SplitTaskName(piece); id < "wk-100000" {
				return [3]int64{1000, 0, 2200}, 0
			}
			return [3]int64{4000, 0, 8900}, 40 * time.Second
		},
	)
	go func() { _ = http.Serve(cl, fleet.CloudHandler()) }() // ends with the process
	for i := range users {
		p := &settings.Platform{Name: fmt.Sprintf("n%d", i), Zone: kind.Zones[i%3]}
		p.Services.State, p.Services.Cloud = sl.Addr().String(), cl.Addr().String()
		for k := range peers {
			if k != i {
				p.Peers = append(p.Peers, settings.Peer{Name: fmt.Sprintf("n%d", k), Addr: peers[k].Addr().String()})
			}
		}
		k := &p.Cluster
		k.Teams = []settings.Team{{Name: "t"}}
		k.Workers.HeartbeatIntervalS = 6
		k.Workers.AgentLeaseS = 36
		k.Workers.CancelDeadlineS = 66
		k.TimeBoundMS = 5
		k.State.RPS, k.State.WriteRPS, k.State.ValueKB, k.State.TxnOps = 150, 30, 8, 24
		k.Cloud.RPS, k.Cloud.ListLagS, k.Quota.FDLimit = 4, 5, 3172
		c := dewlift.New(
			p,
			settings.DefaultTuning(),
			dewlift.Options{},
			slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelInfo})),
		)
		go func() {
			if err := c.Serve(ctx, users[i], peers[i]); ctx.Err() == nil {
				log.Fatal("fleet: ", err)
			}
		}()
	}
	go func() {
		if err := fleet.Run(ctx); err != nil {
			log.Fatal("fleet: ", err)
		}
	}()
	time.Sleep(8 * time.Second)
	var accepted, refused, polled, late atomic.Int64
	u := jobClient{http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 100}}, addrs}
	var first sync.WaitGroup
	for i := range *serviceCount {
		first.Go(func() { u.submit(fmt.Sprintf("wk-%06d", i), true, 8, &accepted, &refused) })
		time.Sleep(30 * time.Millisecond)
	}
	first.Wait()
	next := 100_000
	go runAtRate(ctx, *arrayRate, func() {
		next++
		id := fmt.Sprintf("wk-%06d", next)
		go u.submit(id, false, 90, &accepted, &refused)
	})
	time.Sleep(45 * time.Second)
	go runAtRate(
		ctx,
		*pollRate,
		func() { go u.poll(fmt.Sprintf("wk-%06d", time.Now().UnixNano()%int64(*serviceCount)), &polled, &late) },
	)
	f, err := os.Create(*profileFile)
	if err != nil {
		return err
	}
	fleet.CutZone(*cutZone)
	before, missed := fleet.HeartbeatCounts()
	if err := pprof.StartCPUProfile(f); err != nil {
		return err
	}
	time.Sleep(time.Duration(*measuredSeconds) * time.Second)
	pprof.StopCPUProfile()
	after, failed := fleet.HeartbeatCounts()
	fmt.Printf(
		"%d machines, %d controllers: %d reports a second, %d in all failed, %d starts refused, %d accepted, %d refused, %d polls, %d late or refused\n",
		fleet.RentedCount(),
		*controllerCount,
		(after-before)/(*measuredSeconds),
		failed-missed,
		fleet.StartsRefused(),
		accepted.Load(),
		refused.Load(),
		polled.Load(),
		late.Load(),
	)
	return f.Close()
}

func runAtRate(ctx context.Context, rate float64, f func()) {
	t := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			f()
		}
	}
}

type jobClient struct {
	httpClient http.Client
	addrs      []string
}

func (u *jobClient) submit(id string, service bool, tasks int, accepted, refused *atomic.Int64) {
	job := fakes.JobRequest(id, "x")
	job["pieces"], job["cpus"], job["ram_gb"], job["heat"] = tasks, 4, 8.9, "high"
	if service {
		job["form"], job["firing_s"], job["heat"], job["cpus"], job["ram_gb"], job["spread"], job["borrowed"] = "daemon", 0, "critical", 1, 2.2, true, false
	}
	raw, err := json.Marshal(job)
	if err != nil {
		panic(err) // strings and numbers
	}
	for try := range 30 {
		status := u.doRequest(
			http.MethodPost,
			u.addrs[(int(time.Now().UnixNano())+try)%len(u.addrs)]+wire.PathJobs,
			raw,
		)
		if status == 200 || status == 201 {
			accepted.Add(1)
			return
		}
		refused.Add(1)
		time.Sleep(time.Second)
	}
}

func (u *jobClient) poll(id string, polled, late *atomic.Int64) {
	polled.Add(1)
	if u.doRequest(
		http.MethodGet,
		u.addrs[int(time.Now().UnixNano()>>8)%len(u.addrs)]+wire.PathJobs+"/"+id,
		nil,
	) != 200 {
		late.Add(1)
	}
}

func (u *jobClient) doRequest(method, url string, body []byte) int {
	req, err := http.NewRequest(method, "http://"+url, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	resp, err := u.httpClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body) // so that the connection is used again
	return resp.StatusCode
}
