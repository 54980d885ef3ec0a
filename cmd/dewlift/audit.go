package main

import (
	"bytes"
	"cmp"
	"context"
	"dewlift/access"
	"dewlift/audit"
	"dewlift/audit/report"
	"dewlift/internal/httpjson"
	"dewlift/settings"
	"dewlift/snapshot"
	"dewlift/wire"
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
	_ "time/tzdata"

	// a controller's machine may have no zones

	"github.com/spf13/cobra"

	pb "dewlift/proto"
)

// minAuditTxnOps is how many changes a transaction takes at least where something is recorded: a
// controller's first block, the chain's head, its settings, and the sign that something is
// recorded.
const minAuditTxnOps = 4

// auditKeyFor reads the key that rights name; none, nothing is recorded.
func auditKeyFor(rights *access.Policy, p *settings.Platform) (audit.Key, error) {
	path := rights.Source().AuditKey
	if path == "" {
		return nil, nil
	}
	for _, n := range []*int{&p.Cluster.State.TxnOps, p.Cluster.State.Next.TxnOps} {
		if n != nil && *n < minAuditTxnOps {
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
	k, err := audit.ParseKey(string(raw))
	if err != nil {
		return nil, fmt.Errorf("audit key %s: %w", path, err)
	}
	return k, nil
}

// auditChains is where blocks are read: from a site, or from a saved state.
type auditChains interface {
	heads(ctx context.Context) ([]wire.AuditChainHead, error)
	blocks(ctx context.Context, node string, after uint64) (wire.AuditPage, error)
}

// liveChains reads through a controller, in somebody's name.
type liveChains struct {
	identity *clientIdentity
	server   string
}

const maxAuditPageAttempts = 30 // of a page, a second or so apart, while a controller is busy

func fetchAudit[T any](ctx context.Context, s *liveChains, query string) (T, error) {
	for try := 1; ; try++ {
		r, err := s.identity.request(ctx, http.MethodGet, s.server, wire.PathAudit+query, nil)
		if err != nil {
			var none T
			return none, err
		}
		if busy := r.Status == http.StatusServiceUnavailable || r.Status == http.StatusTooManyRequests; busy &&
			try < maxAuditPageAttempts {
			select {
			case <-time.After(time.Second):
				continue
			case <-ctx.Done():
				var none T
				return none, ctx.Err()
			}
		}
		out, r := httpjson.Decode[T](r)
		return out, checkResponse(s.server, r)
	}
}

func (s *liveChains) heads(ctx context.Context) ([]wire.AuditChainHead, error) {
	h, err := fetchAudit[wire.AuditChainHeads](ctx, s, "")
	return h.Heads, err
}

func (s *liveChains) blocks(ctx context.Context, node string, after uint64) (wire.AuditPage, error) {
	return fetchAudit[wire.AuditPage](ctx, s, fmt.Sprintf("?node=%s&after=%d", url.QueryEscape(node), after))
}

// snapshotChains are those of a snapshot.
type snapshotChains map[string][]wire.AuditBlock

func readSnapshotChains(path string) (snapshotChains, error) {
	out := snapshotChains{}
	_, err := snapshot.ReadFile(path, func(k *pb.Key) error {
		if node, n, ok := audit.SplitBlockKey(k.Name); ok {
			out[node] = append(out[node], wire.AuditBlock{Number: n, Value: bytes.Clone(k.Value)})
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

// auditFlags choose what is read, and how times are shown.
type auditFlags struct {
	server, snapshotFile, node, zone, since, until string
	filter                                         audit.Filter
	location                                       *time.Location
}

func (f *auditFlags) addSourceFlags(c *cobra.Command) {
	c.Flags().StringVar(&f.server, "server", "127.0.0.1:8080", "address of a controller")
	c.Flags().StringVar(&f.snapshotFile, "snapshot", "", "read a saved state instead of a site")
	c.Flags().StringVar(&f.node, "node", "", "of this controller alone")
}

func (f *auditFlags) addFilterFlags(c *cobra.Command) {
	c.Flags().StringVar(&f.filter.Identity, "who", "", "acts of an identity")
	c.Flags().
		StringVar(&f.filter.Verb, "verb", "", "submit, cancel, read, administer, audit, start, take, stop, restore; of a refused request: its method")
	c.Flags().StringVar(&f.filter.Object, "object", "", "acts on a job, an identity or whatever else")
	c.Flags().StringVar(&f.filter.Outcome, "outcome", "", "done or refused")
	c.Flags().
		StringVar(&f.since, "since", "", "from a day, or a time: 2026-12-01, 2026-12-01T14:00, or with a zone as in RFC 3339")
	c.Flags().StringVar(&f.until, "until", "", "to the end of a day, or before a time")
	c.Flags().StringVar(&f.zone, "tz", "UTC", "time zone of times and calendar days, as Europe/Zurich")
}

// parseTimes reads the flags that are text.
func (f *auditFlags) parseTimes() (err error) {
	if f.location, err = time.LoadLocation(f.zone); err != nil {
		return fmt.Errorf("--tz: no time zone %q", f.zone)
	}
	if o := f.filter.Outcome; o != "" && o != audit.OutcomeDone && o != audit.OutcomeRefused {
		return fmt.Errorf("--outcome: %q is neither %s nor %s", o, audit.OutcomeDone, audit.OutcomeRefused)
	}
	if f.filter.Since, err = parseTime(f.since, f.location, 0); err != nil {
		return fmt.Errorf("--since: %w", err)
	}
	if f.filter.Until, err = parseTime(f.until, f.location, 1); err != nil {
		return fmt.Errorf("--until: %w", err)
	}
	return nil
}

// parseTime reads a time, or a calendar day: its begin, or that of so many days later, which may be
// 23 or 25 hours away.
func parseTime(text string, zone *time.Location, days int) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	if t, err := time.ParseInLocation(time.DateOnly, text, zone); err == nil {
		return time.Date(t.Year(), t.Month(), t.Day()+days, 0, 0, 0, 0, zone), nil
	}
	for _, form := range []string{"2006-01-02T15:04", "2006-01-02T15:04:05"} {
		if t, err := time.ParseInLocation(form, text, zone); err == nil {
			return t, nil
		}
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return t, fmt.Errorf("%q is no day and no time", text)
	}
	return t, nil
}

func (f *auditFlags) openChains(me *clientIdentity) (auditChains, error) {
	if f.snapshotFile != "" {
		return readSnapshotChains(f.snapshotFile)
	}
	return &liveChains{me, f.server}, nil
}

// chainHeads lists the ends of the chains that are asked for.
func (f *auditFlags) chainHeads(ctx context.Context, s auditChains) ([]wire.AuditChainHead, error) {
	heads, err := s.heads(ctx)
	if err != nil || f.node == "" {
		return heads, err
	}
	heads = slices.DeleteFunc(heads, func(h wire.AuditChainHead) bool { return h.Node != f.node })
	if len(heads) == 0 {
		return nil, fmt.Errorf("--node: no controller %q has recorded anything", f.node)
	}
	return heads, nil
}

// chainCursor goes through the acts of one chain.
type chainCursor struct {
	node        string
	after       uint64
	pendingActs []audit.Event
	exhausted   bool
}

// fetchNext sees to it that there is an act, unless there are no more.
func (u *chainCursor) fetchNext(
	ctx context.Context,
	s auditChains,
	zone *time.Location,
	keep func(*audit.Event) bool,
) error {
	for len(u.pendingActs) == 0 && !u.exhausted {
		p, err := s.blocks(ctx, u.node, u.after)
		if err != nil {
			return err
		}
		for _, raw := range p.Blocks {
			b, err := audit.DecodeBlock(raw.Value)
			if err != nil {
				return fmt.Errorf(
					"chain of %s, block %d: %w; `dewlift audit verify` tells more",
					u.node,
					raw.Number,
					err,
				)
			}
			for _, a := range b.Events(u.node, zone) {
				if keep(&a) {
					u.pendingActs = append(u.pendingActs, a)
				}
			}
			u.after = raw.Number
		}
		u.exhausted = !p.More || len(p.Blocks) == 0
	}
	return nil
}

// forEachAct calls do for all acts that are asked for, those of all chains merged by their times.
func (f *auditFlags) forEachAct(ctx context.Context, me *clientIdentity, do func(*audit.Event) error) error {
	if err := f.parseTimes(); err != nil {
		return err
	}
	s, err := f.openChains(me)
	if err != nil {
		return err
	}
	heads, err := f.chainHeads(ctx, s)
	if err != nil {
		return err
	}
	var list []*chainCursor
	for _, h := range heads {
		list = append(list, &chainCursor{node: h.Node})
	}
	show, done := newProgress("reading", -1)
	defer done()
	for n := 0; ; n++ {
		var next *chainCursor
		for _, u := range list {
			if err := u.fetchNext(ctx, s, f.location, f.filter.Matches); err != nil {
				return err
			}
			if len(u.pendingActs) > 0 && (next == nil || u.pendingActs[0].At.Before(next.pendingActs[0].At)) {
				next = u
			}
		}
		if next == nil {
			return nil
		}
		if err := do(&next.pendingActs[0]); err != nil {
			return err
		}
		next.pendingActs = next.pendingActs[1:]
		show(n, -1)
	}
}

func auditCommand(me *clientIdentity) *cobra.Command {
	cmd := &cobra.Command{Use: "audit", Short: "Read and verify the record of who did what"}
	cmd.AddCommand(auditKeyCommand(), auditListCommand(me), auditVerifyCommand(me), auditReportCommand(me))
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

func auditListCommand(me *clientIdentity) *cobra.Command {
	var f auditFlags
	var asJSON bool
	cmd := &cobra.Command{
		Use: "list", Short: "List acts, with their times, who did them and what came of them", Args: cobra.NoArgs,
		Example: "  dewlift audit list --who potter --outcome refused --since 2026-11-30 --tz Europe/Zurich --key admin.key --server 10.0.0.1:8080",
		RunE: func(cmd *cobra.Command, _ []string) error {
			out := cmd.OutOrStdout()
			enc := json.NewEncoder(out)
			return f.forEachAct(cmd.Context(), me, func(a *audit.Event) error {
				if asJSON {
					return enc.Encode(a)
				}
				return printAct(out, a)
			})
		},
	}
	f.addSourceFlags(cmd)
	f.addFilterFlags(cmd)
	cmd.Flags().BoolVar(&asJSON, "json", false, "as JSON, one act a line")
	return cmd
}

func printAct(w io.Writer, a *audit.Event) error {
	times, why := "", ""
	if a.Count > 1 {
		times = fmt.Sprintf(" (%d times)", a.Count)
	}
	if a.Reason != "" {
		why = ": " + a.Reason
	}
	_, err := fmt.Fprintf(
		w,
		"%s %-8s %-12s %s %s%s %s%s\n",
		a.At.Format("2006-01-02T15:04:05.000Z07:00"),
		a.Node,
		cmp.Or(a.Identity, "-"),
		a.Verb,
		cmp.Or(a.Object, "-"),
		times,
		a.Outcome,
		why,
	)
	return err
}

func auditVerifyCommand(me *clientIdentity) *cobra.Command {
	var f auditFlags
	var keys []string
	var known string
	cmd := &cobra.Command{
		Use: "verify", Short: "Check that no entry was altered, removed, added or moved", Args: cobra.NoArgs,
		Long: "Check that no entry was altered, removed, added or moved since it was written. The first that was is named, and the\n" +
			"command ends with 1. Entries cut off the end of a chain are noticed by a file of ends (--ends), which is kept\n" +
			"elsewhere and brought up to date by each good check.",
		Example: "  dewlift audit verify --audit-key audit.key --ends ends.json --key admin.key --server 10.0.0.1:8080",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if len(keys) == 0 {
				return errors.New("--audit-key is needed: without it nothing can be proven")
			}
			var list []audit.Key
			for _, path := range keys {
				k, err := loadAuditKey(path)
				if err != nil {
					return err
				}
				list = append(list, k)
			}
			s, err := f.openChains(me)
			if err != nil {
				return err
			}
			return f.verify(cmd, s, list, known)
		},
	}
	f.addSourceFlags(cmd)
	cmd.Flags().
		StringSliceVar(&keys, "audit-key", nil, "a key's file; repeated where controllers have their own, or the key was changed")
	cmd.Flags().StringVar(&known, "ends", "", "the file of ends that were found before")
	return cmd
}

// chainEnd is where a chain ended when it was found whole.
type chainEnd struct {
	Number uint64 `json:"number"`
	Code   []byte `json:"code"`
}

func (f *auditFlags) verify(cmd *cobra.Command, s auditChains, keys []audit.Key, known string) error {
	before := map[string]chainEnd{}
	if known != "" {
		raw, err := os.ReadFile(known)
		if err == nil {
			err = json.Unmarshal(raw, &before)
		}
		if err != nil && !errors.Is(err, os.ErrNotExist) {
			return fmt.Errorf("ends %s: %w", known, err)
		}
	}
	heads, err := f.chainHeads(cmd.Context(), s)
	if err != nil {
		return err
	}
	for node := range before { // one that is there no more
		if f.node == "" && !slices.ContainsFunc(heads, func(h wire.AuditChainHead) bool { return h.Node == node }) {
			heads = append(heads, wire.AuditChainHead{Node: node})
		}
	}
	show, done := newProgress("verifying", -1)
	defer done()
	now := maps.Clone(before)
	total := uint64(0)
	for _, h := range heads {
		c := &audit.ChainVerifier{Node: h.Node, Keys: keys}
		must := map[uint64][]byte{} // codes of blocks as others know them
		if h.Code != nil {
			must[h.BlockNumber] = h.Code
		}
		if e, ok := before[h.Node]; ok {
			must[e.Number] = e.Code
		}
		for more := true; more; {
			p, err := s.blocks(cmd.Context(), h.Node, c.BlockNumber)
			if err != nil {
				return err
			}
			for _, b := range p.Blocks {
				if _, err := c.VerifyNext(b.Number, b.Value); err != nil {
					return err
				}
				if code, ok := must[b.Number]; ok && !bytes.Equal(code, c.MAC) {
					return &audit.Fault{
						Node:   h.Node,
						Block:  b.Number,
						Reason: "is another than was known: the chain was replaced",
					}
				}
			}
			show(int(total+c.EntryCount), -1)
			more = p.More && len(p.Blocks) > 0
		}
		for n := range must {
			if n > c.BlockNumber {
				return &audit.Fault{
					Node:   h.Node,
					Block:  c.BlockNumber + 1,
					Reason: fmt.Sprintf("and those behind it, up to %d, were removed", n),
				}
			}
		}
		total += c.EntryCount
		now[h.Node] = chainEnd{c.BlockNumber, c.MAC}
		fmt.Fprintf(
			cmd.OutOrStdout(),
			"chain of %s: %d blocks, %d entries, whole\n",
			h.Node,
			c.BlockNumber,
			c.EntryCount,
		)
	}
	if known == "" {
		return nil
	}
	return saveChainEnds(known, now)
}

// saveChainEnds replaces the file of ends whole, or not at all.
func saveChainEnds(path string, ends map[string]chainEnd) error {
	raw, err := json.MarshalIndent(ends, "", "  ")
	if err != nil {
		return err
	}
	t, err := os.CreateTemp(filepath.Dir(path), ".ends")
	if err != nil {
		return fmt.Errorf("ends: %w", err)
	}
	_, err = t.Write(append(raw, '\n'))
	if err == nil {
		err = t.Sync()
	}
	if err = errors.Join(err, t.Close()); err == nil {
		err = os.Rename(t.Name(), path)
	}
	if err != nil {
		os.Remove(t.Name())
		return fmt.Errorf("ends: %w", err)
	}
	return nil
}

func auditReportCommand(me *clientIdentity) *cobra.Command {
	var f auditFlags
	var file string
	cmd := &cobra.Command{
		Use: "report", Short: "Write a page of who did what, by day, with a plot", Args: cobra.NoArgs,
		Example: "  dewlift audit report --html november.html --since 2026-11-01 --until 2026-11-30 --tz Europe/Zurich --key admin.key",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if file == "" {
				return errors.New("--html FILE is needed")
			}
			if err := f.parseTimes(); err != nil {
				return err
			}
			r := &report.Report{Zone: f.location}
			if err := f.forEachAct(cmd.Context(), me, func(a *audit.Event) error { r.Add(a); return nil }); err != nil {
				return err
			}
			out, err := os.Create(file)
			if err != nil {
				return fmt.Errorf("report: %w", err)
			}
			var chosen []string
			for _, x := range [][2]string{
				{"who", f.filter.Identity},
				{"verb", f.filter.Verb},
				{"object", f.filter.Object},
				{"outcome", f.filter.Outcome},
				{"since", f.since},
				{"until", f.until},
			} {
				if x[1] != "" {
					chosen = append(chosen, x[0]+" "+x[1])
				}
			}
			note := ""
			if len(chosen) > 0 {
				note = "Only: " + strings.Join(chosen, ", ") + "."
			}
			if err := errors.Join(r.WriteHTML(out, note), out.Close()); err != nil {
				return fmt.Errorf("report: %w", err)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: %d days\n", file, len(r.Days()))
			return nil
		},
	}
	f.addSourceFlags(cmd)
	f.addFilterFlags(cmd)
	cmd.Flags().StringVar(&file, "html", "", "the page's file")
	return cmd
}
