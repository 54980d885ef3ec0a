// Package process runs the built program against the stand-in state service on loopback, for measurements. Each process
// is ended by its own id.
package process

import (
	"dewlift/internal/fakes"
	"dewlift/wire"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

const (
	// Share is what a controller has of a core; the processes here have a whole one.
	CoreShare      = 0.276
	healthyTimeout = 3 * time.Minute // for a process to be healthy
)

// Options are the settings of a site with one controller.
type Options struct {
	RPS, WriteRPS float64           // of the state service
	MemMB         float64           // that the controller may use
	TuningText    string            // the operators' own settings; "": the defaults
	Files         map[string]string // written to the process's folder
	Args          []string          // beside the settings; %DIR% stands for that folder
}

// Process is a controller's process and the stand-in that it uses.
type Process struct {
	Store       *fakes.Store
	Addr        string // of the controller
	StoreAddr   string // of the stand-in
	storeServer *http.Server
	cmd         *exec.Cmd
	exited      chan error
	dir         string
	startedAt   time.Time
}

// freeAddr is an address on loopback that nobody listens on: a process of its own can't be handed a listener.
func freeAddr() (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

// Start starts a controller.
func Start(bin string, s *fakes.Store, o Options) (*Process, error) {
	x := &Process{Store: s, exited: make(chan error, 1)}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	x.storeServer = &http.Server{Handler: s}
	go func() { _ = x.storeServer.Serve(ln) }()
	ports := make([]string, 3)
	for i := range ports { // free ones; the cloud's has nobody behind it
		if ports[i], err = freeAddr(); err != nil {
			return nil, err
		}
	}
	x.Addr, x.StoreAddr = ports[0], ln.Addr().String()
	if x.dir, err = os.MkdirTemp("", "dewlift-*"); err != nil {
		return nil, err
	}
	cfg := fmt.Sprintf(
		`{"node_name":"n0","zone":"a","serve_on":%q,"mesh_addr":%q,"peers":[],"services":{"cloud":%q,"state":%q},
		"cluster":{"count":1,"zones":["a"],"teams":[{"name":"t"}],"workers":{"report_s":6,"lease_s":36,"cancel_s":66},
		"state":{"rps":%v,"write_rps":%v,"value_kb":8,"txn_ops":24},"cloud":{"rps":4,"list_lag_s":5},"quota":{"core_share":%v,"mem_mb":%v,"fd_limit":3172},"time_bound_ms":5}}`,
		ports[0],
		ports[1],
		ports[2],
		ln.Addr().String(),
		o.RPS,
		o.WriteRPS,
		CoreShare,
		o.MemMB,
	)
	args := []string{"--config", filepath.Join(x.dir, "settings.json")}
	if err := os.WriteFile(args[1], []byte(cfg), 0o600); err != nil {
		return nil, err
	}
	if o.TuningText != "" {
		args = append(args, "--tuning", filepath.Join(x.dir, "tuning.textproto"))
		if err := os.WriteFile(args[3], []byte(o.TuningText), 0o600); err != nil {
			return nil, err
		}
	}
	for name, text := range o.Files {
		if err := os.WriteFile(filepath.Join(x.dir, name), []byte(strings.ReplaceAll(text, "%DIR%", x.dir)), 0o600); err != nil {
			return nil, err
		}
	}
	for _, a := range o.Args {
		args = append(args, strings.ReplaceAll(a, "%DIR%", x.dir))
	}
	logs, err := os.Create(filepath.Join(x.dir, "log"))
	if err != nil {
		return nil, err
	}
	defer logs.Close()
	x.cmd = exec.Command(bin, args...)
	x.cmd.Stderr = logs
	x.startedAt = time.Now()
	if err := x.cmd.Start(); err != nil {
		return nil, err
	}
	go func() { x.exited <- x.cmd.Wait() }()
	return x, nil
}

// Stop ends the process and the stand-in.
func (x *Process) Stop() error {
	if x.cmd.ProcessState == nil {
		_ = x.cmd.Process.Kill() // it may have ended by itself
		<-x.exited
	}
	return errors.Join(x.storeServer.Close(), os.RemoveAll(x.dir))
}

// WaitHealthy waits until the process can take requests.
func (x *Process) WaitHealthy() (time.Duration, error) {
	client := http.Client{Timeout: 2 * time.Second}
	for time.Since(x.startedAt) < healthyTimeout {
		select {
		case err := <-x.exited:
			return 0, fmt.Errorf("it ended: %w", err)
		case <-time.After(20 * time.Millisecond):
		}
		if resp, err := client.Get("http://" + x.Addr + wire.PathHealth); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return time.Since(x.startedAt), nil
			}
		}
	}
	return 0, fmt.Errorf("not healthy after %v", healthyTimeout)
}

// Usage is the processor time and the peak of memory of the process.
func (x *Process) Usage() (cpu time.Duration, peakMB float64, err error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", x.cmd.Process.Pid))
	if err != nil {
		return 0, 0, err
	}
	for line := range strings.Lines(string(raw)) {
		if v, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.ParseFloat(strings.Fields(v)[0], 64)
			if err != nil {
				return 0, 0, err
			}
			peakMB = kb / 1024
		}
	}
	raw, err = os.ReadFile(fmt.Sprintf("/proc/%d/stat", x.cmd.Process.Pid))
	if err != nil {
		return 0, 0, err
	}
	_, rest, _ := strings.Cut(string(raw), ") ")
	f := strings.Fields(rest)
	var ticks int64
	for _, s := range f[11:13] { // user and system time, in hundredths of a second
		v, err := strconv.ParseInt(s, 10, 64)
		if err != nil {
			return 0, 0, err
		}
		ticks += v
	}
	return time.Duration(ticks) * 10 * time.Millisecond, peakMB, nil
}

// Signal sends the process a signal.
func (x *Process) Signal(s os.Signal) error { return x.cmd.Process.Signal(s) }
