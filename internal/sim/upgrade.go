package sim

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"dewlift/archive"
	"dewlift/core"
	"dewlift/internal/production"
	"dewlift/wire"
)

// next are the limits that the settings announce when a world plays an upgrade. A new version
// keeps to them from its start.
var next = limits{ops: 4, value: 2048, rate: 30}

// upgrade replaces the processes one by one, and has the limits fall at some moment after it, or
// even during it. A process that dies before its turn comes back old.
func (w *World) upgrade() {
	at := w.between(15*time.Second, 40*time.Second)
	for _, n := range w.nodes {
		n := n
		n.old = true
		w.after(at, func() { w.replace(n) })
		at += w.between(3*time.Second, 15*time.Second)
	}
	if w.chance(0.2) { // sooner than announced
		w.after(w.between(15*time.Second, at), w.fall)
		return
	}
	w.after(at+w.between(0, 20*time.Second), w.fall)
}

// replace ends a process, and has it come back with the new version.
func (w *World) replace(n *node) {
	w.Trace("%v upgrade %s", w.now, n.name)
	n.old = false
	if !n.down {
		w.crash(n)
	}
}

// fall has the announced limits come into force.
func (w *World) fall() {
	w.Trace("%v the limits fall", w.now)
	w.state.limits = next
}

// oldOnes reports whether a process of the old version may be running.
func (w *World) oldOnes() bool {
	for _, n := range w.nodes {
		if n.old || n.ranOld {
			return true
		}
	}
	return false
}

// checkForms checks that a new version writes what it may: nothing beyond the limits to come, and
// while an old process may be running, nothing that it would not understand or would lose.
func (w *World) checkForms(n *node, t wire.Txn) {
	if n.ranOld || !w.opt.Upgrade {
		return
	}
	if next.exceeded(t) {
		w.Check.broken("limits", "%s sends %d changes, more or larger than will be taken", n.name, len(t.Then))
	}
	if !w.oldOnes() {
		return
	}
	for _, x := range t.Then {
		if strings.HasPrefix(x.Put, archive.BlockPrefix) || strings.HasPrefix(x.Delete, core.Root+"job/") {
			w.Check.broken("forms", "%s moves an ended job while an old process may run", n.name)
		}
		if x.Put == "" {
			continue
		}
		seen, ok, err := production.Sees(x.Put, x.Value)
		if err != nil || ok && !sameJSON(seen, x.Value) {
			w.Check.broken("forms", "%s writes %s while an old process may run: %s (%v)", n.name, x.Put, x.Value, err)
		}
	}
}

func sameJSON(a, b json.RawMessage) bool {
	var x, y any
	return json.Unmarshal(a, &x) == nil && json.Unmarshal(b, &y) == nil && fmt.Sprint(x) == fmt.Sprint(y)
}

// understood is an input as the process of a controller understands it: one of the old version
// ignores the keys and fields that it does not know.
func (w *World) understood(n *node, in core.Input) core.Input {
	if !n.ranOld {
		return in
	}
	see := func(key string, raw json.RawMessage) (json.RawMessage, bool) {
		v, ok, err := production.Sees(key, raw)
		if err != nil {
			w.Check.broken("forms", "%s can't read %s: %v", n.name, key, err)
		}
		return v, ok && err == nil
	}
	switch in := in.(type) {
	case core.Loaded:
		var items []wire.KeyValue
		for _, it := range in.Items {
			if v, ok := see(it.Key, it.Value); ok {
				it.Value = v
				items = append(items, it)
			}
		}
		in.Items = items
		return in
	case core.Changed:
		var log []wire.WatchEvent
		for _, e := range in.Changes.Events {
			if e.Put == "" {
				log = append(log, e)
			} else if v, ok := see(e.Put, e.Value); ok {
				e.Value = v
				log = append(log, e)
			}
		}
		in.Changes.Events = log
		return in
	case core.FromPeer:
		in.Msg = throughOld(w, in.Msg)
		return in
	case core.Submit:
		in.Spec.Dependencies = nil
		return in
	}
	return in
}

// throughOld is a message as the old version reads it.
func throughOld(w *World, m core.Msg) core.Msg {
	var old production.Msg
	var out core.Msg
	raw, err := json.Marshal(m)
	if err == nil {
		err = json.Unmarshal(raw, &old)
	}
	if err == nil {
		raw, err = json.Marshal(old)
	}
	if err == nil {
		err = json.Unmarshal(raw, &out)
	}
	if err != nil {
		w.Check.broken("forms", "a message is not understood: %v", err)
	}
	return out
}
