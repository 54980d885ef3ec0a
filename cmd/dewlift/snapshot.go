package main

import (
	"context"
	"dewlift/internal/httpjson"
	"dewlift/settings"
	"dewlift/snapshot"
	"dewlift/wire"
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

	pb "dewlift/proto"
)

// snapshotFlags say where the state is and how much of its service may be used.
type snapshotFlags struct {
	server, storeAddr string
	requestShare      float64
	endpoint          wire.StoreEndpoint
}

func snapshotCommand(config *string, me *clientIdentity) *cobra.Command {
	var f snapshotFlags
	cmd := &cobra.Command{Use: "snapshot", Short: "Save, check and restore the whole state of a site"}
	at := func(c *cobra.Command) {
		c.Flags().StringVar(&f.storeAddr, "state", "", "address of the state service")
		c.Flags().Float64Var(&f.endpoint.RPS, "rps", 20, "its requests a second, if only --state is given")
	}
	save := &cobra.Command{
		Use: "save FILE", Short: "Save the state as of one moment, while the site serves", Args: cobra.ExactArgs(1),
		Example: "  dewlift snapshot save --server 10.0.0.1:8080 monday.snapshot",
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := f.resolveStore(cmd.Context(), *config, me); err != nil {
				return err
			}
			if !(f.requestShare > 0 && f.requestShare <= 1) {
				return fmt.Errorf("--share is %v, must be more than 0 and at most 1", f.requestShare)
			}
			show, done := newProgress("saving", -1)
			t, err := snapshot.Save(
				cmd.Context(),
				&snapshot.Source{Addr: f.endpoint.Addr, RPS: f.endpoint.RPS * f.requestShare},
				args[0],
				func(n int) { show(n, -1) },
			)
			done()
			if err != nil {
				return err
			}
			printf(cmd.OutOrStdout(), "%s: %d keys as of revision %d\n", args[0], t.Keys, t.Ledger)
			return nil
		},
	}
	at(save)
	save.Flags().StringVar(&f.server, "server", "", "address of a controller, which names the state service")
	save.Flags().Float64Var(&f.requestShare, "share", 0.1, "share of the state service's requests that may be used")
	restore := &cobra.Command{
		Use: "restore FILE", Short: "Restore a state to an empty state service", Args: cobra.ExactArgs(1),
		Long:    "Restore a state to an empty state service. No controller may be running, and every machine must have been returned.",
		Example: "  dewlift snapshot restore --config settings.json monday.snapshot",
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := f.resolveStore(cmd.Context(), *config, me); err != nil {
				return err
			}
			show, done := newProgress("restoring", 0)
			t, err := snapshot.Restore(cmd.Context(), &snapshot.Target{
				Source:   snapshot.Source{Addr: f.endpoint.Addr, RPS: f.endpoint.RPS},
				WriteRPS: f.endpoint.WriteRPS, TxnOps: f.endpoint.TxnOps,
			}, args[0], show)
			done()
			if err != nil {
				return err
			}
			printf(cmd.OutOrStdout(), "%d keys restored, as of revision %d\n", t.Keys, t.Ledger)
			return nil
		},
	}
	at(restore)
	restore.Flags().
		Float64Var(&f.endpoint.WriteRPS, "write-rps", 10, "its changes a second, if only --state is given")
	restore.Flags().IntVar(&f.endpoint.TxnOps, "txn-ops", 10, "changes of a transaction, if only --state is given")
	cmd.AddCommand(save, restore, &cobra.Command{
		Use: "verify FILE", Short: "Read a whole snapshot and check every part", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			t, err := snapshot.Verify(args[0])
			if err == nil {
				printf(cmd.OutOrStdout(), "%s is whole: %d keys in %d parts\n", args[0], t.Keys, t.Parts)
			}
			return err
		},
	}, inspectCommand())
	return cmd
}

func inspectCommand() *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{
		Use: "inspect FILE", Short: "Tell what a snapshot holds", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			kinds := map[string]int{}
			t, err := snapshot.ReadFile(args[0], func(k *pb.Key) error {
				part := strings.SplitN(k.Name, "/", 3)
				kinds[strings.Join(part[:min(2, len(part))], "/")]++
				return nil
			})
			if err != nil {
				return err
			}
			out := cmd.OutOrStdout()
			taken := time.UnixMilli(t.TakenMs).UTC().Format(time.RFC3339)
			if asJSON {
				return json.NewEncoder(out).Encode(map[string]any{
					"version": t.Version, "taken": taken, "revision": t.Ledger, "parts": t.Parts,
					"keys": t.Keys, "kinds": kinds, "digest": fmt.Sprintf("%x", t.Digest),
				})
			}
			printf(out, "format %d, taken %s, revision %d\n%d keys in %d parts, digest %x\n",
				t.Version, taken, t.Ledger, t.Keys, t.Parts, t.Digest)
			for _, k := range slices.Sorted(maps.Keys(kinds)) {
				printf(out, "  %-14s %d\n", k, kinds[k])
			}
			return nil
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	return cmd
}

// resolveStore works out where the state service is and what it takes: from a controller, the platform's
// settings, or the flags alone.
func (f *snapshotFlags) resolveStore(ctx context.Context, config string, me *clientIdentity) error {
	switch {
	case f.server != "":
		r, err := me.request(
			ctx,
			http.MethodGet,
			f.server,
			wire.PathStoreEndpoint+"?for="+wire.EndpointForSnapshot,
			nil,
		)
		if err != nil {
			return err
		}
		site, r := httpjson.Decode[wire.StoreEndpoint](r)
		if r.Err != nil {
			return fmt.Errorf("controller %s: %w", f.server, r.Err)
		}
		if r.Status != http.StatusOK {
			return fmt.Errorf("controller %s answers %d", f.server, r.Status)
		}
		f.endpoint = site
	case config != "":
		p, err := settings.LoadPlatform(config)
		if err != nil {
			return err
		}
		f.endpoint = wire.StoreEndpoint{
			Addr:     p.Services.State,
			RPS:      p.Cluster.State.RPS,
			WriteRPS: p.Cluster.State.WriteRPS,
			TxnOps:   p.Cluster.State.TxnOps,
		}
	case f.storeAddr == "":
		return errors.New(
			"name a controller with --server, the settings with --config, or the state service with --state",
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

// newProgress shows how far a long work is, on a terminal only.
func newProgress(what string, of int) (show func(n, of int), done func()) {
	if !isatty.IsTerminal(os.Stderr.Fd()) {
		return func(int, int) {}, func() {}
	}
	bar := progressbar.NewOptions(
		of,
		progressbar.OptionSetWriter(os.Stderr),
		progressbar.OptionSetDescription(what),
		progressbar.OptionShowCount(),
		progressbar.OptionThrottle(100*time.Millisecond),
		progressbar.OptionClearOnFinish(),
	)
	return func(n, of int) {
		if of > 0 {
			bar.ChangeMax(of)
		}
		_ = bar.Set(n) // a bar that can't be drawn stops nothing
	}, func() { _ = bar.Finish() }
}
