package snapshot

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"dewlift/core"
	"dewlift/core/auditlog"
	"dewlift/core/jobrecord"
	pb "dewlift/proto"
	"dewlift/wire"
)

// Target is a key-value store to restore to.
type Target struct {
	Source
	WriteRPS float64 // writes per second
	TxnOps   int     // writes per transaction
}

const (
	keyRestoring = core.Root + "restoring" // holds the digest of the snapshot while it is being restored

	// fencingTokenIncrement is added to the fencing token: agents reject tokens lower than the highest that
	// they have seen, and the cluster may have continued to run after the snapshot was taken.
	fencingTokenIncrement = 1_000_000

	maxTxnBytes        = 40 << 10 // per transaction
	writeOverheadBytes = 50       // per write, in addition to its key and value
)

// ErrNotEmpty is returned if a store contains anything other than a partial restore of the same snapshot.
var ErrNotEmpty = errors.New("the store is not empty")

// isLeaseBound reports whether a key belongs to a controller's lease and is deleted with it.
func isLeaseBound(name string) bool {
	return slices.ContainsFunc(core.LeasedKeyPrefixes, func(prefix string) bool {
		return strings.HasPrefix(name, prefix)
	})
}

// Restore writes the keys of a snapshot to an empty store. It verifies the file first, so that a damaged file
// changes nothing. An interrupted restore can be repeated with the same file. No controller may run in the
// meantime. progress, which may be nil, is called with the number of keys read and the total.
func Restore(ctx context.Context, t *Target, path string, progress func(keys, of int)) (*pb.Trailer, error) {
	t.connect()
	trailer, err := Verify(path)
	if err != nil {
		return nil, err
	}
	if err := t.claimEmptyStore(ctx, fmt.Sprintf("%x", trailer.Digest)); err != nil {
		return nil, err
	}
	hasAudit, err := t.restoreKeys(ctx, path, trailer, progress)
	if err != nil {
		return nil, err
	}
	marker, err := json.Marshal(fmt.Sprintf("snapshot of %s, revision %d, digest %x",
		time.UnixMilli(trailer.TakenMs).UTC().Format(time.RFC3339), trailer.Ledger, trailer.Digest[:8]))
	if err != nil {
		return nil, fmt.Errorf("encode restore marker: %w", err)
	}
	last := wire.Txn{Then: []wire.Write{{Delete: keyRestoring}}}
	if hasAudit { // the controllers will record the restore
		last.Then = append(last.Then, wire.Write{Put: core.KeyRestored, Value: marker})
	}
	return trailer, t.commit(ctx, last)
}

// restoreKeys writes the keys of a file and reports whether the cluster has an audit log.
func (t *Target) restoreKeys(
	ctx context.Context,
	path string,
	trailer *pb.Trailer,
	progress func(keys, of int),
) (hasAudit bool, err error) {
	limiter := rate.NewLimiter(rate.Limit(t.WriteRPS), max(t.TxnOps, int(t.WriteRPS)))
	batcher := &txnBatcher{target: t, limiter: limiter}
	keys := 0
	if _, err := ReadFile(path, func(key *pb.Key) error {
		if keys++; progress != nil {
			progress(keys, int(trailer.Keys))
		}
		hasAudit = hasAudit || key.Name == auditlog.KeyInitialized
		if isLeaseBound(key.Name) {
			return nil
		}
		value, err := restoredValue(key, trailer.Ledger)
		if err != nil {
			return err
		}
		return batcher.put(ctx, wire.Write{Put: key.Name, Value: value})
	}); err != nil {
		return false, err
	}
	return hasAudit, batcher.flush(ctx)
}

// restoredValue returns the value to restore for a key. revision is that of the snapshot.
func restoredValue(key *pb.Key, revision uint64) (json.RawMessage, error) {
	switch {
	case key.Name == core.KeyFencingToken:
		token, err := strconv.ParseUint(string(key.Value), 10, 64)
		if err != nil {
			return nil, fmt.Errorf("parse fencing token of the snapshot: %w", err)
		}
		return []byte(strconv.FormatUint(token+fencingTokenIncrement, 10)), nil
	case strings.HasPrefix(key.Name, core.KeyJob):
		return jobrecord.PrepareForRestore(key.Value, key.Mark, revision), nil
	}
	return key.Value, nil
}

// claimEmptyStore marks an empty store as being restored from the named snapshot. A store that is already
// marked with that name may be restored further; any other store is not empty.
func (t *Target) claimEmptyStore(ctx context.Context, name string) error {
	first, err := t.readPage(ctx, clusterKeyPrefix, "", 1)
	if err != nil {
		return err
	}
	marker, err := json.Marshal(name)
	if err != nil {
		return fmt.Errorf("encode marker: %w", err)
	}
	if len(first.Items) > 0 {
		marked, err := t.readPage(ctx, keyRestoring, "", 1)
		if err != nil {
			return err
		}
		if len(marked.Items) == 0 || string(marked.Items[0].Value) != string(marker) {
			return ErrNotEmpty
		}
		return nil
	}
	return t.commit(ctx, wire.Txn{
		Compare: []wire.Compare{{Key: keyRestoring}},
		Then:    []wire.Write{{Put: keyRestoring, Value: marker}},
	})
}

// commit commits a transaction whose compares must hold.
func (t *Target) commit(ctx context.Context, txn wire.Txn) error {
	_, status, err := requestWithRetry[wire.TxnResponse](ctx, &t.Source, http.MethodPost, wire.PathTxn, txn)
	if err == nil && status != http.StatusOK {
		err = statusError(status)
	}
	return err
}

// txnBatcher collects writes of new keys into transactions.
type txnBatcher struct {
	target  *Target
	limiter *rate.Limiter
	writes  []wire.Write
	bytes   int
}

// put adds a write. It first commits the pending writes if the transaction can't take another one.
func (b *txnBatcher) put(ctx context.Context, write wire.Write) error {
	if len(b.writes) == b.target.TxnOps || b.bytes+len(write.Value) > maxTxnBytes {
		if err := b.flush(ctx); err != nil {
			return err
		}
	}
	b.writes = append(b.writes, write)
	b.bytes += len(write.Put) + len(write.Value) + writeOverheadBytes
	return nil
}

// flush commits the pending writes. Each is conditional on the absence of its key, and the keys that an
// interrupted restore has already written are skipped.
func (b *txnBatcher) flush(ctx context.Context) error {
	for len(b.writes) > 0 {
		if err := b.limiter.WaitN(ctx, len(b.writes)); err != nil {
			return err
		}
		txn := wire.Txn{Then: b.writes}
		for _, write := range b.writes {
			txn.Compare = append(txn.Compare, wire.Compare{Key: write.Put})
		}
		response, status, err := requestWithRetry[wire.TxnResponse](
			ctx, &b.target.Source, http.MethodPost, wire.PathTxn, txn)
		switch {
		case err != nil:
			return err
		case status == http.StatusOK:
			b.writes = nil
		case status == http.StatusConflict:
			remaining := slices.DeleteFunc(slices.Clone(b.writes), func(write wire.Write) bool {
				return slices.Contains(response.Failed, write.Put)
			})
			if len(remaining) == len(b.writes) {
				return fmt.Errorf("write %s: store reported a conflict without a failed condition", b.writes[0].Put)
			}
			b.writes = remaining
		default:
			return fmt.Errorf("write %s and others: %w: %s", b.writes[0].Put, statusError(status), response.Error)
		}
	}
	b.writes, b.bytes = nil, 0
	return nil
}
