package snapshot

import (
	"bytes"
	"context"
	"dewlift/internal/fakes"
	"dewlift/wire"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	pb "dewlift/proto"
)

func serveStore(t *testing.T, l fakes.Limits) (*fakes.Store, Source) {
	t.Helper()
	s := fakes.NewStore(l)
	srv := httptest.NewServer(s)
	t.Cleanup(srv.Close)
	return s, Source{Addr: strings.TrimPrefix(srv.URL, "http://"), RPS: 1e6}
}

func keysOf(t *testing.T, path string) map[string]string {
	t.Helper()
	out := map[string]string{}
	if _, err := ReadFile(path, func(k *pb.Key) error { out[k.Name] = string(k.Value); return nil }); err != nil {
		t.Fatal(err)
	}
	return out
}

// While it is read, keys change, come and go, always in pairs of one transaction: a cut as of one
// revision has both of a pair or neither, and the same in them.
func TestSaveIsConsistentAtOneRevision(t *testing.T) {
	s, src := serveStore(t, fakes.Limits{PageItems: 7})
	var items []wire.KeyValue
	for i := range 300 {
		for _, side := range []string{"dl/a/", "dl/z/"} {
			items = append(items, wire.KeyValue{Key: fmt.Sprintf("%s%03d", side, i), Value: json.RawMessage("0")})
		}
	}
	s.PutUnchecked(items)
	ctx := t.Context()
	writer := Source{Addr: src.Addr, RPS: 1e6}
	writer.connect()
	n := 0
	write := func() { // at each page that is read, some pairs change
		for range 5 {
			n++
			id := fmt.Sprintf("%03d", n*37%330)
			x := wire.Txn{
				Then: []wire.Write{
					{Put: "dl/a/" + id, Value: json.RawMessage(fmt.Sprint(n))},
					{Put: "dl/z/" + id, Value: json.RawMessage(fmt.Sprint(n))},
				},
			}
			if n%3 == 0 {
				x.Then = []wire.Write{{Delete: "dl/a/" + id}, {Delete: "dl/z/" + id}}
			}
			if _, status, err := requestWithRetry[wire.TxnResponse](ctx, &writer, "POST", wire.PathTxn, x); err != nil ||
				status != 200 {
				t.Error(status, err)
			}
		}
	}
	path := filepath.Join(t.TempDir(), "s")
	head, err := Save(ctx, &src, path, func(int) { write() })
	if err != nil {
		t.Fatal(err)
	}
	got := keysOf(t, path)
	if n < 100 || len(got) < 400 || int(head.Keys) != len(got) {
		t.Fatalf("%d changes, %d keys", n, len(got))
	}
	for k, v := range got {
		other := "dl/z/" + strings.TrimPrefix(k, "dl/a/")
		if strings.HasPrefix(k, "dl/z/") {
			other = "dl/a/" + strings.TrimPrefix(k, "dl/z/")
		}
		if got[other] != v {
			t.Errorf("%s is %s, %s is %q", k, v, other, got[other])
		}
	}
}

func smallSnapshot(t *testing.T) []byte {
	t.Helper()
	var b bytes.Buffer
	w, err := NewWriter(&b)
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
	return b.Bytes()
}

// A file that ends anywhere before its end, or has any bit flipped, is named as damaged.
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
			t.Errorf("cut off at %d: %v", n, err)
		}
	}
	for i := range len(good) * 8 {
		bad := bytes.Clone(good)
		bad[i/8] ^= 1 << (i % 8)
		if err := read(bad); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("bit %d: %v", i, err)
		}
	}
	if err := read(append(bytes.Clone(good), 0)); !errors.Is(err, ErrDamaged) {
		t.Error("something follows")
	}
}

// A restore puts all keys but those of leases, raises the token, and refuses a damaged file and a state
// service that holds something, without a change. One that was interrupted goes on.
func TestRestoreRebuildsTheStore(t *testing.T) {
	ctx := t.Context()
	s, src := serveStore(t, fakes.Limits{})
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
	var items []wire.KeyValue
	for k, v := range want {
		items = append(items, wire.KeyValue{Key: k, Value: json.RawMessage(v)})
	}
	s.PutUnchecked(items)
	path := filepath.Join(t.TempDir(), "s")
	if _, err := Save(ctx, &src, path, nil); err != nil {
		t.Fatal(err)
	}
	if got := keysOf(t, path); !maps.Equal(got, want) {
		t.Fatalf("saved %v", got)
	}
	target := func(src Source) *Target { return &Target{Source: src, WriteRPS: 1e6, TxnOps: 4} }
	if _, err := Restore(ctx, target(src), path, nil); !errors.Is(err, ErrNotEmpty) {
		t.Errorf("a service that holds something: %v", err)
	}
	to, dst := serveStore(t, fakes.Limits{TxnOps: 4})
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	raw[len(raw)-3] ^= 4
	bad := filepath.Join(t.TempDir(), "bad")
	if err := os.WriteFile(bad, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Restore(ctx, target(dst), bad, nil); !errors.Is(err, ErrDamaged) {
		t.Errorf("a damaged file: %v", err)
	}
	if n, _ := to.CountKeys(""); n != 0 {
		t.Errorf("%d keys were put", n)
	}
	stopped, stop := context.WithCancel(ctx)
	var once sync.Once
	if _, err := Restore(stopped, target(dst), path, func(n, of int) {
		if n == 30 {
			once.Do(stop)
		}
	}); err == nil {
		t.Fatal("not interrupted")
	}
	if n, _ := to.CountKeys(""); n < 10 || n > 40 {
		t.Fatalf("%d keys were put", n)
	}
	if _, err := Restore(ctx, target(dst), path, nil); err != nil {
		t.Fatal(err)
	}
	again := filepath.Join(t.TempDir(), "again")
	if _, err := Save(ctx, &dst, again, nil); err != nil {
		t.Fatal(err)
	}
	for _, k := range []string{"dl/node/n0", "dl/shard/03", "dl/leader"} {
		delete(want, k)
	}
	want["dl/epoch"] = fmt.Sprint(7 + fencingTokenLeap)
	if got := keysOf(t, again); !maps.Equal(got, want) {
		t.Errorf("restored %v", got)
	}
}

func FuzzRead(f *testing.F) {
	var b bytes.Buffer
	w, err := NewWriter(&b)
	if err != nil {
		f.Fatal(err)
	}
	if err := errors.Join(w.Add(&pb.Key{Name: "dl/1", Value: []byte("1")}), w.Close(1, time.Now())); err != nil {
		f.Fatal(err)
	}
	f.Add(b.Bytes())
	f.Add([]byte(Magic))
	f.Fuzz(func(t *testing.T, raw []byte) {
		n := 0
		if h, err := Read(bytes.NewReader(raw), func(*pb.Key) error { n++; return nil }); err == nil &&
			int(h.Keys) != n {
			t.Fatalf("%d keys, %d told", n, h.Keys)
		}
	})
}
