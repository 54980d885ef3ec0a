package snapshot

import (
	"context"
	"dewlift/internal/httpjson"
	"dewlift/wire"
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

	pb "dewlift/proto"
)

// Source is a state service, and how much of it may be used.
type Source struct {
	Addr string
	RPS  float64 // requests a second

	client  *httpjson.Client
	limiter *rate.Limiter
}

const (
	siteRoot         = "d" // begins all keys of a site
	pageItems        = 1000
	pagesPerWatch    = 20 // pages, after which the changes until then are read: the service keeps only so many
	requestTimeout   = 10 * time.Second
	maxResponseBytes = 64 << 20
)

func (s *Source) connect() {
	if s.client == nil {
		s.client = httpjson.New(1, 1, maxResponseBytes)
		s.limiter = rate.NewLimiter(rate.Limit(s.RPS), 1)
	}
}

// requestWithRetry makes a request, and again while the service is busy or does not answer.
func requestWithRetry[T any](ctx context.Context, s *Source, method, path string, body any) (T, int, error) {
	var last httpjson.Response
	for try := range 20 {
		if err := s.limiter.Wait(ctx); err != nil {
			var none T
			return none, 0, err
		}
		v, r := httpjson.Decode[T](s.client.Do(ctx, requestTimeout, method, "http://"+s.Addr+path, body))
		switch {
		case r.Status == http.StatusTooManyRequests || r.Status == http.StatusServiceUnavailable || r.Status == 0 && method == http.MethodGet:
		case r.Status == 0:
			return v, 0, fmt.Errorf("state service: %w", r.Err)
		default:
			return v, r.Status, nil
		}
		last = r
		select {
		case <-time.After(time.Duration(min(try+1, 10)) * 200 * time.Millisecond):
		case <-ctx.Done():
			return v, 0, ctx.Err()
		}
	}
	var none T
	if last.Err != nil {
		return none, 0, fmt.Errorf("state service: %w", last.Err)
	}
	return none, last.Status, fmt.Errorf("state service answers %d", last.Status)
}

func (s *Source) readPage(ctx context.Context, prefix, from string, most int) (wire.RangeResponse, error) {
	p, status, err := requestWithRetry[wire.RangeResponse](
		ctx,
		s,
		http.MethodGet,
		wire.RangePath(prefix, from, most),
		nil,
	)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("state service answers %d", status)
	}
	return p, err
}

// readChanges are the last ones of each key since a revision, and the revision that they lead to.
func (s *Source) readChanges(ctx context.Context, from uint64, into map[string]wire.WatchEvent) (uint64, error) {
	ch, status, err := requestWithRetry[wire.WatchResponse](
		ctx,
		s,
		http.MethodGet,
		fmt.Sprintf("%s?starts=%s&from=%d", wire.PathWatch, siteRoot, from),
		nil,
	)
	switch {
	case err != nil:
		return 0, err
	case status == http.StatusGone:
		return 0, errors.New("the state service changed too much meanwhile: allow the snapshot more requests")
	case status != http.StatusOK:
		return 0, fmt.Errorf("state service answers %d", status)
	}
	for _, e := range ch.Events {
		into[e.Put+e.Delete] = e
	}
	return max(from, ch.Revision), nil
}

// Save writes all keys as of one revision to a file, which is there only once it is whole. Reading takes
// a while, and the site goes on meanwhile: so the pages are kept aside, and the keys that changed since
// the first page are then put in their place. progress is told the keys read; it may be nil.
func Save(ctx context.Context, s *Source, path string, progress func(keys int)) (t *pb.Trailer, err error) {
	s.connect()
	dir := filepath.Dir(path)
	aside, err := os.CreateTemp(dir, ".snapshot-pages-*")
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	defer os.Remove(aside.Name())
	defer aside.Close()
	changed := map[string]wire.WatchEvent{}
	ledger, err := s.readPages(ctx, aside, changed, progress)
	if err != nil {
		return nil, err
	}
	out, err := os.CreateTemp(dir, ".snapshot-*")
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	defer os.Remove(out.Name()) // once it has its own name, there is none
	if err := mergeChanges(aside, out, changed, ledger); err != nil {
		return nil, errors.Join(err, out.Close())
	}
	if err := errors.Join(out.Sync(), out.Close()); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	if t, err = Verify(out.Name()); err != nil { // what is on the disk is what counts
		return nil, err
	}
	if err := os.Rename(out.Name(), path); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	return t, nil
}

// readPages reads all keys, and what changed since the first page until after the last.
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
	from, ledger, n := "", uint64(0), 0
	for pages := 1; ; pages++ {
		p, err := s.readPage(ctx, siteRoot, from, pageItems)
		if err != nil {
			return 0, err
		}
		if from == "" {
			ledger = p.Revision
		}
		for _, it := range p.Items {
			if err := out.Add(&pb.Key{Name: it.Key, Value: it.Value, Mark: it.Revision}); err != nil {
				return 0, err
			}
			from = it.Key
		}
		if n += len(p.Items); progress != nil {
			progress(n)
		}
		last := !p.More || len(p.Items) == 0
		if last || pages%pagesPerWatch == 0 {
			if ledger, err = s.readChanges(ctx, ledger, changed); err != nil {
				return 0, err
			}
		}
		if last {
			return ledger, out.Close(ledger, time.Now())
		}
	}
}

// mergeChanges writes the pages with what changed in its place.
func mergeChanges(pages *os.File, w io.Writer, changed map[string]wire.WatchEvent, ledger uint64) error {
	if _, err := pages.Seek(0, io.SeekStart); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	out, err := NewWriter(w)
	if err != nil {
		return err
	}
	names := slices.Sorted(maps.Keys(changed))
	put := func(name string) error {
		if e := changed[name]; e.Put != "" {
			return out.Add(&pb.Key{Name: name, Value: e.Value, Mark: e.Revision})
		}
		return nil
	}
	if _, err = Read(pages, func(k *pb.Key) error {
		for len(names) > 0 && names[0] < k.Name {
			if err := put(names[0]); err != nil {
				return err
			}
			names = names[1:]
		}
		if len(names) > 0 && names[0] == k.Name {
			return nil // the change takes its place
		}
		return out.Add(k)
	}); err != nil {
		return err
	}
	for _, name := range names {
		if err := put(name); err != nil {
			return err
		}
	}
	return out.Close(ledger, time.Now())
}

// Verify reads a whole file.
func Verify(path string) (*pb.Trailer, error) {
	return ReadFile(path, func(*pb.Key) error { return nil })
}

// ReadFile is Read of a file.
func ReadFile(path string, f func(*pb.Key) error) (*pb.Trailer, error) {
	in, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	defer in.Close()
	t, err := Read(in, f)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return t, nil
}
