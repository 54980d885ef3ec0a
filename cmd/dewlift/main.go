// Command dewlift runs a controller of the dewlift cluster scheduler, and has the operators' commands. Verbs,
// flags and their texts are an interface: golden tests fix them.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"runtime"
	"runtime/debug"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"dewlift"
	"dewlift/audit"
	"dewlift/settings"
	"dewlift/tlsconfig"
)

const version = "0.1.0"

// memoryLimitShare is the share of the memory quota that the Go runtime is limited to. The rest is for
// what it does not count, and for peaks that outrun the garbage collector: with 0.8 there were fewer
// collections, and a leader of a full fleet was killed on one day.
const memoryLimitShare = 0.7

func main() {
	if err := rootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "dewlift: "+err.Error())
		os.Exit(exitCode(err))
	}
}

// exitCode returns the exit code for an error: 1 for a finding or a refusal, 2 for bad use and all else.
func exitCode(err error) int {
	fault, refusal := (*audit.ChainError)(nil), refusedError("")
	if errors.As(err, &fault) || errors.As(err, &refusal) {
		return 1
	}
	return 2
}

// featureFiles are the files that enable features; "": the feature is off.
type featureFiles struct{ permissionsFile, tlsFile, equipmentFile, priorityClassesFile string }

// validate reads the files that are named, and the tuning.
func (files *featureFiles) validate(tuningFile string) error {
	if _, err := settings.LoadTuning(tuningFile); err != nil {
		return err
	}
	if files.permissionsFile != "" {
		if _, err := loadPermissions(files.permissionsFile); err != nil {
			return err
		}
	}
	if files.priorityClassesFile != "" {
		if _, err := loadPriorityClasses(files.priorityClassesFile); err != nil {
			return err
		}
	}
	if files.tlsFile != "" {
		if _, err := tlsconfig.Load(files.tlsFile, slog.New(slog.DiscardHandler)); err != nil {
			return err
		}
	}
	if files.equipmentFile != "" {
		if _, err := loadEquipment(files.equipmentFile); err != nil {
			return err
		}
	}
	return nil
}

// addFlags adds the flags that name the files.
func (files *featureFiles) addFlags(f *pflag.FlagSet) {
	f.StringVar(&files.permissionsFile, "access",
		os.Getenv("DEWLIFT_ACCESS"), "the site's first rights (protobuf text format)")
	f.StringVar(
		&files.tlsFile,
		"tls",
		os.Getenv("DEWLIFT_TLS"),
		"files of certificates and keys (protobuf text format)",
	)
	f.StringVar(&files.priorityClassesFile, "lanes",
		os.Getenv("DEWLIFT_LANES"), "the site's first list of lanes (protobuf text format)")
	f.StringVar(&files.equipmentFile, "booking",
		os.Getenv("DEWLIFT_BOOKING"), "the site's first list of equipment that can be booked (protobuf text format)")
}

func rootCommand() *cobra.Command {
	var config, tuningFile string
	var files featureFiles
	identity := &clientIdentity{}
	cmd := &cobra.Command{
		Use: "dewlift", Short: "A cluster scheduler with collaborate-state", Args: cobra.NoArgs,
		SilenceUsage: true, SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runController(cmd.Context(), config, tuningFile, files)
		},
	}
	cmd.PersistentFlags().StringVar(&config, "config", "", "the platform's settings file (JSON)")
	cmd.PersistentFlags().
		StringVar(&tuningFile, "tuning", os.Getenv("DEWLIFT_TUNING"), "the operators' own settings (protobuf text format)")
	files.addFlags(cmd.Flags())
	identity.addFlags(cmd.PersistentFlags())
	demo := demoCommand(&files, &tuningFile)
	files.addFlags(demo.Flags())
	cmd.AddCommand(&cobra.Command{
		Use: "check", Short: "Check the settings", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if _, err := settings.LoadPlatform(config); err != nil {
				return err
			}
			if _, err := settings.LoadTuning(tuningFile); err != nil {
				return err
			}
			printf(cmd.OutOrStdout(), "settings are valid\n")
			return nil
		},
	}, &cobra.Command{
		Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) { printf(cmd.OutOrStdout(), "dewlift %s\n", version) },
	},
		jobCommand(identity), snapshotCommand(&config, identity), accessCommand(identity), keyCommand(identity),
		auditCommand(identity), reservationCommand(identity), priorityClassesCommand(identity),
		queueCommand(identity), demo, settingsCommand())
	return cmd
}

// runController runs a controller until the context ends or a listener fails.
func runController(ctx context.Context, config, tuningFile string, files featureFiles) error {
	if config == "" {
		return fmt.Errorf("--config FILE is needed")
	}
	platform, err := settings.LoadPlatform(config)
	if err != nil {
		return err
	}
	tuning, err := settings.LoadTuning(tuningFile)
	if err != nil {
		return err
	}
	level := slog.LevelInfo
	if text := os.Getenv("LOG_LEVEL"); text != "" {
		if err := level.UnmarshalText([]byte(text)); err != nil {
			return fmt.Errorf("LOG_LEVEL %q: want error, info or debug", text)
		}
	}
	// A controller's share of a processor is small: one thread runs Go code, and memory stays within the quota.
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(platform.Cluster.Quota.MemMB * memoryLimitShare * (1 << 20)))
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	options, err := files.load(platform, log)
	if err != nil {
		return err
	}
	return dewlift.New(platform, tuning, options, log).Run(ctx)
}

// load reads the files that are named.
func (files *featureFiles) load(
	platform *settings.Platform,
	log *slog.Logger,
) (options dewlift.Options, err error) {
	if files.permissionsFile != "" {
		if options.Permissions, err = loadPermissions(files.permissionsFile); err != nil {
			return options, err
		}
		if options.AuditKey, err = auditKeyFor(options.Permissions, platform); err != nil {
			return options, err
		}
	}
	if files.priorityClassesFile != "" {
		if options.PriorityClasses, err = loadPriorityClasses(files.priorityClassesFile); err != nil {
			return options, err
		}
	}
	if files.equipmentFile != "" {
		if options.Equipment, err = loadEquipment(files.equipmentFile); err != nil {
			return options, err
		}
	}
	if files.tlsFile != "" {
		if options.TLSFiles, err = tlsconfig.Load(files.tlsFile, log); err != nil {
			return options, err
		}
	}
	return options, nil
}
