// Package process runs the built program as a child process against the fake store on loopback, for measurements.
// It owns the child process, its working folder and the fake store's listener, and kills only processes that it
// started.
package process

import (
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

	"dewlift/internal/fakes"
	"dewlift/wire"
)

const (
	// CoreShare is the share of a core that a controller has in production. A process that Start starts has a whole
	// core.
	CoreShare      = 0.276
	healthyTimeout = 3 * time.Minute // from the start of a process until it must be healthy
	healthInterval = 20 * time.Millisecond
	healthTimeout  = 2 * time.Second       // of one health request
	clockTick      = 10 * time.Millisecond // unit of CPU time in /proc
	dirPlaceholder = "%DIR%"
)

// Options are the settings of a cluster with one controller.
type Options struct {
	RPS, WriteRPS float64           // store limits in the controller's settings, in requests and writes per second
	MemMB         float64           // memory quota of the controller
	TuningText    string            // the operators' settings; "" selects the defaults
	Files         map[string]string // contents by file name; %DIR% expands to the process's folder
	Args          []string          // in addition to the settings flags; %DIR% expands to the process's folder
}

// Process is a running controller and the fake store that it uses.
type Process struct {
	Store       *fakes.Store
	Addr        string // of the controller
	StoreAddr   string // of the fake store
	storeServer *http.Server
	cmd         *exec.Cmd
	exited      chan error // receives the result of cmd.Wait once
	dir         string
	startedAt   time.Time
}

// freeAddr returns a loopback address that nothing listens on. A child process binds its own listener, so it gets an
// address rather than an open listener.
func freeAddr() (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("find free port: %w", err)
	}
	return listener.Addr().String(), listener.Close()
}

// Start starts the fake store and a controller that uses it. Stop ends both.
func Start(bin string, store *fakes.Store, options Options) (*Process, error) {
	p := &Process{Store: store, exited: make(chan error, 1)}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for store: %w", err)
	}
	p.storeServer = &http.Server{Handler: store}
	go func() { _ = p.storeServer.Serve(listener) }() // ends with Stop
	p.StoreAddr = listener.Addr().String()
	if p.dir, err = os.MkdirTemp("", "dewlift-*"); err != nil {
		return nil, fmt.Errorf("create folder of process: %w", err)
	}
	args, err := p.writeFiles(options)
	if err != nil {
		return nil, err
	}
	if err := p.startProgram(bin, args); err != nil {
		return nil, err
	}
	return p, nil
}

// writeFiles writes the settings and the files of options to the process's folder and returns the program's arguments.
func (p *Process) writeFiles(options Options) (args []string, err error) {
	platform, err := p.platformSettings(options)
	if err != nil {
		return nil, err
	}
	files := map[string]string{"settings.json": platform}
	args = []string{"--config", filepath.Join(p.dir, "settings.json")}
	if options.TuningText != "" {
		files["tuning.textproto"] = options.TuningText
		args = append(args, "--tuning", filepath.Join(p.dir, "tuning.textproto"))
	}
	for name, text := range options.Files {
		files[name] = strings.ReplaceAll(text, dirPlaceholder, p.dir)
	}
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(p.dir, name), []byte(text), 0o600); err != nil {
			return nil, fmt.Errorf("write file of process: %w", err)
		}
	}
	for _, arg := range options.Args {
		args = append(args, strings.ReplaceAll(arg, dirPlaceholder, p.dir))
	}
	return args, nil
}

// platformSettings picks free addresses for the controller and returns the platform settings as JSON.
func (p *Process) platformSettings(options Options) (string, error) {
	var addrs [3]string // of the controller, its mesh, and a cloud that nothing serves
	for i := range addrs {
		var err error
		if addrs[i], err = freeAddr(); err != nil {
			return "", err
		}
	}
	p.Addr = addrs[0]
	return fmt.Sprintf(
		`{"node_name":"n0","zone":"a","serve_on":%q,"mesh_addr":%q,"peers":[],"services":{"cloud":%q,"state":%q},
		"cluster":{"count":1,"zones":["a"],"teams":[{"name":"t"}],"workers":{"report_s":6,"lease_s":36,"cancel_s":66},
		"state":{"rps":%v,"write_rps":%v,"value_kb":8,"txn_ops":24},"cloud":{"rps":4,"list_lag_s":5},`+
			`"quota":{"core_share":%v,"mem_mb":%v,"fd_limit":3172},"time_bound_ms":5}}`,
		addrs[0], addrs[1], addrs[2], p.StoreAddr, options.RPS, options.WriteRPS, CoreShare, options.MemMB,
	), nil
}

// startProgram starts the program, which logs to a file in the process's folder.
func (p *Process) startProgram(bin string, args []string) error {
	logs, err := os.Create(filepath.Join(p.dir, "log"))
	if err != nil {
		return fmt.Errorf("create log file: %w", err)
	}
	p.cmd = exec.Command(bin, args...)
	p.cmd.Stderr = logs
	p.startedAt = time.Now()
	err = p.cmd.Start()
	if closeErr := logs.Close(); err == nil && closeErr != nil { // the child process has its own descriptor
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
		return fmt.Errorf("close log file: %w", closeErr)
	}
	if err != nil {
		return fmt.Errorf("start %s: %w", bin, err)
	}
	go func() { p.exited <- p.cmd.Wait() }()
	return nil
}

// Stop kills the process, closes the fake store and removes the process's folder.
func (p *Process) Stop() error {
	if p.cmd.ProcessState == nil {
		_ = p.cmd.Process.Kill() // fails if the process has exited already
		<-p.exited
	}
	return errors.Join(p.storeServer.Close(), os.RemoveAll(p.dir))
}

// WaitHealthy waits until the process is healthy and returns the time since its start.
func (p *Process) WaitHealthy() (time.Duration, error) {
	client := http.Client{Timeout: healthTimeout}
	for time.Since(p.startedAt) < healthyTimeout {
		select {
		case err := <-p.exited:
			return 0, fmt.Errorf("process exited: %w", err)
		case <-time.After(healthInterval):
		}
		if response, err := client.Get("http://" + p.Addr + wire.PathHealth); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return time.Since(p.startedAt), nil
			}
		}
	}
	return 0, fmt.Errorf("process is not healthy after %v", healthyTimeout)
}

// Usage returns the CPU time and the peak resident memory of the process.
func (p *Process) Usage() (cpu time.Duration, peakMB float64, err error) {
	if peakMB, err = p.peakMemoryMB(); err != nil {
		return 0, 0, err
	}
	cpu, err = p.cpuTime()
	return cpu, peakMB, err
}

// peakMemoryMB returns the peak resident memory, or 0 if /proc does not report it.
func (p *Process) peakMemoryMB() (float64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0, fmt.Errorf("read memory use of process: %w", err)
	}
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.ParseFloat(strings.Fields(value)[0], 64)
			if err != nil {
				return 0, fmt.Errorf("read memory use of process: %w", err)
			}
			return kb / 1024, nil
		}
	}
	return 0, nil
}

// cpuTime returns the sum of user and system time.
func (p *Process) cpuTime() (time.Duration, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0, fmt.Errorf("read CPU time of process: %w", err)
	}
	_, rest, _ := strings.Cut(string(stat), ") ") // skips the program's name, which may contain spaces
	var ticks int64
	for _, field := range strings.Fields(rest)[11:13] { // utime and stime
		value, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return 0, fmt.Errorf("read CPU time of process: %w", err)
		}
		ticks += value
	}
	return time.Duration(ticks) * clockTick, nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(signal os.Signal) error { return p.cmd.Process.Signal(signal) }
