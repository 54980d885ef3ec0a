package sim

import (
	"dewlift/archive"
	"dewlift/core"
	"dewlift/internal/previousversion"
	"dewlift/wire"
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

// announcedLimits are the limits that the settings announce when a world plays an upgrade. A new version
// keeps to them from its start.
var announcedLimits = storeLimits{txnOps: 4, valueBytes: 2048, writesPerSecond: 30}

// scheduleRollingUpgrade replaces the processes one by one, and has the limits fall at some moment after it, or
// even during it. A process that dies before its turn comes back old.
func (w *Simulator) scheduleRollingUpgrade() {
	at := w.randomDuration(15*time.Second, 40*time.Second)
	for _, n := range w.nodes {
		n := n
		n.bootsPrevious = true
		w.schedule(at, func() { w.upgradeNode(n) })
		at += w.randomDuration(3*time.Second, 15*time.Second)
	}
	if w.chance(0.2) { // sooner than announced
		w.schedule(w.randomDuration(15*time.Second, at), w.applyAnnouncedLimits)
		return
	}
	w.schedule(at+w.randomDuration(0, 20*time.Second), w.applyAnnouncedLimits)
}

// upgradeNode ends a process, and has it come back with the new version.
func (w *Simulator) upgradeNode(n *node) {
	w.Trace("%v upgrade %s", w.now, n.name)
	n.bootsPrevious = false
	if !n.down {
		w.crash(n)
	}
}

// applyAnnouncedLimits has the announced limits come into force.
func (w *Simulator) applyAnnouncedLimits() {
	w.Trace("%v the limits fall", w.now)
	w.store.limits = announcedLimits
}

// previousVersionMayRun reports whether a process of the old version may be running.
func (w *Simulator) previousVersionMayRun() bool {
	for _, n := range w.nodes {
		if n.bootsPrevious || n.runsPrevious {
			return true
		}
	}
	return false
}

// checkWrittenSchema checks that a new version writes what it may: nothing beyond the limits to come, and
// while an old process may be running, nothing that it would not understand or would lose.
func (w *Simulator) checkWrittenSchema(n *node, t wire.Txn) {
	if n.runsPrevious || !w.options.RollingUpgrade {
		return
	}
	if announcedLimits.exceeded(t) {
		w.Checker.violated("limits", "%s sends %d changes, more or larger than will be taken", n.name, len(t.Then))
	}
	if !w.previousVersionMayRun() {
		return
	}
	for _, x := range t.Then {
		if strings.HasPrefix(x.Put, archive.BlockPrefix) || strings.HasPrefix(x.Delete, core.Root+"job/") {
			w.Checker.violated("forms", "%s moves an ended job while an old process may run", n.name)
		}
		if x.Put == "" {
			continue
		}
		seen, ok, err := previousversion.RoundTripValue(x.Put, x.Value)
		if err != nil || ok && !sameJSON(seen, x.Value) {
			w.Checker.violated(
				"forms",
				"%s writes %s while an old process may run: %s (%v)",
				n.name,
				x.Put,
				x.Value,
				err,
			)
		}
	}
}

func sameJSON(a, b json.RawMessage) bool {
	var x, y any
	return json.Unmarshal(a, &x) == nil && json.Unmarshal(b, &y) == nil && fmt.Sprint(x) == fmt.Sprint(y)
}

// asUnderstoodBy is an input as the process of a controller understands it: one of the old version
// ignores the keys and fields that it does not know.
func (w *Simulator) asUnderstoodBy(n *node, in core.Input) core.Input {
	if !n.runsPrevious {
		return in
	}
	see := func(key string, raw json.RawMessage) (json.RawMessage, bool) {
		v, ok, err := previousversion.RoundTripValue(key, raw)
		if err != nil {
			w.Checker.violated("forms", "%s can't read %s: %v", n.name, key, err)
		}
		return v, ok && err == nil
	}
	switch in := in.(type) {
	case core.SnapshotPage:
		var items []wire.KeyValue
		for _, it := range in.Items {
			if v, ok := see(it.Key, it.Value); ok {
				it.Value = v
				items = append(items, it)
			}
		}
		in.Items = items
		return in
	case core.WatchResult:
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
	case core.PeerMessage:
		in.Message = throughPreviousVersion(w, in.Message)
		return in
	case core.SubmitJob:
		in.Spec.Dependencies = nil
		return in
	}
	return in
}

// throughPreviousVersion is a message as the old version reads it.
func throughPreviousVersion(w *Simulator, m core.Message) core.Message {
	var old previousversion.Message
	var out core.Message
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
		w.Checker.violated("forms", "a message is not understood: %v", err)
	}
	return out
}
