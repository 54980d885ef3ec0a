package main

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
	_ "time/tzdata" // machines may lack the time zone database

	"github.com/spf13/cobra"

	"dewlift/access"
	"dewlift/audit"
	"dewlift/audit/report"
	"dewlift/internal/httpjson"
	pb "dewlift/proto"
	"dewlift/settings"
	"dewlift/snapshot"
	"dewlift/wire"
)

// minAuditTxnOps is the minimum number of writes per transaction that the audit log requires of the store: a
// controller's first transaction writes its first block, the head of its chain, its settings, and the key that
// records that an audit log exists.
const minAuditTxnOps = 4

// auditKeyFor loads the audit key that a policy names. The key is nil, and there is no audit log, if it names none.
func auditKeyFor(policy *access.Policy, platform *settings.Platform) (audit.Key, error) {
	path := policy.Source().AuditKey
	if path == "" {
		return nil, nil
	}
	for _, limit := range []*int{&platform.Cluster.State.TxnOps, platform.Cluster.State.Next.TxnOps} {
		if limit != nil && *limit < minAuditTxnOps {
			return nil, fmt.Errorf(
				"audit_key: the audit log requires cluster.state.txn_ops of at least %d",
				minAuditTxnOps,
			)
		}
	}
	return loadAuditKey(path)
}

func loadAuditKey(path string) (audit.Key, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read audit key: %w", err)
	}
	key, err := audit.ParseKey(string(raw))
	if err != nil {
		return nil, fmt.Errorf("audit key %s: %w", path, err)
	}
	return key, nil
}

// auditChains reads the chains of the audit log, from a running site or from a snapshot.
type auditChains interface {
	// heads returns the last block of each chain, without its MAC if the chains are read from a snapshot.
	heads(ctx context.Context) ([]wire.AuditChainHead, error)
	// blocks returns a page of a chain's blocks with numbers above after.
	blocks(ctx context.Context, node string, after uint64) (wire.AuditPage, error)
}

// liveChains reads chains from a controller.
type liveChains struct {
	identity *clientIdentity
	server   string
}

const (
	// maxAuditPageAttempts is how often a page is requested while the controller answers that it is busy.
	maxAuditPageAttempts = 30
	auditRetryInterval   = time.Second
)

// fetchAudit requests a page and retries while the controller is busy.
func fetchAudit[T any](ctx context.Context, chains *liveChains, query string) (page T, err error) {
	for attempt := 1; ; attempt++ {
		resp, err := chains.identity.request(ctx, http.MethodGet, chains.server, wire.PathAudit+query, nil)
		if err != nil {
			return page, err
		}
		busy := resp.Status == http.StatusServiceUnavailable || resp.Status == http.StatusTooManyRequests
		if !busy || attempt >= maxAuditPageAttempts {
			page, resp = httpjson.Decode[T](resp)
			return page, checkResponse(chains.server, resp)
		}
		select {
		case <-time.After(auditRetryInterval):
		case <-ctx.Done():
			return page, ctx.Err()
		}
	}
}

func (c *liveChains) heads(ctx context.Context) ([]wire.AuditChainHead, error) {
	page, err := fetchAudit[wire.AuditChainHeads](ctx, c, "")
	return page.Heads, err
}

func (c *liveChains) blocks(ctx context.Context, node string, after uint64) (wire.AuditPage, error) {
	return fetchAudit[wire.AuditPage](ctx, c, fmt.Sprintf("?node=%s&after=%d", url.QueryEscape(node), after))
}

// snapshotChains holds the blocks of each chain of a snapshot by node, in ascending order of their numbers.
type snapshotChains map[string][]wire.AuditBlock

// readSnapshotChains reads the chains of a snapshot.
func readSnapshotChains(path string) (snapshotChains, error) {
	out := snapshotChains{}
	_, err := snapshot.ReadFile(path, func(k *pb.Key) error {
		if node, number, ok := audit.SplitBlockKey(k.Name); ok {
			out[node] = append(out[node], wire.AuditBlock{Number: number, Value: bytes.Clone(k.Value)})
		}
		return nil
	})
	return out, err
}

func (c snapshotChains) heads(context.Context) ([]wire.AuditChainHead, error) {
	var out []wire.AuditChainHead
	for _, node := range slices.Sorted(maps.Keys(c)) {
		out = append(out, wire.AuditChainHead{Node: node, BlockNumber: c[node][len(c[node])-1].Number})
	}
	return out, nil
}

func (c snapshotChains) blocks(_ context.Context, node string, after uint64) (wire.AuditPage, error) {
	i, _ := slices.BinarySearchFunc(
		c[node],
		after+1,
		func(b wire.AuditBlock, n uint64) int { return cmp.Compare(b.Number, n) },
	)
	return wire.AuditPage{Blocks: c[node][i:]}, nil
}

// auditFlags select the source and the events to read, and the time zone in which times are shown.
type auditFlags struct {
	server, snapshotFile, node, zone, since, until string
	filter                                         audit.Filter
	location                                       *time.Location
}

// addSourceFlags adds the flags that select the source.
func (f *auditFlags) addSourceFlags(c *cobra.Command) {
	c.Flags().StringVar(&f.server, "server", "127.0.0.1:8080", "address of a controller")
	c.Flags().StringVar(&f.snapshotFile, "snapshot", "", "read a snapshot file instead of a running site")
	c.Flags().StringVar(&f.node, "node", "", "only the chain of this controller")
}

// addFilterFlags adds the flags that select events.
func (f *auditFlags) addFilterFlags(c *cobra.Command) {
	c.Flags().StringVar(&f.filter.Identity, "who", "", "only events of this identity")
	c.Flags().
		StringVar(&f.filter.Verb, "verb", "", "only events of this verb, such as submit, cancel, read, administer, "+
			"audit, start, take, stop or restore; for a request that failed authentication, its HTTP method")
	c.Flags().StringVar(&f.filter.Object, "object", "", "only events of this object, such as a job or an identity")
	c.Flags().StringVar(&f.filter.Outcome, "outcome", "", "only events with this outcome: done or refused")
	c.Flags().
		StringVar(&f.since, "since", "", "only events since a day or a time: 2026-12-01, 2026-12-01T14:00, "+
			"or RFC 3339 with an offset")
	c.Flags().StringVar(&f.until, "until", "", "only events until the end of a day, or before a time")
	c.Flags().StringVar(&f.zone, "tz", "UTC", "time zone of times and calendar days, such as Europe/Zurich")
}

// parseTimes parses the time flags and checks the outcome flag.
func (f *auditFlags) parseTimes() (err error) {
	if f.location, err = time.LoadLocation(f.zone); err != nil {
		return fmt.Errorf("--tz: there is no time zone %q", f.zone)
	}
	outcome := f.filter.Outcome
	if outcome != "" && outcome != audit.OutcomeDone && outcome != audit.OutcomeRefused {
		return fmt.Errorf("--outcome: %q is neither %s nor %s", outcome, audit.OutcomeDone, audit.OutcomeRefused)
	}
	if f.filter.Since, err = parseTime(f.since, f.location, 0); err != nil {
		return fmt.Errorf("--since: %w", err)
	}
	if f.filter.Until, err = parseTime(f.until, f.location, 1); err != nil {
		return fmt.Errorf("--until: %w", err)
	}
	return nil
}

// parseTime parses a time or a calendar day. For a day it returns the start of the day that is the given number of
// calendar days later. A calendar day has 23 or 25 hours where clocks change.
func parseTime(text string, zone *time.Location, days int) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	if t, err := time.ParseInLocation(time.DateOnly, text, zone); err == nil {
		return time.Date(t.Year(), t.Month(), t.Day()+days, 0, 0, 0, 0, zone), nil
	}
	for _, layout := range []string{"2006-01-02T15:04", "2006-01-02T15:04:05"} {
		if t, err := time.ParseInLocation(layout, text, zone); err == nil {
			return t, nil
		}
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return t, fmt.Errorf("%q is neither a day nor a time", text)
	}
	return t, nil
}

// openChains reads the snapshot if one is set, and otherwise reads from the controller.
func (f *auditFlags) openChains(identity *clientIdentity) (auditChains, error) {
	if f.snapshotFile != "" {
		return readSnapshotChains(f.snapshotFile)
	}
	return &liveChains{identity, f.server}, nil
}

// chainHeads returns the heads of the selected chains.
func (f *auditFlags) chainHeads(ctx context.Context, chains auditChains) ([]wire.AuditChainHead, error) {
	heads, err := chains.heads(ctx)
	if err != nil || f.node == "" {
		return heads, err
	}
	heads = slices.DeleteFunc(heads, func(h wire.AuditChainHead) bool { return h.Node != f.node })
	if len(heads) == 0 {
		return nil, fmt.Errorf("--node: there is no controller %q in the audit log", f.node)
	}
	return heads, nil
}

// chainCursor iterates over the selected events of one chain.
type chainCursor struct {
	node      string
	after     uint64 // number of the last block read
	pending   []audit.Event
	exhausted bool
}

// fetchNext reads pages until an event is pending or the chain ends.
func (c *chainCursor) fetchNext(
	ctx context.Context,
	chains auditChains,
	zone *time.Location,
	keep func(*audit.Event) bool,
) error {
	for len(c.pending) == 0 && !c.exhausted {
		page, err := chains.blocks(ctx, c.node, c.after)
		if err != nil {
			return err
		}
		for _, stored := range page.Blocks {
			block, err := audit.DecodeBlock(stored.Value)
			if err != nil {
				return fmt.Errorf(
					"chain of %s, block %d: %w; `dewlift audit verify` gives details", c.node, stored.Number, err)
			}
			for _, event := range block.Events(c.node, zone) {
				if keep(&event) {
					c.pending = append(c.pending, event)
				}
			}
			c.after = stored.Number
		}
		c.exhausted = !page.More || len(page.Blocks) == 0
	}
	return nil
}

// forEachEvent calls do for each selected event, with the chains merged in order of time.
func (f *auditFlags) forEachEvent(ctx context.Context, identity *clientIdentity, do func(*audit.Event) error) error {
	if err := f.parseTimes(); err != nil {
		return err
	}
	chains, err := f.openChains(identity)
	if err != nil {
		return err
	}
	heads, err := f.chainHeads(ctx, chains)
	if err != nil {
		return err
	}
	var cursors []*chainCursor
	for _, head := range heads {
		cursors = append(cursors, &chainCursor{node: head.Node})
	}
	show, done := newProgress("reading", -1)
	defer done()
	for n := 0; ; n++ {
		next, err := f.earliestCursor(ctx, chains, cursors)
		if err != nil || next == nil {
			return err
		}
		if err := do(&next.pending[0]); err != nil {
			return err
		}
		next.pending = next.pending[1:]
		show(n, -1)
	}
}

// earliestCursor returns the cursor with the earliest next event, or nil if there are no more events.
func (f *auditFlags) earliestCursor(
	ctx context.Context,
	chains auditChains,
	cursors []*chainCursor,
) (earliest *chainCursor, err error) {
	for _, cursor := range cursors {
		if err := cursor.fetchNext(ctx, chains, f.location, f.filter.Matches); err != nil {
			return nil, err
		}
		if len(cursor.pending) > 0 &&
			(earliest == nil || cursor.pending[0].At.Before(earliest.pending[0].At)) {
			earliest = cursor
		}
	}
	return earliest, nil
}

func auditCommand(identity *clientIdentity) *cobra.Command {
	cmd := &cobra.Command{Use: "audit", Short: "Read and verify the audit log"}
	cmd.AddCommand(
		auditKeyCommand(),
		auditListCommand(identity),
		auditVerifyCommand(identity),
		auditReportCommand(identity),
	)
	return cmd
}

func auditKeyCommand() *cobra.Command {
	return &cobra.Command{
		Use: "key FILE", Short: "Generate the key that signs the audit log", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			text, err := audit.NewKey()
			if err != nil {
				return err
			}
			return writeSecret(args[0], []byte(text))
		},
	}
}

func auditListCommand(identity *clientIdentity) *cobra.Command {
	var f auditFlags
	var asJSON bool
	cmd := &cobra.Command{
		Use: "list", Short: "List the events of the audit log", Args: cobra.NoArgs,
		Example: "  dewlift audit list --who potter --outcome refused --since 2026-11-30 --tz Europe/Zurich " +
			"--key admin.key --server 10.0.0.1:8080",
		RunE: func(cmd *cobra.Command, _ []string) error {
			out := cmd.OutOrStdout()
			enc := json.NewEncoder(out)
			return f.forEachEvent(cmd.Context(), identity, func(event *audit.Event) error {
				if asJSON {
					return enc.Encode(event)
				}
				return printEvent(out, event)
			})
		},
	}
	f.addSourceFlags(cmd)
	f.addFilterFlags(cmd)
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON, one event per line")
	return cmd
}

// printEvent prints an event on one line.
func printEvent(w io.Writer, event *audit.Event) error {
	count, reason := "", ""
	if event.Count > 1 {
		count = fmt.Sprintf(" (%d times)", event.Count)
	}
	if event.Reason != "" {
		reason = ": " + event.Reason
	}
	_, err := fmt.Fprintf(w, "%s %-8s %-12s %s %s%s %s%s\n", event.At.Format("2006-01-02T15:04:05.000Z07:00"),
		event.Node, cmp.Or(event.Identity, "-"), event.Verb, cmp.Or(event.Object, "-"), count, event.Outcome, reason)
	return err
}

func auditVerifyCommand(identity *clientIdentity) *cobra.Command {
	var f auditFlags
	var keyFiles []string
	var endsFile string
	cmd := &cobra.Command{
		Use: "verify", Short: "Verify that no entry was altered, removed, added or moved", Args: cobra.NoArgs,
		Long: "Verify that no entry was altered, removed, added or moved since it was written. " +
			"The command reports the first\n" +
			"such entry and exits with code 1. To detect entries truncated from the end of a chain, " +
			"name a file of chain ends\n" +
			"(--ends) and keep it elsewhere: each successful verification updates it.",
		Example: "  dewlift audit verify --audit-key audit.key --ends ends.json --key admin.key --server 10.0.0.1:8080",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if len(keyFiles) == 0 {
				return errors.New("--audit-key is required: entries cannot be verified without the key")
			}
			var keys []audit.Key
			for _, path := range keyFiles {
				key, err := loadAuditKey(path)
				if err != nil {
					return err
				}
				keys = append(keys, key)
			}
			chains, err := f.openChains(identity)
			if err != nil {
				return err
			}
			return f.verify(cmd, chains, keys, endsFile)
		},
	}
	f.addSourceFlags(cmd)
	cmd.Flags().
		StringSliceVar(&keyFiles, "audit-key", nil, "an audit key file; may be repeated if controllers have "+
			"different keys or the key was replaced")
	cmd.Flags().StringVar(&endsFile, "ends", "", "file with the chain ends found by the previous verification")
	return cmd
}

// chainEnd is the last verified block of a chain. Its JSON encoding is stored in the file of chain ends.
type chainEnd struct {
	Number uint64 `json:"number"`
	MAC    []byte `json:"code"`
}

// verify verifies the selected chains, also against the ends found by the previous verification, and saves the new
// ends. No ends are read or saved if endsFile is empty.
func (f *auditFlags) verify(cmd *cobra.Command, chains auditChains, keys []audit.Key, endsFile string) error {
	previousEnds, err := loadChainEnds(endsFile)
	if err != nil {
		return err
	}
	heads, err := f.chainHeads(cmd.Context(), chains)
	if err != nil {
		return err
	}
	// A chain that was removed has no head. It is verified too, so that its removal is reported.
	for node := range previousEnds {
		if f.node == "" && !slices.ContainsFunc(heads, func(h wire.AuditChainHead) bool { return h.Node == node }) {
			heads = append(heads, wire.AuditChainHead{Node: node})
		}
	}
	show, done := newProgress("verifying", -1)
	defer done()
	ends := maps.Clone(previousEnds)
	total := uint64(0)
	for _, head := range heads {
		known := map[uint64][]byte{} // MACs by block number, from sources other than the chain
		if head.MAC != nil {
			known[head.BlockNumber] = head.MAC
		}
		if end, ok := previousEnds[head.Node]; ok {
			known[end.Number] = end.MAC
		}
		verifier := &audit.ChainVerifier{Node: head.Node, Keys: keys}
		progress := func() { show(int(total+verifier.EntryCount), -1) }
		if err := verifyChain(cmd.Context(), chains, verifier, known, progress); err != nil {
			return err
		}
		total += verifier.EntryCount
		ends[head.Node] = chainEnd{verifier.BlockNumber, verifier.MAC}
		printf(cmd.OutOrStdout(), "chain of %s: %d blocks, %d entries, whole\n",
			head.Node, verifier.BlockNumber, verifier.EntryCount)
	}
	if endsFile == "" {
		return nil
	}
	return saveChainEnds(endsFile, ends)
}

// verifyChain verifies all blocks of a chain, and that the chain contains the known blocks.
func verifyChain(
	ctx context.Context,
	chains auditChains,
	verifier *audit.ChainVerifier,
	known map[uint64][]byte,
	progress func(),
) error {
	for more := true; more; {
		page, err := chains.blocks(ctx, verifier.Node, verifier.BlockNumber)
		if err != nil {
			return err
		}
		for _, block := range page.Blocks {
			if _, err := verifier.VerifyNext(block.Number, block.Value); err != nil {
				return err
			}
			if mac, ok := known[block.Number]; ok && !bytes.Equal(mac, verifier.MAC) {
				return &audit.ChainError{
					Node:   verifier.Node,
					Block:  block.Number,
					Reason: "differs from the block known before: the chain was replaced",
				}
			}
		}
		progress()
		more = page.More && len(page.Blocks) > 0
	}
	for number := range known {
		if number > verifier.BlockNumber {
			return &audit.ChainError{
				Node:   verifier.Node,
				Block:  verifier.BlockNumber + 1,
				Reason: fmt.Sprintf("and the blocks after it, up to %d, were removed", number),
			}
		}
	}
	return nil
}

// loadChainEnds reads the file of chain ends. The result is empty if there is no such file.
func loadChainEnds(path string) (map[string]chainEnd, error) {
	ends := map[string]chainEnd{}
	if path == "" {
		return ends, nil
	}
	raw, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(raw, &ends)
	}
	if err == nil && ends == nil {
		err = errors.New("null is not a list of chain ends")
	}
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("chain ends %s: %w", path, err)
	}
	return ends, nil
}

// saveChainEnds replaces the file of chain ends atomically.
func saveChainEnds(path string, ends map[string]chainEnd) error {
	raw, err := json.MarshalIndent(ends, "", "  ")
	if err != nil {
		return err
	}
	file, err := os.CreateTemp(filepath.Dir(path), ".ends")
	if err != nil {
		return fmt.Errorf("write chain ends: %w", err)
	}
	_, err = file.Write(append(raw, '\n'))
	if err == nil {
		err = file.Sync()
	}
	if err = errors.Join(err, file.Close()); err == nil {
		err = os.Rename(file.Name(), path)
	}
	if err != nil {
		_ = os.Remove(file.Name()) // the first error is reported
		return fmt.Errorf("write chain ends: %w", err)
	}
	return nil
}

func auditReportCommand(identity *clientIdentity) *cobra.Command {
	var f auditFlags
	var file string
	cmd := &cobra.Command{
		Use: "report", Short: "Write an HTML report of the events by day, with a plot", Args: cobra.NoArgs,
		Example: "  dewlift audit report --html november.html --since 2026-11-01 --until 2026-11-30 " +
			"--tz Europe/Zurich --key admin.key",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if file == "" {
				return errors.New("--html FILE is required")
			}
			if err := f.parseTimes(); err != nil {
				return err
			}
			page := &report.Report{Zone: f.location}
			add := func(event *audit.Event) error { page.Add(event); return nil }
			if err := f.forEachEvent(cmd.Context(), identity, add); err != nil {
				return err
			}
			out, err := os.Create(file)
			if err != nil {
				return fmt.Errorf("write report: %w", err)
			}
			if err := errors.Join(page.WriteHTML(out, f.selectionNote()), out.Close()); err != nil {
				return fmt.Errorf("write report: %w", err)
			}
			printf(cmd.OutOrStdout(), "%s: %d days\n", file, len(page.Days()))
			return nil
		},
	}
	f.addSourceFlags(cmd)
	f.addFilterFlags(cmd)
	cmd.Flags().StringVar(&file, "html", "", "file to write the report to")
	return cmd
}

// selectionNote describes which events are selected, and is empty if all are.
func (f *auditFlags) selectionNote() string {
	var chosen []string
	for _, selected := range [][2]string{
		{"who", f.filter.Identity},
		{"verb", f.filter.Verb},
		{"object", f.filter.Object},
		{"outcome", f.filter.Outcome},
		{"since", f.since},
		{"until", f.until},
	} {
		if selected[1] != "" {
			chosen = append(chosen, selected[0]+" "+selected[1])
		}
	}
	if len(chosen) == 0 {
		return ""
	}
	return "Only: " + strings.Join(chosen, ", ") + "."
}
