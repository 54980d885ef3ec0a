// Command dewlift runs a controller of the dewlift cluster scheduler.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"dewlift"
	"dewlift/audit"
	"dewlift/secure"
	"dewlift/settings"
	"dewlift/wire"
)

const version = "0.1.0"

func main() {
	if err := root().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "dewlift: "+err.Error())
		os.Exit(exitOf(err))
	}
}

// exitOf is the exit code of an error: 1 of a finding or a refusal, 2 of bad use and of all else.
func exitOf(err error) int {
	fault, no := (*audit.Fault)(nil), refusal("")
	if errors.As(err, &fault) || errors.As(err, &no) {
		return 1
	}
	return 2
}

// files are those that turn something on.
type files struct{ access, secure, booking string }

func root() *cobra.Command {
	var config, tuning string
	var on files
	me := &self{}
	cmd := &cobra.Command{
		Use: "dewlift", Short: "A cluster scheduler with collaborate-state", Args: cobra.NoArgs,
		SilenceUsage: true, SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return run(cmd.Context(), config, tuning, on)
		},
	}
	cmd.PersistentFlags().StringVar(&config, "config", "", "the platform's settings file (JSON)")
	cmd.PersistentFlags().StringVar(&tuning, "tuning", os.Getenv("DEWLIFT_TUNING"), "the operators' own settings (protobuf text format)")
	cmd.Flags().StringVar(&on.access, "access", os.Getenv("DEWLIFT_ACCESS"), "the site's first rights (protobuf text format)")
	cmd.Flags().StringVar(&on.secure, "tls", os.Getenv("DEWLIFT_TLS"), "files of certificates and keys (protobuf text format)")
	cmd.Flags().StringVar(&on.booking, "booking", os.Getenv("DEWLIFT_BOOKING"), "the site's first list of equipment that can be booked (protobuf text format)")
	me.flags(cmd.PersistentFlags())
	cmd.AddCommand(&cobra.Command{
		Use: "check", Short: "Check the settings", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if _, err := settings.Load(config); err != nil {
				return err
			}
			if _, err := settings.LoadTuning(tuning); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), "settings are valid")
			return nil
		},
	}, &cobra.Command{
		Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), "dewlift "+version) },
	}, jobCommand(me), snapshotCommand(&config, me), accessCommand(me), keyCommand(me), auditCommand(me), bookingCommand(me), settingsCommand())
	return cmd
}

func jobCommand(me *self) *cobra.Command {
	var server string
	job := &cobra.Command{Use: "job", Short: "Look at jobs"}
	get := &cobra.Command{
		Use: "get ID", Short: "Show a job and why its tasks stopped", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if !wire.ValidJobID(args[0]) {
				return fmt.Errorf("not a job id: %q", args[0])
			}
			r, err := me.ask(cmd.Context(), http.MethodGet, server, wire.PathJobs+"/"+args[0], nil)
			if err != nil {
				return err
			}
			if r.Err != nil {
				return r.Err
			}
			if r.Status != http.StatusOK {
				return fmt.Errorf("%s: status %d: %s", args[0], r.Status, r.Body)
			}
			var s wire.JobState
			if err := json.Unmarshal(r.Body, &s); err != nil {
				return fmt.Errorf("answer not understood: %w", err)
			}
			out := cmd.OutOrStdout()
			fmt.Fprintf(out, "%s: %s, %d done, %d running\n", s.ID, s.Stage, s.Done, s.Running)
			if s.AwaitsCount > 0 {
				fmt.Fprintf(out, "  waits for %d jobs: %s\n", s.AwaitsCount, strings.Join(s.Awaits, " "))
			}
			if s.CancelledBy != "" {
				fmt.Fprintf(out, "  cancelled with %s, which it needs\n", s.CancelledBy)
			}
			for _, w := range s.Reasons {
				fmt.Fprintf(out, "  task %d stopped on %s at %s: %s\n", w.Task, w.Machine,
					time.UnixMilli(w.AtMS).UTC().Format(time.RFC3339), w.Cause)
			}
			return nil
		},
	}
	get.Flags().StringVar(&server, "server", "127.0.0.1:8080", "address of a controller")
	job.AddCommand(get)
	return job
}

func run(ctx context.Context, config, tuning string, on files) error {
	if config == "" {
		return fmt.Errorf("--config FILE is needed")
	}
	p, err := settings.Load(config)
	if err != nil {
		return err
	}
	t, err := settings.LoadTuning(tuning)
	if err != nil {
		return err
	}
	level := slog.LevelInfo
	if s := os.Getenv("LOG_LEVEL"); s != "" {
		if err := level.UnmarshalText([]byte(s)); err != nil {
			return fmt.Errorf("LOG_LEVEL %q: want error, info or debug", s)
		}
	}
	// The share of a core is small: one thread of work, and memory kept under the quota.
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(p.Cluster.Quota.MemMB * 0.7 * (1 << 20)))
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	var g dewlift.Guards
	if on.access != "" {
		if g.Rights, err = loadAccess(on.access); err != nil {
			return err
		}
		if g.Audit, err = auditKeyOf(g.Rights, p); err != nil {
			return err
		}
	}
	if on.booking != "" {
		if g.Equipment, err = loadEquipment(on.booking); err != nil {
			return err
		}
	}
	if on.secure != "" {
		if g.Files, err = secure.Load(on.secure, log); err != nil {
			return err
		}
	}
	return dewlift.New(p, t, g, log).Run(ctx)
}
