package sim

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"dewlift/archive"
	"dewlift/core"
	"dewlift/internal/previousversion"
	"dewlift/wire"
)

// announcedLimits are the lower limits of the store that the settings announce in a simulated upgrade. The new version
// complies with them from its start.
var announcedLimits = storeLimits{txnOps: 4, valueBytes: 2048, writesPerSecond: 30}

// scheduleRollingUpgrade upgrades the processes one by one, and lowers the limits after the upgrade or even during it.
// A process that crashes before its upgrade restarts with the previous version.
func (s *Simulator) scheduleRollingUpgrade() {
	at := s.randomDuration(15*time.Second, 40*time.Second)
	for _, n := range s.nodes {
		n.bootsPrevious = true
		s.schedule(at, func() { s.upgradeNode(n) })
		at += s.randomDuration(3*time.Second, 15*time.Second)
	}
	if s.chance(0.2) { // earlier than announced
		s.schedule(s.randomDuration(15*time.Second, at), s.applyAnnouncedLimits)
		return
	}
	s.schedule(at+s.randomDuration(0, 20*time.Second), s.applyAnnouncedLimits)
}

// upgradeNode restarts a process with the new version.
func (s *Simulator) upgradeNode(n *node) {
	s.Trace("%v upgrade %s", s.now, n.name)
	n.bootsPrevious = false
	s.crashIfUp(n)
}

// applyAnnouncedLimits has the store enforce the announced limits.
func (s *Simulator) applyAnnouncedLimits() {
	s.Trace("%v lower limits of the store", s.now)
	s.store.limits = announcedLimits
}

// previousVersionMayRun reports whether a process of the previous version may be running.
func (s *Simulator) previousVersionMayRun() bool {
	for _, n := range s.nodes {
		if n.bootsPrevious || n.runsPrevious {
			return true
		}
	}
	return false
}

// checkWrittenSchema checks that the new version writes only what it may: nothing beyond the announced limits and,
// while a process of the previous version may be running, nothing that this version can't read or would lose.
func (s *Simulator) checkWrittenSchema(n *node, txn wire.Txn) {
	if n.runsPrevious || !s.options.RollingUpgrade {
		return
	}
	if announcedLimits.exceeded(txn) {
		s.Checker.violated("limits", "%s sends %d writes, beyond the announced limits", n.name, len(txn.Then))
	}
	if !s.previousVersionMayRun() {
		return
	}
	for _, write := range txn.Then {
		if strings.HasPrefix(write.Put, archive.BlockPrefix) || strings.HasPrefix(write.Delete, core.Root+"job/") {
			s.Checker.violated("forms", "%s archives a job while the previous version may run", n.name)
		}
		if write.Put == "" {
			continue
		}
		understood, known, err := previousversion.RoundTripValue(write.Put, write.Value)
		if err != nil || known && !sameJSON(understood, write.Value) {
			s.Checker.violated("forms", "%s writes %s while the previous version may run: %s (%v)",
				n.name, write.Put, write.Value, err)
		}
	}
}

// sameJSON reports whether two texts hold the same JSON value.
func sameJSON(a, b json.RawMessage) bool {
	var x, y any
	return json.Unmarshal(a, &x) == nil && json.Unmarshal(b, &y) == nil && fmt.Sprint(x) == fmt.Sprint(y)
}

// asUnderstoodBy returns an input as a controller's process reads it: the previous version ignores unknown keys and
// fields.
func (s *Simulator) asUnderstoodBy(n *node, in core.Input) core.Input {
	if !n.runsPrevious {
		return in
	}
	switch in := in.(type) {
	case core.SnapshotPage:
		var items []wire.KeyValue
		for _, item := range in.Items {
			if value, ok := s.valueForPreviousVersion(n, item.Key, item.Value); ok {
				item.Value = value
				items = append(items, item)
			}
		}
		in.Items = items
		return in
	case core.WatchResult:
		var events []wire.WatchEvent
		for _, event := range in.Changes.Events {
			if event.Put == "" {
				events = append(events, event)
			} else if value, ok := s.valueForPreviousVersion(n, event.Put, event.Value); ok {
				event.Value = value
				events = append(events, event)
			}
		}
		in.Changes.Events = events
		return in
	case core.PeerMessage:
		in.Message = messageForPreviousVersion(s, in.Message)
		return in
	case core.SubmitJob:
		in.Spec.Dependencies = nil
		return in
	}
	return in
}

// valueForPreviousVersion returns a stored value as the previous version reads it; ok is false if it ignores the key.
func (s *Simulator) valueForPreviousVersion(n *node, key string, raw json.RawMessage) (json.RawMessage, bool) {
	value, known, err := previousversion.RoundTripValue(key, raw)
	if err != nil {
		s.Checker.violated("forms", "%s can't read %s: %v", n.name, key, err)
	}
	return value, known && err == nil
}

// messageForPreviousVersion returns a message as the previous version reads it.
func messageForPreviousVersion(sim *Simulator, message core.Message) core.Message {
	var previous previousversion.Message
	var out core.Message
	raw, err := json.Marshal(message)
	if err == nil {
		err = json.Unmarshal(raw, &previous)
	}
	if err == nil {
		raw, err = json.Marshal(previous)
	}
	if err == nil {
		err = json.Unmarshal(raw, &out)
	}
	if err != nil {
		sim.Checker.violated("forms", "the previous version can't read a message: %v", err)
	}
	return out
}
