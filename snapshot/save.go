package snapshot

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"dewlift/internal/httpjson"
	pb "dewlift/proto"
	"dewlift/wire"
)

// Source is a key-value store and the rate at which it may be read.
type Source struct {
	Addr string
	RPS  float64 // requests per second

	client  *httpjson.Client
	limiter *rate.Limiter
}

const (
	clusterKeyPrefix = "d" // prefix of all keys of the cluster
	pageItems        = 1000
	pagesPerWatch    = 20 // pages between two reads of changes: the store keeps a limited number of changes
	requestTimeout   = 10 * time.Second
	maxResponseBytes = 64 << 20

	maxAttempts      = 20 // per request
	retryDelay       = 200 * time.Millisecond
	maxDelayMultiple = 10 // the delay grows by retryDelay with each attempt, up to this multiple
)

// connect creates the client and the limiter on first use.
func (s *Source) connect() {
	if s.client == nil {
		s.client = httpjson.New(1, 1, maxResponseBytes)
		s.limiter = rate.NewLimiter(rate.Limit(s.RPS), 1)
	}
}

// statusError is the error of a response with an unexpected status.
func statusError(status int) error {
	return fmt.Errorf("store responded with status %d", status)
}

// requestWithRetry sends a request and repeats it while the store is throttling or unavailable. If there is
// no response, only a read is repeated, because a write may have been executed.
func requestWithRetry[T any](ctx context.Context, s *Source, method, path string, body any) (T, int, error) {
	var zero T
	var last httpjson.Response
	for attempt := range maxAttempts {
		if err := s.limiter.Wait(ctx); err != nil {
			return zero, 0, err
		}
		value, response := httpjson.Decode[T](s.client.Do(ctx, requestTimeout, method, "http://"+s.Addr+path, body))
		switch {
		case response.Status == http.StatusTooManyRequests, response.Status == http.StatusServiceUnavailable,
			response.Status == 0 && method == http.MethodGet:
		case response.Status == 0:
			return value, 0, fmt.Errorf("request to store: %w", response.Err)
		default:
			return value, response.Status, nil
		}
		last = response
		select {
		case <-time.After(time.Duration(min(attempt+1, maxDelayMultiple)) * retryDelay):
		case <-ctx.Done():
			return value, 0, ctx.Err()
		}
	}
	if last.Err != nil {
		return zero, 0, fmt.Errorf("request to store: %w", last.Err)
	}
	return zero, last.Status, statusError(last.Status)
}

// readPage reads a page of at most limit keys with a prefix that follow afterKey.
func (s *Source) readPage(ctx context.Context, prefix, afterKey string, limit int) (wire.RangeResponse, error) {
	path := wire.RangePath(prefix, afterKey, limit)
	page, status, err := requestWithRetry[wire.RangeResponse](ctx, s, http.MethodGet, path, nil)
	if err == nil && status != http.StatusOK {
		err = statusError(status)
	}
	return page, err
}

// readChanges adds the last change of each key since a revision, and returns the revision as of which the
// changes are complete.
func (s *Source) readChanges(ctx context.Context, since uint64, changed map[string]wire.WatchEvent) (uint64, error) {
	path := fmt.Sprintf("%s?starts=%s&from=%d", wire.PathWatch, clusterKeyPrefix, since)
	changes, status, err := requestWithRetry[wire.WatchResponse](ctx, s, http.MethodGet, path, nil)
	switch {
	case err != nil:
		return 0, err
	case status == http.StatusGone:
		return 0, errors.New("the store dropped changes before they were read: increase the snapshot's request rate")
	case status != http.StatusOK:
		return 0, statusError(status)
	}
	for _, event := range changes.Events {
		changed[event.Put+event.Delete] = event // one of them is empty
	}
	return max(since, changes.Revision), nil
}

// Save writes all keys as of one revision to a file, which exists only once it is complete. Because the
// cluster runs while the pages are read, they are written to a temporary file, and the keys that have changed
// since the first page are then merged into it. progress, which may be nil, is called with the number of keys
// read.
func Save(ctx context.Context, s *Source, path string, progress func(keys int)) (trailer *pb.Trailer, err error) {
	s.connect()
	dir := filepath.Dir(path)
	pages, err := os.CreateTemp(dir, ".snapshot-pages-*")
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	defer func() { // a failure to remove the temporary file does not affect the snapshot
		_ = pages.Close()
		_ = os.Remove(pages.Name())
	}()
	changed := map[string]wire.WatchEvent{}
	revision, err := s.readPages(ctx, pages, changed, progress)
	if err != nil {
		return nil, err
	}
	out, err := os.CreateTemp(dir, ".snapshot-*")
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	defer func() { _ = os.Remove(out.Name()) }() // has no effect after the file was renamed
	if err := mergeChanges(pages, out, changed, revision); err != nil {
		return nil, errors.Join(err, out.Close())
	}
	if err := errors.Join(out.Sync(), out.Close()); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	if trailer, err = Verify(out.Name()); err != nil { // verifies what was written to disk
		return nil, err
	}
	if err := os.Rename(out.Name(), path); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	return trailer, nil
}

// readPages writes all keys as they are read, and collects the changes that are made until the last page has
// been read. It returns the revision as of which pages and changes together are complete.
func (s *Source) readPages(
	ctx context.Context,
	w io.Writer,
	changed map[string]wire.WatchEvent,
	progress func(int),
) (uint64, error) {
	out, err := NewWriter(w)
	if err != nil {
		return 0, err
	}
	afterKey, revision, keys := "", uint64(0), 0
	for pages := 1; ; pages++ {
		page, err := s.readPage(ctx, clusterKeyPrefix, afterKey, pageItems)
		if err != nil {
			return 0, err
		}
		if afterKey == "" {
			revision = page.Revision
		}
		for _, item := range page.Items {
			if err := out.Add(&pb.Key{Name: item.Key, Value: item.Value, Mark: item.Revision}); err != nil {
				return 0, err
			}
			afterKey = item.Key
		}
		if keys += len(page.Items); progress != nil {
			progress(keys)
		}
		last := !page.More || len(page.Items) == 0
		if last || pages%pagesPerWatch == 0 {
			if revision, err = s.readChanges(ctx, revision, changed); err != nil {
				return 0, err
			}
		}
		if last {
			return revision, out.Close(revision, time.Now())
		}
	}
}

// mergeChanges writes the keys of the pages, with changed keys in their last state.
func mergeChanges(pages *os.File, w io.Writer, changed map[string]wire.WatchEvent, revision uint64) error {
	if _, err := pages.Seek(0, io.SeekStart); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	out, err := NewWriter(w)
	if err != nil {
		return err
	}
	names := slices.Sorted(maps.Keys(changed))
	addChanged := func(name string) error {
		if event := changed[name]; event.Put != "" {
			return out.Add(&pb.Key{Name: name, Value: event.Value, Mark: event.Revision})
		}
		return nil // deleted
	}
	if _, err = Read(pages, func(key *pb.Key) error {
		for len(names) > 0 && names[0] < key.Name {
			if err := addChanged(names[0]); err != nil {
				return err
			}
			names = names[1:]
		}
		if len(names) > 0 && names[0] == key.Name {
			return nil // the change replaces it
		}
		return out.Add(key)
	}); err != nil {
		return err
	}
	for _, name := range names {
		if err := addChanged(name); err != nil {
			return err
		}
	}
	return out.Close(revision, time.Now())
}

// Verify reads a whole file, checks it and returns its trailer.
func Verify(path string) (*pb.Trailer, error) {
	return ReadFile(path, func(*pb.Key) error { return nil })
}

// ReadFile reads a file like Read.
func ReadFile(path string, visit func(*pb.Key) error) (*pb.Trailer, error) {
	in, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	defer func() { _ = in.Close() }() // it was only read
	trailer, err := Read(in, visit)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return trailer, nil
}
