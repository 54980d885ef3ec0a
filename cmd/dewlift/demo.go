package main

import (
	"context"
	"dewlift/core"
	"dewlift/core/jobrecord"
	"dewlift/internal/fakes"
	"dewlift/settings"
	"dewlift/wire"
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
)

const (
	demoNodes        = 3
	demoMachines     = 240 // over the demo's life: one that was returned does not come back
	demoRestartDelay = time.Second
	demoStartTimeout = time.Minute // until all serve
)

// demoSite is a site on loopback: the stand-ins in this process, and a process for each controller.
type demoSite struct {
	out            io.Writer
	outMu          sync.Mutex // of out
	dir            string
	controllerArgs []string // of a controller, beside its settings
	addrs          []string
	running        sync.WaitGroup
}

func demoCommand(on *featureFiles, tuning *string) *cobra.Command {
	var logs string
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Serve a site on loopback to try dewlift on: three controllers around stand-ins of all else",
		Args:  cobra.NoArgs,
		Long: "Three controllers, each a process of this program, around stand-ins of the state service, the cloud and the workers. Tasks take their\n" +
			"estimated time and do nothing. A controller that ends is started again. All is gone when the demo ends.",
		Example: "  dewlift demo --booking deploy/booking.textproto",
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			d := &demoSite{out: cmd.OutOrStdout()}
			for flag, path := range map[string]string{
				"--tuning":  *tuning,
				"--access":  on.permissionsFile,
				"--tls":     on.tlsFile,
				"--booking": on.equipmentFile,
				"--lanes":   on.priorityClassesFile,
			} {
				if path == "" {
					continue
				}
				whole, err := filepath.Abs(path)
				if err != nil {
					return err
				}
				d.controllerArgs = append(d.controllerArgs, flag, whole)
			}
			if err := on.validate(*tuning); err != nil {
				return err
			}
			var err error
			if d.dir, err = os.MkdirTemp("", "dewlift-demo-*"); err != nil {
				return err
			}
			defer os.RemoveAll(d.dir)
			if logs == "" {
				logs = d.dir
			} else if err := os.MkdirAll(logs, 0o755); err != nil {
				return err
			}
			return d.run(ctx, logs)
		},
	}
	cmd.Flags().StringVar(&logs, "logs", "", "folder for the controllers' logs; none: they are not kept")
	return cmd
}

func (d *demoSite) printLine(format string, args ...any) {
	d.outMu.Lock()
	defer d.outMu.Unlock()
	fmt.Fprintf(d.out, format+"\n", args...)
}

// serve has a handler answer on a free address of loopback until the context ends.
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

// freeAddrs are addresses on loopback that nobody listens on: a process can't be handed a listener on every system.
func freeAddrs(n int) ([]string, error) {
	var out []string
	for range n {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer ln.Close()
		out = append(out, ln.Addr().String())
	}
	return out, nil
}

func (d *demoSite) run(ctx context.Context, logs string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer d.running.Wait()
	defer cancel()
	kind := wire.MachineType{
		Name:      "bench-8",
		CPUs:      8,
		MemoryGB:  32,
		Zones:     []string{"a", "b", "c"},
		BootS:     2,
		Price:     1,
		SpotPrice: 0.4,
	}
	store := fakes.NewStore(
		fakes.Limits{RPS: 150, WriteRPS: 30, ValueBytes: 8 << 10, TxnOps: 24, PageItems: 500, PageKB: 256},
	)
	state, err := d.serve(ctx, store)
	if err != nil {
		return err
	}
	addrs, err := freeAddrs(2 * demoNodes)
	if err != nil {
		return err
	}
	d.addrs = addrs[:demoNodes]
	// A worker fetches a job's description by itself; here from where it was stored.
	fleet := fakes.NewWorkers(
		demoMachines,
		kind,
		d.addrs,
		2*time.Second,
		func(piece string) ([3]int64, time.Duration) {
			id, _, _ := wire.SplitTaskName(piece)
			r, err := jobrecord.Decode(store.Value(core.KeyJob + id))
			if err != nil || r.Spec == nil {
				return [3]int64{}, time.Second // its job is over
			}
			run := time.Duration(r.Spec.EstimatedRuntimeMS) * time.Millisecond
			if !r.Spec.Service {
				run = max(run, time.Second)
			}
			return r.Spec.Request, run
		},
	)
	d.running.Go(func() { _ = fleet.Run(ctx) }) // without it, nothing can be rented, which shows
	cloud, err := d.serve(ctx, fleet.CloudHandler())
	if err != nil {
		return err
	}
	for i := range demoNodes {
		p := &settings.Platform{
			Name:     fmt.Sprintf("n%d", i),
			Zone:     kind.Zones[i%3],
			Listen:   addrs[i],
			MeshAddr: addrs[demoNodes+i],
		}
		p.Services.State, p.Services.Cloud = state, cloud
		for k := range demoNodes {
			if k != i {
				p.Peers = append(
					p.Peers,
					settings.Peer{Name: fmt.Sprintf("n%d", k), Zone: kind.Zones[k%3], Addr: addrs[demoNodes+k]},
				)
			}
		}
		k := &p.Cluster
		k.Count, k.Zones, k.Teams = demoNodes, kind.Zones, []settings.Team{
			{Name: "workshop"},
			{Name: "packing", ReservedCPUs: 20, MaxCPUs: 40},
		}
		k.Workers.HeartbeatIntervalS = 2
		k.Workers.AgentLeaseS = 20
		k.Workers.CancelDeadlineS = 40
		k.TimeBoundMS = 5
		k.State.RPS, k.State.WriteRPS, k.State.ValueKB, k.State.TxnOps = 150, 30, 8, 24
		k.Cloud.RPS, k.Cloud.ListLagS, k.Quota.FDLimit, k.Quota.CoreShare, k.Quota.MemMB = 4, 1, 1000, 0.25, 200
		raw, err := json.Marshal(p)
		if err != nil {
			return err
		}
		path := filepath.Join(d.dir, p.Name+".json")
		if err := os.WriteFile(path, raw, 0o600); err != nil {
			return err
		}
		log, err := os.OpenFile(filepath.Join(logs, p.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return err
		}
		defer log.Close()
		d.running.Go(func() { d.keepControllerRunning(ctx, p, path, log) })
	}
	if err := d.waitHealthy(ctx); err != nil {
		return err
	}
	d.printLine("ready http://%s", strings.Join(d.addrs, ",http://"))
	<-ctx.Done()
	return nil
}

// keepControllerRunning runs a controller, and starts it again when it ends.
func (d *demoSite) keepControllerRunning(ctx context.Context, p *settings.Platform, config string, log io.Writer) {
	self, err := os.Executable()
	if err != nil {
		d.printLine("controller %s can't be started: %v", p.Name, err)
		return
	}
	for ctx.Err() == nil {
		cmd := exec.CommandContext(ctx, self, append([]string{"--config", config}, d.controllerArgs...)...)
		cmd.Stderr = log
		if err := cmd.Start(); err != nil {
			d.printLine("controller %s can't be started: %v", p.Name, err)
			return
		}
		d.printLine("controller %s http://%s pid %d", p.Name, p.Listen, cmd.Process.Pid)
		err := cmd.Wait()
		if ctx.Err() == nil {
			d.printLine("controller %s ended: %v", p.Name, err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(demoRestartDelay):
		}
	}
}

// waitHealthy waits until all controllers serve.
func (d *demoSite) waitHealthy(ctx context.Context) error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(demoStartTimeout); time.Now().Before(end); {
		up := 0
		for _, a := range d.addrs {
			if resp, err := client.Get("http://" + a + wire.PathHealth); err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					up++
				}
			}
		}
		if up == demoNodes {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(100 * time.Millisecond):
		}
	}
	return errors.New("the controllers do not serve; --logs FOLDER keeps what they say")
}
