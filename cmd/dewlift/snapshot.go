package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/mattn/go-isatty"
	"github.com/schollz/progressbar/v3"
	"github.com/spf13/cobra"

	"dewlift/internal/httpjson"
	pb "dewlift/proto"
	"dewlift/settings"
	"dewlift/snapshot"
	"dewlift/wire"
)

// snapshotFlags select the key-value store, which the command line calls the state service, and the share of its
// request rate that may be used.
type snapshotFlags struct {
	server, storeAddr string
	requestShare      float64
	endpoint          wire.StoreEndpoint
}

// snapshotCommand returns the commands that save, verify, inspect and restore the state of a site.
func snapshotCommand(config *string, identity *clientIdentity) *cobra.Command {
	var f snapshotFlags
	cmd := &cobra.Command{Use: "snapshot", Short: "Save, verify, inspect and restore the complete state of a site"}
	cmd.AddCommand(f.save(config, identity), f.restore(config, identity), &cobra.Command{
		Use: "verify FILE", Short: "Read a complete snapshot and verify every part", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			trailer, err := snapshot.Verify(args[0])
			if err == nil {
				printf(cmd.OutOrStdout(), "%s is whole: %d keys in %d parts\n", args[0], trailer.Keys, trailer.Parts)
			}
			return err
		},
	}, inspectCommand())
	return cmd
}

// addStoreFlags adds the flags that describe the store if neither a controller nor settings are given.
func (f *snapshotFlags) addStoreFlags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.storeAddr, "state", "", "address of the state service")
	cmd.Flags().Float64Var(&f.endpoint.RPS, "rps", 20,
		"requests per second that the state service allows, if only --state is given")
}

// save returns the command that saves the state of a site.
func (f *snapshotFlags) save(config *string, identity *clientIdentity) *cobra.Command {
	cmd := &cobra.Command{
		Use: "save FILE", Short: "Save a consistent snapshot while the site is running", Args: cobra.ExactArgs(1),
		Example: "  dewlift snapshot save --server 10.0.0.1:8080 monday.snapshot",
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := f.resolveStore(cmd.Context(), *config, identity); err != nil {
				return err
			}
			if !(f.requestShare > 0 && f.requestShare <= 1) {
				return fmt.Errorf("--share is %v, must be more than 0 and at most 1", f.requestShare)
			}
			show, done := newProgress("saving", -1)
			source := &snapshot.Source{Addr: f.endpoint.Addr, RPS: f.endpoint.RPS * f.requestShare}
			trailer, err := snapshot.Save(cmd.Context(), source, args[0], func(n int) { show(n, -1) })
			done()
			if err != nil {
				return err
			}
			printf(cmd.OutOrStdout(), "%s: %d keys as of revision %d\n", args[0], trailer.Keys, trailer.Ledger)
			return nil
		},
	}
	f.addStoreFlags(cmd)
	cmd.Flags().StringVar(&f.server, "server", "",
		"address of a controller, which returns the address of the state service")
	cmd.Flags().Float64Var(&f.requestShare, "share", 0.1, "share of the state service's request rate that may be used")
	return cmd
}

// restore returns the command that restores the state of a site.
func (f *snapshotFlags) restore(config *string, identity *clientIdentity) *cobra.Command {
	cmd := &cobra.Command{
		Use: "restore FILE", Short: "Restore a snapshot to an empty state service", Args: cobra.ExactArgs(1),
		Long: "Restore a snapshot to an empty state service. No controller may be running, " +
			"and every machine must have been returned to the cloud.",
		Example: "  dewlift snapshot restore --config settings.json monday.snapshot",
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := f.resolveStore(cmd.Context(), *config, identity); err != nil {
				return err
			}
			show, done := newProgress("restoring", 0)
			trailer, err := snapshot.Restore(cmd.Context(), &snapshot.Target{
				Source:   snapshot.Source{Addr: f.endpoint.Addr, RPS: f.endpoint.RPS},
				WriteRPS: f.endpoint.WriteRPS,
				TxnOps:   f.endpoint.TxnOps,
			}, args[0], show)
			done()
			if err != nil {
				return err
			}
			printf(cmd.OutOrStdout(), "%d keys restored, as of revision %d\n", trailer.Keys, trailer.Ledger)
			return nil
		},
	}
	f.addStoreFlags(cmd)
	cmd.Flags().Float64Var(&f.endpoint.WriteRPS, "write-rps", 10,
		"writes per second that the state service allows, if only --state is given")
	cmd.Flags().IntVar(&f.endpoint.TxnOps, "txn-ops", 10,
		"writes per transaction that the state service allows, if only --state is given")
	return cmd
}

// inspectCommand returns the command that describes the contents of a snapshot.
func inspectCommand() *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{
		Use: "inspect FILE", Short: "Describe the contents of a snapshot", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			kinds := map[string]int{} // number of keys by the first two parts of their names
			trailer, err := snapshot.ReadFile(args[0], func(k *pb.Key) error {
				parts := strings.SplitN(k.Name, "/", 3)
				kinds[strings.Join(parts[:min(2, len(parts))], "/")]++
				return nil
			})
			if err != nil {
				return err
			}
			out := cmd.OutOrStdout()
			taken := time.UnixMilli(trailer.TakenMs).UTC().Format(time.RFC3339)
			if asJSON {
				return json.NewEncoder(out).Encode(map[string]any{
					"version": trailer.Version, "taken": taken, "revision": trailer.Ledger, "parts": trailer.Parts,
					"keys": trailer.Keys, "kinds": kinds, "digest": fmt.Sprintf("%x", trailer.Digest),
				})
			}
			printf(out, "format %d, taken %s, revision %d\n%d keys in %d parts, digest %x\n",
				trailer.Version, taken, trailer.Ledger, trailer.Keys, trailer.Parts, trailer.Digest)
			for _, k := range slices.Sorted(maps.Keys(kinds)) {
				printf(out, "  %-14s %d\n", k, kinds[k])
			}
			return nil
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}

// resolveStore sets the store's address and limits from a controller, the platform settings or the flags, in this
// order of precedence. An address given by a flag always overrides the others.
func (f *snapshotFlags) resolveStore(ctx context.Context, config string, identity *clientIdentity) error {
	switch {
	case f.server != "":
		resp, err := identity.request(
			ctx,
			http.MethodGet,
			f.server,
			wire.PathStoreEndpoint+"?for="+wire.EndpointForSnapshot,
			nil,
		)
		if err != nil {
			return err
		}
		endpoint, resp := httpjson.Decode[wire.StoreEndpoint](resp)
		if resp.Err != nil {
			return fmt.Errorf("controller %s: %w", f.server, resp.Err)
		}
		if resp.Status != http.StatusOK {
			return fmt.Errorf("controller %s returned status %d", f.server, resp.Status)
		}
		f.endpoint = endpoint
	case config != "":
		platform, err := settings.LoadPlatform(config)
		if err != nil {
			return err
		}
		f.endpoint = wire.StoreEndpoint{
			Addr:     platform.Services.State,
			RPS:      platform.Cluster.State.RPS,
			WriteRPS: platform.Cluster.State.WriteRPS,
			TxnOps:   platform.Cluster.State.TxnOps,
		}
	case f.storeAddr == "":
		return errors.New(
			"one of --server, --config and --state is required to locate the state service",
		)
	}
	if f.storeAddr != "" {
		f.endpoint.Addr = f.storeAddr
	}
	if _, err := netip.ParseAddrPort(f.endpoint.Addr); err != nil {
		return fmt.Errorf("state service: not an address and port: %q", f.endpoint.Addr)
	}
	if !(f.endpoint.RPS > 0) {
		return fmt.Errorf("--rps is %v, must be more than 0", f.endpoint.RPS)
	}
	return nil
}

// newProgress returns functions that update and remove a progress bar, which is only drawn if standard error is a
// terminal. show takes the number of items that are done and their total, which is negative if unknown.
func newProgress(description string, total int) (show func(n, total int), done func()) {
	if !isatty.IsTerminal(os.Stderr.Fd()) {
		return func(int, int) {}, func() {}
	}
	bar := progressbar.NewOptions(
		total,
		progressbar.OptionSetWriter(os.Stderr),
		progressbar.OptionSetDescription(description),
		progressbar.OptionShowCount(),
		progressbar.OptionThrottle(100*time.Millisecond),
		progressbar.OptionClearOnFinish(),
	)
	return func(n, total int) {
		if total > 0 {
			bar.ChangeMax(total)
		}
		_ = bar.Set(n) // a failure to draw does not stop the command
	}, func() { _ = bar.Finish() }
}
