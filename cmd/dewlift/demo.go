package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"dewlift/core"
	"dewlift/core/jobrecord"
	"dewlift/internal/fakes"
	"dewlift/settings"
	"dewlift/wire"
)

const (
	demoNodes        = 3
	demoMachines     = 240             // for the whole run, since a machine that was scaled in is not reused
	demoRestartDelay = time.Second     // before a controller that exited is restarted
	demoStartTimeout = time.Minute     // for all controllers to become healthy
	demoBootTime     = 2 * time.Second // of a machine; also the heartbeat interval of the fake agents
)

// demoSite is a site on the loopback interface. The store, the cloud and the agents are fakes in this process, and
// each controller is a process of its own.
type demoSite struct {
	out            io.Writer
	outMu          sync.Mutex // guards out
	dir            string
	controllerArgs []string // arguments of every controller besides --config
	addrs          []string // addresses of the controllers for users
	running        sync.WaitGroup
}

func demoCommand(files *featureFiles, tuningFile *string) *cobra.Command {
	var logs string
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run a demo site on the loopback interface: three controllers and simulated services",
		Args:  cobra.NoArgs,
		Long: "Run three controllers, each a process of its own, with a simulated state service, cloud and workers. " +
			"Tasks run for their estimated time\n" +
			"and do nothing. A controller that exits is restarted. All state is lost when the demo ends.",
		Example: "  dewlift demo --booking deploy/booking.textproto",
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			d := &demoSite{out: cmd.OutOrStdout()}
			for flag, path := range map[string]string{
				"--tuning":  *tuningFile,
				"--access":  files.permissionsFile,
				"--tls":     files.tlsFile,
				"--booking": files.equipmentFile,
				"--lanes":   files.priorityClassesFile,
			} {
				if path == "" {
					continue
				}
				absolute, err := filepath.Abs(path)
				if err != nil {
					return err
				}
				d.controllerArgs = append(d.controllerArgs, flag, absolute)
			}
			if err := files.validate(*tuningFile); err != nil {
				return err
			}
			var err error
			if d.dir, err = os.MkdirTemp("", "dewlift-demo-*"); err != nil {
				return err
			}
			defer func() { _ = os.RemoveAll(d.dir) }() // leftovers in the temporary directory do no harm
			if logs == "" {
				logs = d.dir
			} else if err := os.MkdirAll(logs, 0o755); err != nil {
				return err
			}
			return d.run(ctx, logs)
		},
	}
	cmd.Flags().StringVar(&logs, "logs", "", "directory for the controllers' logs; without it, they are not kept")
	return cmd
}

func (d *demoSite) printLine(format string, args ...any) {
	d.outMu.Lock()
	defer d.outMu.Unlock()
	printf(d.out, format+"\n", args...)
}

// serve serves a handler on a free loopback port until the context ends, and returns its address.
func (d *demoSite) serve(ctx context.Context, h http.Handler) (string, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: h}
	context.AfterFunc(ctx, func() { _ = srv.Close() }) // the demo is ending
	d.running.Go(func() { _ = srv.Serve(ln) })
	return ln.Addr().String(), nil
}

// freeAddrs returns loopback addresses with free ports. The controllers open the listeners themselves, because not
// every operating system can pass a listener to a child process.
func freeAddrs(n int) ([]string, error) {
	var out []string
	for range n {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = ln.Close() }() // only the address is needed
		out = append(out, ln.Addr().String())
	}
	return out, nil
}

// run runs the site until the context ends.
func (d *demoSite) run(ctx context.Context, logs string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer d.running.Wait()
	defer cancel()
	machineType := wire.MachineType{
		Name:      "bench-8",
		CPUs:      8,
		MemoryGB:  32,
		Zones:     []string{"a", "b", "c"},
		BootS:     demoBootTime.Seconds(),
		Price:     1,
		SpotPrice: 0.4,
	}
	store := fakes.NewStore(
		fakes.Limits{RPS: 150, WriteRPS: 30, ValueBytes: 8 << 10, TxnOps: 24, PageItems: 500, PageKB: 256},
	)
	storeAddr, err := d.serve(ctx, store)
	if err != nil {
		return err
	}
	addrs, err := freeAddrs(2 * demoNodes)
	if err != nil {
		return err
	}
	d.addrs = addrs[:demoNodes]
	fleet := fakes.NewWorkers(demoMachines, machineType, d.addrs, demoBootTime, taskDescriptions(store))
	d.running.Go(func() { _ = fleet.Run(ctx) }) // a failure is visible: no machine boots
	cloudAddr, err := d.serve(ctx, fleet.CloudHandler())
	if err != nil {
		return err
	}
	for i := range demoNodes {
		platform := demoPlatform(i, addrs, machineType.Zones, storeAddr, cloudAddr)
		if err := d.startController(ctx, platform, logs); err != nil {
			return err
		}
	}
	if err := d.waitHealthy(ctx); err != nil {
		return err
	}
	d.printLine("ready http://%s", strings.Join(d.addrs, ",http://"))
	<-ctx.Done()
	return nil
}

// taskDescriptions returns a function that looks up the resources that a task requests and how long it runs. Real
// agents fetch the task themselves; the fake agents read the job record in the store.
func taskDescriptions(store *fakes.Store) func(task string) ([3]int64, time.Duration) {
	return func(task string) ([3]int64, time.Duration) {
		id, _, _ := wire.SplitTaskName(task)
		record, err := jobrecord.Decode(store.Value(core.KeyJob + id))
		if err != nil || record.Spec == nil {
			return [3]int64{}, time.Second // the job has ended
		}
		runtime := time.Duration(record.Spec.EstimatedRuntimeMS) * time.Millisecond
		if !record.Spec.Service {
			runtime = max(runtime, time.Second)
		}
		return record.Spec.Request, runtime
	}
}

// demoPlatform returns the platform settings of a controller. addrs holds the addresses of all controllers for users,
// followed by their mesh addresses.
func demoPlatform(node int, addrs, zones []string, storeAddr, cloudAddr string) *settings.Platform {
	platform := &settings.Platform{
		Name:     fmt.Sprintf("n%d", node),
		Zone:     zones[node%len(zones)],
		Listen:   addrs[node],
		MeshAddr: addrs[demoNodes+node],
	}
	platform.Services.State, platform.Services.Cloud = storeAddr, cloudAddr
	for peer := range demoNodes {
		if peer != node {
			platform.Peers = append(platform.Peers, settings.Peer{
				Name: fmt.Sprintf("n%d", peer),
				Zone: zones[peer%len(zones)],
				Addr: addrs[demoNodes+peer],
			})
		}
	}
	cluster := &platform.Cluster
	cluster.Count = demoNodes
	cluster.Zones = zones
	cluster.Teams = []settings.Team{{Name: "workshop"}, {Name: "packing", ReservedCPUs: 20, MaxCPUs: 40}}
	cluster.Workers.HeartbeatIntervalS = 2
	cluster.Workers.AgentLeaseS = 20
	cluster.Workers.CancelDeadlineS = 40
	cluster.TimeBoundMS = 5
	cluster.State.RPS = 150
	cluster.State.WriteRPS = 30
	cluster.State.ValueKB = 8
	cluster.State.TxnOps = 24
	cluster.Cloud.RPS = 4
	cluster.Cloud.ListLagS = 1
	cluster.Quota.FDLimit = 1000
	cluster.Quota.CoreShare = 0.25
	cluster.Quota.MemMB = 200
	return platform
}

// startController writes a controller's settings file and keeps the controller running until the context ends. The
// log file is closed after the controller has exited.
func (d *demoSite) startController(ctx context.Context, platform *settings.Platform, logs string) error {
	raw, err := json.Marshal(platform)
	if err != nil {
		return err
	}
	path := filepath.Join(d.dir, platform.Name+".json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(logs, platform.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	d.running.Go(func() {
		defer func() { _ = log.Close() }() // the controller, which writes it, has exited
		d.keepControllerRunning(ctx, platform, path, log)
	})
	return nil
}

// keepControllerRunning runs a controller until the context ends, and restarts it whenever it exits.
func (d *demoSite) keepControllerRunning(
	ctx context.Context,
	platform *settings.Platform,
	config string,
	log io.Writer,
) {
	self, err := os.Executable()
	if err != nil {
		d.printLine("controller %s can't be started: %v", platform.Name, err)
		return
	}
	for ctx.Err() == nil {
		cmd := exec.CommandContext(ctx, self, append([]string{"--config", config}, d.controllerArgs...)...)
		cmd.Stderr = log
		if err := cmd.Start(); err != nil {
			d.printLine("controller %s can't be started: %v", platform.Name, err)
			return
		}
		d.printLine("controller %s http://%s pid %d", platform.Name, platform.Listen, cmd.Process.Pid)
		err := cmd.Wait()
		if ctx.Err() == nil {
			d.printLine("controller %s ended: %v", platform.Name, err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(demoRestartDelay):
		}
	}
}

// waitHealthy waits until all controllers are healthy.
func (d *demoSite) waitHealthy(ctx context.Context) error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(demoStartTimeout); time.Now().Before(end); {
		healthy := 0
		for _, addr := range d.addrs {
			if resp, err := client.Get("http://" + addr + wire.PathHealth); err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					healthy++
				}
			}
		}
		if healthy == demoNodes {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(100 * time.Millisecond):
		}
	}
	return errors.New("the controllers did not become healthy; use --logs DIRECTORY to keep their logs")
}
