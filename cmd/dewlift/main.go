// Command dewlift runs a controller of the dewlift cluster scheduler and provides the operators' commands. Its
// verbs, flags and help texts are a public interface, which golden tests check.
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

// memoryLimitShare is the share of the memory quota that is the Go runtime's memory limit. The rest is for memory
// that the runtime does not count and for peaks between garbage collections: with 0.8, collections were less
// frequent and the leader of a full fleet was killed for exceeding its quota.
const memoryLimitShare = 0.7

func main() {
	if err := rootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "dewlift: "+err.Error())
		os.Exit(exitCode(err))
	}
}

// exitCode returns the exit code for an error: 1 for a damaged audit chain or a refusedError, 2 for wrong usage and
// every other error.
func exitCode(err error) int {
	fault, refusal := (*audit.ChainError)(nil), refusedError("")
	if errors.As(err, &fault) || errors.As(err, &refusal) {
		return 1
	}
	return 2
}

// featureFiles are the paths of the files that enable optional features. An empty path disables the feature.
type featureFiles struct{ permissionsFile, tlsFile, equipmentFile, priorityClassesFile string }

// validate loads the tuning file and every configured file and returns the first error.
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

// addFlags adds the flags that set the paths.
func (files *featureFiles) addFlags(f *pflag.FlagSet) {
	f.StringVar(&files.permissionsFile, "access",
		os.Getenv("DEWLIFT_ACCESS"), "initial permissions of the site (protobuf text format)")
	f.StringVar(
		&files.tlsFile,
		"tls",
		os.Getenv("DEWLIFT_TLS"),
		"file that names the TLS certificates and keys (protobuf text format)",
	)
	f.StringVar(&files.priorityClassesFile, "lanes",
		os.Getenv("DEWLIFT_LANES"), "initial list of lanes (priority classes) of the site (protobuf text format)")
	f.StringVar(&files.equipmentFile, "booking",
		os.Getenv("DEWLIFT_BOOKING"), "initial list of bookable equipment of the site (protobuf text format)")
}

func rootCommand() *cobra.Command {
	var config, tuningFile string
	var files featureFiles
	identity := &clientIdentity{}
	cmd := &cobra.Command{
		Use: "dewlift", Short: "A cluster scheduler with replicated controllers", Args: cobra.NoArgs,
		SilenceUsage: true, SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runController(cmd.Context(), config, tuningFile, files)
		},
	}
	cmd.PersistentFlags().StringVar(&config, "config", "", "platform settings file (JSON)")
	cmd.PersistentFlags().
		StringVar(&tuningFile, "tuning", os.Getenv("DEWLIFT_TUNING"), "operator settings file (protobuf text format)")
	files.addFlags(cmd.Flags())
	identity.addFlags(cmd.PersistentFlags())
	demo := demoCommand(&files, &tuningFile)
	files.addFlags(demo.Flags())
	cmd.AddCommand(&cobra.Command{
		Use: "check", Short: "Check the settings files", Args: cobra.NoArgs,
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
		return fmt.Errorf("--config FILE is required")
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
			return fmt.Errorf("LOG_LEVEL is %q, must be error, info or debug", text)
		}
	}
	// A controller has a small share of one processor, so a single thread runs Go code. The memory limit keeps the
	// process within its memory quota.
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(platform.Cluster.Quota.MemMB * memoryLimitShare * (1 << 20)))
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	options, err := files.load(platform, log)
	if err != nil {
		return err
	}
	return dewlift.New(platform, tuning, options, log).Run(ctx)
}

// load reads every configured file.
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
