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
	_ "time/tzdata" // a controller's machine may have no time zones

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

// minAuditTxnOps is the least number of writes that the store must allow in a transaction where there is
// an audit log: a controller's first block, its chain's head, its settings, and the key that says that
// there is an audit log.
const minAuditTxnOps = 4

// auditKeyFor reads the key that a policy names; if it names none there is no audit log, and the key is nil.
func auditKeyFor(policy *access.Policy, platform *settings.Platform) (audit.Key, error) {
	path := policy.Source().AuditKey
	if path == "" {
		return nil, nil
	}
	for _, limit := range []*int{&platform.Cluster.State.TxnOps, platform.Cluster.State.Next.TxnOps} {
		if limit != nil && *limit < minAuditTxnOps {
			return nil, fmt.Errorf("audit_key: a record needs cluster.state.txn_ops of at least %d", minAuditTxnOps)
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

// auditChains is a source of the audit log's chains: a site, or a snapshot.
type auditChains interface {
	// heads returns the last block of each chain.
	heads(ctx context.Context) ([]wire.AuditChainHead, error)
	// blocks returns a page of a chain, after the block with a number.
	blocks(ctx context.Context, node string, after uint64) (wire.AuditPage, error)
}

// liveChains reads chains from a controller, with a caller's identity.
type liveChains struct {
	identity *clientIdentity
	server   string
}

const (
	// maxAuditPageAttempts is how often a page is requested while a controller is busy.
	maxAuditPageAttempts = 30
	auditRetryInterval   = time.Second
)

// fetchAudit reads a page; while the controller is busy it tries again.
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

func (s *liveChains) heads(ctx context.Context) ([]wire.AuditChainHead, error) {
	page, err := fetchAudit[wire.AuditChainHeads](ctx, s, "")
	return page.Heads, err
}

func (s *liveChains) blocks(ctx context.Context, node string, after uint64) (wire.AuditPage, error) {
	return fetchAudit[wire.AuditPage](ctx, s, fmt.Sprintf("?node=%s&after=%d", url.QueryEscape(node), after))
}

// snapshotChains are the blocks of each chain in a snapshot, by node and in order.
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

func (s snapshotChains) heads(context.Context) ([]wire.AuditChainHead, error) {
	var out []wire.AuditChainHead
	for _, node := range slices.Sorted(maps.Keys(s)) {
		out = append(out, wire.AuditChainHead{Node: node, BlockNumber: s[node][len(s[node])-1].Number})
	}
	return out, nil
}

func (s snapshotChains) blocks(_ context.Context, node string, after uint64) (wire.AuditPage, error) {
	i, _ := slices.BinarySearchFunc(
		s[node],
		after+1,
		func(b wire.AuditBlock, n uint64) int { return cmp.Compare(b.Number, n) },
	)
	return wire.AuditPage{Blocks: s[node][i:]}, nil
}

// auditFlags select events, and the time zone in which times are shown.
type auditFlags struct {
	server, snapshotFile, node, zone, since, until string
	filter                                         audit.Filter
	location                                       *time.Location
}

// addSourceFlags adds the flags of where to read.
func (f *auditFlags) addSourceFlags(c *cobra.Command) {
	c.Flags().StringVar(&f.server, "server", "127.0.0.1:8080", "address of a controller")
	c.Flags().StringVar(&f.snapshotFile, "snapshot", "", "read a saved state instead of a site")
	c.Flags().StringVar(&f.node, "node", "", "of this controller alone")
}

// addFilterFlags adds the flags of what to select.
func (f *auditFlags) addFilterFlags(c *cobra.Command) {
	c.Flags().StringVar(&f.filter.Identity, "who", "", "acts of an identity")
	c.Flags().
		StringVar(&f.filter.Verb, "verb", "", "submit, cancel, read, administer, audit, start, take, stop, restore; "+
			"of a refused request: its method")
	c.Flags().StringVar(&f.filter.Object, "object", "", "acts on a job, an identity or whatever else")
	c.Flags().StringVar(&f.filter.Outcome, "outcome", "", "done or refused")
	c.Flags().
		StringVar(&f.since, "since", "", "from a day, or a time: 2026-12-01, 2026-12-01T14:00, "+
			"or with a zone as in RFC 3339")
	c.Flags().StringVar(&f.until, "until", "", "to the end of a day, or before a time")
	c.Flags().StringVar(&f.zone, "tz", "UTC", "time zone of times and calendar days, as Europe/Zurich")
}

// parseTimes parses and checks the flags of times, and the outcome.
func (f *auditFlags) parseTimes() (err error) {
	if f.location, err = time.LoadLocation(f.zone); err != nil {
		return fmt.Errorf("--tz: no time zone %q", f.zone)
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

// parseTime parses a time, or a calendar day: then it returns the beginning of the day so many days later.
// Days are those of the calendar, which may have 23 or 25 hours.
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
		return t, fmt.Errorf("%q is no day and no time", text)
	}
	return t, nil
}

// openChains opens the snapshot, if one is named, or the controller.
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
		return nil, fmt.Errorf("--node: no controller %q has recorded anything", f.node)
	}
	return heads, nil
}

// chainCursor iterates over the selected events of one chain.
type chainCursor struct {
	node      string
	after     uint64 // number of the last block that was read
	pending   []audit.Event
	exhausted bool
}

// fetchNext reads pages until an event is pending or there are no more.
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
					"chain of %s, block %d: %w; `dewlift audit verify` tells more", c.node, stored.Number, err)
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

// forEachEvent calls do for all selected events, those of all chains merged by their times.
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

// earliestCursor returns the cursor whose next event is the earliest; nil: there are no more events.
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
	cmd := &cobra.Command{Use: "audit", Short: "Read and verify the record of who did what"}
	cmd.AddCommand(auditKeyCommand(), auditListCommand(identity), auditVerifyCommand(identity), auditReportCommand(identity))
	return cmd
}

func auditKeyCommand() *cobra.Command {
	return &cobra.Command{
		Use: "key FILE", Short: "Make the key that the record is signed with", Args: cobra.ExactArgs(1),
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
		Use: "list", Short: "List acts, with their times, who did them and what came of them", Args: cobra.NoArgs,
		Example: "  dewlift audit list --who potter --outcome refused --since 2026-11-30 --tz Europe/Zurich " +
			"--key admin.key --server 10.0.0.1:8080",
		RunE: func(cmd *cobra.Command, _ []string) error {
			out := cmd.OutOrStdout()
			enc := json.NewEncoder(out)
			return f.forEachEvent(cmd.Context(), identity, func(a *audit.Event) error {
				if asJSON {
					return enc.Encode(a)
				}
				return printEvent(out, a)
			})
		},
	}
	f.addSourceFlags(cmd)
	f.addFilterFlags(cmd)
	cmd.Flags().BoolVar(&asJSON, "json", false, "as JSON, one act a line")
	return cmd
}

// printEvent prints an event in one line.
func printEvent(w io.Writer, event *audit.Event) error {
	times, why := "", ""
	if event.Count > 1 {
		times = fmt.Sprintf(" (%d times)", event.Count)
	}
	if event.Reason != "" {
		why = ": " + event.Reason
	}
	_, err := fmt.Fprintf(w, "%s %-8s %-12s %s %s%s %s%s\n", event.At.Format("2006-01-02T15:04:05.000Z07:00"),
		event.Node, cmp.Or(event.Identity, "-"), event.Verb, cmp.Or(event.Object, "-"), times, event.Outcome, why)
	return err
}

func auditVerifyCommand(identity *clientIdentity) *cobra.Command {
	var f auditFlags
	var keyFiles []string
	var endsFile string
	cmd := &cobra.Command{
		Use: "verify", Short: "Check that no entry was altered, removed, added or moved", Args: cobra.NoArgs,
		Long: "Check that no entry was altered, removed, added or moved since it was written. " +
			"The first that was is named, and the\n" +
			"command ends with 1. Entries cut off the end of a chain are noticed by a file of ends (--ends), " +
			"which is kept\n" +
			"elsewhere and brought up to date by each good check.",
		Example: "  dewlift audit verify --audit-key audit.key --ends ends.json --key admin.key --server 10.0.0.1:8080",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if len(keyFiles) == 0 {
				return errors.New("--audit-key is needed: without it nothing can be proven")
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
		StringSliceVar(&keyFiles, "audit-key", nil, "a key's file; repeated where controllers have their own, "+
			"or the key was changed")
	cmd.Flags().StringVar(&endsFile, "ends", "", "the file of ends that were found before")
	return cmd
}

// chainEnd is the last block of a chain when it was verified; its tags are the form of the file of ends.
type chainEnd struct {
	Number uint64 `json:"number"`
	MAC    []byte `json:"code"`
}

// verify verifies the selected chains, also against the ends found before, and saves the new ends. endsFile
// may be "": none.
func (f *auditFlags) verify(cmd *cobra.Command, chains auditChains, keys []audit.Key, endsFile string) error {
	previousEnds, err := loadChainEnds(endsFile)
	if err != nil {
		return err
	}
	heads, err := f.chainHeads(cmd.Context(), chains)
	if err != nil {
		return err
	}
	for node := range previousEnds { // a chain that was there and is gone must be noticed
		if f.node == "" && !slices.ContainsFunc(heads, func(h wire.AuditChainHead) bool { return h.Node == node }) {
			heads = append(heads, wire.AuditChainHead{Node: node})
		}
	}
	show, done := newProgress("verifying", -1)
	defer done()
	ends := maps.Clone(previousEnds)
	total := uint64(0)
	for _, head := range heads {
		known := map[uint64][]byte{} // codes of blocks by number, from other sources than the chain
		if head.Code != nil {
			known[head.BlockNumber] = head.Code
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

// verifyChain verifies all blocks of a chain, and that it has the known ones.
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
			if code, ok := known[block.Number]; ok && !bytes.Equal(code, verifier.MAC) {
				return &audit.ChainError{
					Node:   verifier.Node,
					Block:  block.Number,
					Reason: "is another than was known: the chain was replaced",
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
				Reason: fmt.Sprintf("and those behind it, up to %d, were removed", number),
			}
		}
	}
	return nil
}

// loadChainEnds reads a file of ends; there are none without a file.
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
		err = errors.New("null is no list of ends")
	}
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("ends %s: %w", path, err)
	}
	return ends, nil
}

// saveChainEnds replaces the file of ends atomically.
func saveChainEnds(path string, ends map[string]chainEnd) error {
	raw, err := json.MarshalIndent(ends, "", "  ")
	if err != nil {
		return err
	}
	file, err := os.CreateTemp(filepath.Dir(path), ".ends")
	if err != nil {
		return fmt.Errorf("ends: %w", err)
	}
	_, err = file.Write(append(raw, '\n'))
	if err == nil {
		err = file.Sync()
	}
	if err = errors.Join(err, file.Close()); err == nil {
		err = os.Rename(file.Name(), path)
	}
	if err != nil {
		_ = os.Remove(file.Name()) // the first error is the one to report
		return fmt.Errorf("ends: %w", err)
	}
	return nil
}

func auditReportCommand(identity *clientIdentity) *cobra.Command {
	var f auditFlags
	var file string
	cmd := &cobra.Command{
		Use: "report", Short: "Write a page of who did what, by day, with a plot", Args: cobra.NoArgs,
		Example: "  dewlift audit report --html november.html --since 2026-11-01 --until 2026-11-30 " +
			"--tz Europe/Zurich --key admin.key",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if file == "" {
				return errors.New("--html FILE is needed")
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
				return fmt.Errorf("report: %w", err)
			}
			if err := errors.Join(page.WriteHTML(out, f.selectionNote()), out.Close()); err != nil {
				return fmt.Errorf("report: %w", err)
			}
			printf(cmd.OutOrStdout(), "%s: %d days\n", file, len(page.Days()))
			return nil
		},
	}
	f.addSourceFlags(cmd)
	f.addFilterFlags(cmd)
	cmd.Flags().StringVar(&file, "html", "", "the page's file")
	return cmd
}

// selectionNote says in words which events are selected, "" if all are.
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
