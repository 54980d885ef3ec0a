// Command dewlift runs a controller of the dewlift cluster scheduler.
package main

import (
	"context"
	"dewlift"
	"dewlift/audit"
	"dewlift/settings"
	"dewlift/tlsconfig"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"runtime"
	"runtime/debug"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

const version = "0.1.0"

// memoryLimitShare is the part of the memory that may be used which the runtime keeps to; the rest
// is for what it does not count, and for moments in which more comes in than it collects. With 0.8,
// collections were fewer, and a leader of a full fleet ended in the runtime on one day.
const memoryLimitShare = 0.7

func main() {
	if err := rootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "dewlift: "+err.Error())
		os.Exit(exitCode(err))
	}
}

// exitCode is the exit code of an error: 1 of a finding or a refusal, 2 of bad use and of all else.
func exitCode(err error) int {
	fault, no := (*audit.Fault)(nil), refusedError("")
	if errors.As(err, &fault) || errors.As(err, &no) {
		return 1
	}
	return 2
}

// featureFiles are those that turn something on.
type featureFiles struct{ permissionsFile, tlsFile, equipmentFile, priorityClassesFile string }

// validate reads all files that are named, and the operators' own settings.
func (on *featureFiles) validate(tuning string) error {
	if _, err := settings.LoadTuning(tuning); err != nil {
		return err
	}
	if on.permissionsFile != "" {
		if _, err := loadPermissions(on.permissionsFile); err != nil {
			return err
		}
	}
	if on.priorityClassesFile != "" {
		if _, err := loadPriorityClasses(on.priorityClassesFile); err != nil {
			return err
		}
	}
	if on.equipmentFile != "" {
		if _, err := loadEquipment(on.equipmentFile); err != nil {
			return err
		}
	}
	return nil
}

// addFlags are those that name the files.
func (on *featureFiles) addFlags(f *pflag.FlagSet) {
	f.StringVar(
		&on.permissionsFile,
		"access",
		os.Getenv("DEWLIFT_ACCESS"),
		"the site's first rights (protobuf text format)",
	)
	f.StringVar(&on.tlsFile, "tls", os.Getenv("DEWLIFT_TLS"), "files of certificates and keys (protobuf text format)")
	f.StringVar(
		&on.priorityClassesFile,
		"lanes",
		os.Getenv("DEWLIFT_LANES"),
		"the site's first list of lanes (protobuf text format)",
	)
	f.StringVar(
		&on.equipmentFile,
		"booking",
		os.Getenv("DEWLIFT_BOOKING"),
		"the site's first list of equipment that can be booked (protobuf text format)",
	)
}

func rootCommand() *cobra.Command {
	var config, tuning string
	var on featureFiles
	me := &clientIdentity{}
	cmd := &cobra.Command{
		Use: "dewlift", Short: "A cluster scheduler with collaborate-state", Args: cobra.NoArgs,
		SilenceUsage: true, SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runController(cmd.Context(), config, tuning, on)
		},
	}
	cmd.PersistentFlags().StringVar(&config, "config", "", "the platform's settings file (JSON)")
	cmd.PersistentFlags().
		StringVar(&tuning, "tuning", os.Getenv("DEWLIFT_TUNING"), "the operators' own settings (protobuf text format)")
	on.addFlags(cmd.Flags())
	me.addFlags(cmd.PersistentFlags())
	demo := demoCommand(&on, &tuning)
	on.addFlags(demo.Flags())
	cmd.AddCommand(&cobra.Command{
		Use: "check", Short: "Check the settings", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if _, err := settings.LoadPlatform(config); err != nil {
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
	}, jobCommand(me), snapshotCommand(&config, me), accessCommand(me), keyCommand(me), auditCommand(me), reservationCommand(me), priorityClassesCommand(me), queueCommand(me), demo, settingsCommand())
	return cmd
}

func runController(ctx context.Context, config, tuning string, on featureFiles) error {
	if config == "" {
		return fmt.Errorf("--config FILE is needed")
	}
	p, err := settings.LoadPlatform(config)
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
	debug.SetMemoryLimit(int64(p.Cluster.Quota.MemMB * memoryLimitShare * (1 << 20)))
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	var g dewlift.Options
	if on.permissionsFile != "" {
		if g.Permissions, err = loadPermissions(on.permissionsFile); err != nil {
			return err
		}
		if g.AuditKey, err = auditKeyFor(g.Permissions, p); err != nil {
			return err
		}
	}
	if on.priorityClassesFile != "" {
		if g.PriorityClasses, err = loadPriorityClasses(on.priorityClassesFile); err != nil {
			return err
		}
	}
	if on.equipmentFile != "" {
		if g.Equipment, err = loadEquipment(on.equipmentFile); err != nil {
			return err
		}
	}
	if on.tlsFile != "" {
		if g.TLSFiles, err = tlsconfig.Load(on.tlsFile, log); err != nil {
			return err
		}
	}
	return dewlift.New(p, t, g, log).Run(ctx)
}
