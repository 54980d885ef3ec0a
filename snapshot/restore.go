package snapshot

import (
	"context"
	"dewlift/core"
	"dewlift/core/auditlog"
	"dewlift/core/jobrecord"
	"dewlift/wire"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"golang.org/x/time/rate"

	pb "dewlift/proto"
)

// Target is a state service to be restored to.
type Target struct {
	Source
	WriteRPS float64 // changes a second
	TxnOps   int     // changes of a transaction
}

const (
	keyRestoring = core.Root + "restoring" // names the snapshot while it is being restored
	// tokenLeap is by how much the token rises: workers refuse any that is lower than they have seen,
	// and the site may have gone on after the snapshot was taken.
	fencingTokenLeap = 1_000_000
	maxTxnBytes      = 40 << 10 // of a transaction
)

// ErrNotEmpty tells that a state service holds something.
var ErrNotEmpty = errors.New("the state service isn't empty")

// isLeaseBound reports whether a key belongs to a controller that holds a lease: it ends with that.
func isLeaseBound(name string) bool {
	for _, p := range core.LeasedKeyPrefixes {
		if strings.HasPrefix(name, p) {
			return true
		}
	}
	return false
}

// Restore puts a snapshot's keys into an empty state service. The file is read whole first: a damaged one
// changes nothing. One that was interrupted goes on with the same file. No controller may be running
// meanwhile. progress is told the keys put, of how many; it may be nil.
func Restore(ctx context.Context, t *Target, path string, progress func(keys, of int)) (*pb.Trailer, error) {
	t.connect()
	head, err := Verify(path)
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("%x", head.Digest)
	if err := t.claimEmptyStore(ctx, name); err != nil {
		return nil, err
	}
	w := &txnBatcher{target: t, limiter: rate.NewLimiter(rate.Limit(t.WriteRPS), max(t.TxnOps, int(t.WriteRPS)))}
	n, recorded := 0, false
	if _, err := ReadFile(path, func(k *pb.Key) error {
		if n++; progress != nil {
			progress(n, int(head.Keys))
		}
		recorded = recorded || k.Name == auditlog.KeyInitialized
		switch {
		case isLeaseBound(k.Name):
			return nil
		case k.Name == core.KeyFencingToken:
			v, err := strconv.ParseUint(string(k.Value), 10, 64)
			if err != nil {
				return fmt.Errorf("the snapshot's token is not a number: %w", err)
			}
			k.Value = []byte(strconv.FormatUint(v+fencingTokenLeap, 10))
		case strings.HasPrefix(k.Name, core.KeyJob):
			k.Value = jobrecord.PrepareForRestore(k.Value, k.Mark, head.Ledger)
		}
		return w.put(ctx, wire.Write{Put: k.Name, Value: k.Value})
	}); err != nil {
		return nil, err
	}
	if err := w.flush(ctx); err != nil {
		return nil, err
	}
	text, err := json.Marshal(
		fmt.Sprintf(
			"snapshot of %s, revision %d, digest %x",
			time.UnixMilli(head.TakenMs).UTC().Format(time.RFC3339),
			head.Ledger,
			head.Digest[:8],
		),
	)
	if err != nil {
		return nil, err
	}
	last := wire.Txn{Then: []wire.Write{{Delete: keyRestoring}}}
	if recorded { // the controllers will record that it was restored
		last.Then = append(last.Then, wire.Write{Put: core.KeyRestored, Value: text})
	}
	_, status, err := requestWithRetry[wire.TxnResponse](ctx, &t.Source, http.MethodPost, wire.PathTxn, last)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("state service answers %d", status)
	}
	return head, err
}

// claimEmptyStore sees to it that the service is empty, or holds a part of the same snapshot.
func (t *Target) claimEmptyStore(ctx context.Context, name string) error {
	p, err := t.readPage(ctx, siteRoot, "", 1)
	if err != nil {
		return err
	}
	mine, err := json.Marshal(name)
	if err != nil {
		return err
	}
	if len(p.Items) > 0 {
		q, err := t.readPage(ctx, keyRestoring, "", 1)
		if err != nil {
			return err
		}
		if len(q.Items) == 0 || string(q.Items[0].Value) != string(mine) {
			return ErrNotEmpty
		}
		return nil
	}
	_, status, err := requestWithRetry[wire.TxnResponse](ctx, &t.Source, http.MethodPost, wire.PathTxn,
		wire.Txn{Compare: []wire.Compare{{Key: keyRestoring}}, Then: []wire.Write{{Put: keyRestoring, Value: mine}}})
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("state service answers %d", status)
	}
	return err
}

// txnBatcher gathers puts into transactions.
type txnBatcher struct {
	target  *Target
	limiter *rate.Limiter
	writes  []wire.Write
	bytes   int
}

func (w *txnBatcher) put(ctx context.Context, x wire.Write) error {
	if len(w.writes) == w.target.TxnOps || w.bytes+len(x.Value) > maxTxnBytes {
		if err := w.flush(ctx); err != nil {
			return err
		}
	}
	w.writes = append(w.writes, x)
	w.bytes += len(x.Put) + len(x.Value) + 50
	return nil
}

func (w *txnBatcher) flush(ctx context.Context) error {
	for len(w.writes) > 0 {
		if err := w.limiter.WaitN(ctx, len(w.writes)); err != nil {
			return err
		}
		t := wire.Txn{Then: w.writes}
		for _, x := range w.writes {
			t.Compare = append(t.Compare, wire.Compare{Key: x.Put})
		}
		reply, status, err := requestWithRetry[wire.TxnResponse](
			ctx,
			&w.target.Source,
			http.MethodPost,
			wire.PathTxn,
			t,
		)
		switch {
		case err != nil:
			return err
		case status == http.StatusOK:
			w.writes = nil
		case status == http.StatusConflict: // put before it was interrupted
			left := w.writes[:0]
			for _, x := range w.writes {
				if !slices.Contains(reply.Failed, x.Put) {
					left = append(left, x)
				}
			}
			if len(left) == len(t.Then) {
				return fmt.Errorf("%s: the state service refuses it", w.writes[0].Put)
			}
			w.writes = left
		default:
			return fmt.Errorf("%s and others: the state service answers %d: %s", w.writes[0].Put, status, reply.Error)
		}
	}
	w.writes, w.bytes = nil, 0
	return nil
}
