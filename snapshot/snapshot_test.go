package snapshot

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"dewlift/internal/fakes"
	pb "dewlift/proto"
	"dewlift/wire"
)

// serveStore serves an empty fake store.
func serveStore(t *testing.T, limits fakes.Limits) (*fakes.Store, Source) {
	t.Helper()
	store := fakes.NewStore(limits)
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	return store, Source{Addr: strings.TrimPrefix(server.URL, "http://"), RPS: 1e6}
}

// keysOf returns the keys and values in a file.
func keysOf(t *testing.T, path string) map[string]string {
	t.Helper()
	values := map[string]string{}
	if _, err := ReadFile(path, func(key *pb.Key) error {
		values[key.Name] = string(key.Value)
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	return values
}

// While the pages are read, keys are written and deleted in pairs, each pair by one transaction. A snapshot
// as of one revision must contain both keys of a pair with the same value, or neither.
func TestSaveIsConsistentAtOneRevision(t *testing.T) {
	store, source := serveStore(t, fakes.Limits{PageItems: 7})
	var items []wire.KeyValue
	for i := range 300 {
		for _, side := range []string{"dl/a/", "dl/z/"} {
			items = append(items, wire.KeyValue{Key: fmt.Sprintf("%s%03d", side, i), Value: json.RawMessage("0")})
		}
	}
	store.PutUnchecked(items)
	ctx := t.Context()
	writer := Source{Addr: source.Addr, RPS: 1e6}
	writer.connect()
	changes := 0
	changePairs := func(int) { // called for each page that is read
		for range 5 {
			changes++
			id := fmt.Sprintf("%03d", changes*37%330)
			value := json.RawMessage(fmt.Sprint(changes))
			txn := wire.Txn{Then: []wire.Write{{Put: "dl/a/" + id, Value: value}, {Put: "dl/z/" + id, Value: value}}}
			if changes%3 == 0 {
				txn.Then = []wire.Write{{Delete: "dl/a/" + id}, {Delete: "dl/z/" + id}}
			}
			_, status, err := requestWithRetry[wire.TxnResponse](ctx, &writer, http.MethodPost, wire.PathTxn, txn)
			if err != nil || status != http.StatusOK {
				t.Error(status, err)
			}
		}
	}
	path := filepath.Join(t.TempDir(), "s")
	trailer, err := Save(ctx, &source, path, changePairs)
	if err != nil {
		t.Fatal(err)
	}
	got := keysOf(t, path)
	if changes < 100 || len(got) < 400 || int(trailer.Keys) != len(got) {
		t.Fatalf("%d changes, %d keys", changes, len(got))
	}
	for key, value := range got {
		other := "dl/z/" + strings.TrimPrefix(key, "dl/a/")
		if strings.HasPrefix(key, "dl/z/") {
			other = "dl/a/" + strings.TrimPrefix(key, "dl/z/")
		}
		if got[other] != value {
			t.Errorf("%s is %s, %s is %q", key, value, other, got[other])
		}
	}
}

// smallSnapshot returns a snapshot of 20 keys in two parts.
func smallSnapshot(t *testing.T) []byte {
	t.Helper()
	var file bytes.Buffer
	w, err := NewWriter(&file)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 20 {
		if err := w.Add(&pb.Key{Name: fmt.Sprintf("dl/%02d", i), Value: []byte("1"), Mark: 3}); err != nil {
			t.Fatal(err)
		}
		if i == 9 { // two parts
			if err := w.flush(); err != nil {
				t.Fatal(err)
			}
		}
	}
	if err := w.Close(5, time.UnixMilli(1000)); err != nil {
		t.Fatal(err)
	}
	return file.Bytes()
}

// A file that is truncated at any position or has any bit flipped must not be accepted as complete.
func TestEveryDamageIsDetected(t *testing.T) {
	good := smallSnapshot(t)
	read := func(raw []byte) error {
		_, err := Read(bytes.NewReader(raw), func(*pb.Key) error { return nil })
		return err
	}
	if err := read(good); err != nil {
		t.Fatal(err)
	}
	for n := range good {
		if err := read(good[:n]); !errors.Is(err, ErrDamaged) {
			t.Errorf("truncated at %d: %v", n, err)
		}
	}
	for i := range len(good) * 8 {
		damaged := bytes.Clone(good)
		damaged[i/8] ^= 1 << (i % 8)
		if err := read(damaged); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("bit %d: %v", i, err)
		}
	}
	if err := read(append(bytes.Clone(good), 0)); !errors.Is(err, ErrDamaged) {
		t.Error("trailing data is not detected")
	}
}

// putAll puts keys with their values into a store.
func putAll(store *fakes.Store, values map[string]string) {
	var items []wire.KeyValue
	for key, value := range values {
		items = append(items, wire.KeyValue{Key: key, Value: json.RawMessage(value)})
	}
	store.PutUnchecked(items)
}

// damagedCopy copies a file with one bit flipped.
func damagedCopy(t *testing.T, path string) string {
	t.Helper()
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	raw[len(raw)-3] ^= 4
	damaged := filepath.Join(t.TempDir(), "damaged")
	if err := os.WriteFile(damaged, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	return damaged
}

// A restore must write all keys except those of leases, and raise the fencing token. It must refuse a damaged
// file and a store that is not empty without changing anything. An interrupted restore must be repeatable.
func TestRestoreRebuildsTheStore(t *testing.T) {
	ctx := t.Context()
	store, source := serveStore(t, fakes.Limits{})
	want := map[string]string{
		"dl/epoch":    "7",
		"dl/node/n0":  "{}",
		"dl/shard/03": "{}",
		"dl/leader":   "{}",
		"da/b/~":      `{"x":"1"}`,
	}
	for i := range 50 {
		want[fmt.Sprintf("dl/job/wk-%03d", i)] = fmt.Sprintf(`{"h":%d}`, i)
	}
	putAll(store, want)
	path := filepath.Join(t.TempDir(), "s")
	if _, err := Save(ctx, &source, path, nil); err != nil {
		t.Fatal(err)
	}
	if got := keysOf(t, path); !maps.Equal(got, want) {
		t.Fatalf("saved %v", got)
	}
	target := func(s Source) *Target { return &Target{Source: s, WriteRPS: 1e6, TxnOps: 4} }
	if _, err := Restore(ctx, target(source), path, nil); !errors.Is(err, ErrNotEmpty) {
		t.Errorf("restore to a store that is not empty: %v", err)
	}
	restored, destination := serveStore(t, fakes.Limits{TxnOps: 4})
	if _, err := Restore(ctx, target(destination), damagedCopy(t, path), nil); !errors.Is(err, ErrDamaged) {
		t.Errorf("restore of a damaged file: %v", err)
	}
	if n, _ := restored.CountKeys(""); n != 0 {
		t.Errorf("%d keys of a damaged file were written", n)
	}
	stopped, stop := context.WithCancel(ctx)
	var once sync.Once
	if _, err := Restore(stopped, target(destination), path, func(keys, _ int) {
		if keys == 30 {
			once.Do(stop)
		}
	}); err == nil {
		t.Fatal("the restore was not interrupted")
	}
	if n, _ := restored.CountKeys(""); n < 10 || n > 40 {
		t.Fatalf("%d keys were written before the interruption", n)
	}
	if _, err := Restore(ctx, target(destination), path, nil); err != nil {
		t.Fatal(err)
	}
	again := filepath.Join(t.TempDir(), "again")
	if _, err := Save(ctx, &destination, again, nil); err != nil {
		t.Fatal(err)
	}
	for _, leased := range []string{"dl/node/n0", "dl/shard/03", "dl/leader"} {
		delete(want, leased)
	}
	want["dl/epoch"] = fmt.Sprint(7 + fencingTokenIncrement)
	if got := keysOf(t, again); !maps.Equal(got, want) {
		t.Errorf("restored %v", got)
	}
}

// FuzzRead checks that a file that is read without an error has as many keys as its trailer says.
func FuzzRead(f *testing.F) {
	var file bytes.Buffer
	w, err := NewWriter(&file)
	if err != nil {
		f.Fatal(err)
	}
	if err := errors.Join(w.Add(&pb.Key{Name: "dl/1", Value: []byte("1")}), w.Close(1, time.Now())); err != nil {
		f.Fatal(err)
	}
	f.Add(file.Bytes())
	f.Add([]byte(Magic))
	f.Fuzz(func(t *testing.T, raw []byte) {
		keys := 0
		trailer, err := Read(bytes.NewReader(raw), func(*pb.Key) error { keys++; return nil })
		if err == nil && int(trailer.Keys) != keys {
			t.Fatalf("read %d keys, the trailer has %d", keys, trailer.Keys)
		}
	})
}
