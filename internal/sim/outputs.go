package sim

import (
	"dewlift/core"
	"time"
)

func (w *Simulator) performOutput(n *node, o core.Output) {
	w.OnOutput(n.name, o)
	life := n.incarnation
	back := func(in core.Input) {
		if n.incarnation == life && !n.down {
			w.deliver(n, in)
		}
	}
	switch o := o.(type) {
	case core.Response:
		if f := n.pendingRequests[o.RequestID]; f != nil {
			delete(n.pendingRequests, o.RequestID)
			f(o)
		}
	case core.SendToPeer:
		for _, p := range w.nodes {
			if p == n || o.Peer != "" && o.Peer != p.name {
				continue
			}
			p := p
			arrive := func() {
				if !p.down {
					w.deliver(p, core.PeerMessage{Peer: n.name, Message: o.Message})
				}
			}
			w.send(n.name, p.name, arrive)
			// it comes once more, perhaps when its sender or receiver has ended and is back
			if w.options.FlappingProcesses && w.chance(0.01) {
				w.schedule(w.randomDuration(0, 3*time.Second), arrive)
			}
		}
	case core.CommitTxn:
		out := core.TxnResult{ID: o.ID}
		w.checkWrittenSchema(n, o.Txn)
		late := 0.01
		if w.options.FlappingProcesses {
			w.injectFlap(n, o.Txn)
		}
		if w.options.AuditLog && writesAuditLog(o.Txn) {
			late = 0.06
		}
		after := w.commitDelay(o.Txn)
		if writesReservations(o.Txn) { // likewise, and often the last that their sender did
			late = 0.06
			if !w.options.NoFaults && w.chance(0.01) {
				w.crashSoon(n, "a booking")
			}
		}
		if movesToArchive(o.Txn) { // rare elsewhere: here often late, or the last that their sender did
			late = 0.15
			if !w.options.NoFaults && w.chance(0.04) {
				w.crashSoon(n, "a move")
			}
		}
		answer := w.commitResponseDelay(o.Txn)
		w.rpc(n.name, "state", 2*time.Second, max(after, w.randomDelay(late)), func() time.Duration {
			out.Status, out.Reply = w.store.commit(n.name, o.Txn)
			return answer
		}, func(ok bool) {
			if !ok {
				out = core.TxnResult{ID: o.ID}
			}
			back(out)
		})
	case core.Watch:
		w.store.serveWatch(n, o, back)
	case core.LoadSnapshot:
		var out core.SnapshotPage
		w.rpc(n.name, "state", 2*time.Second, 0, func() time.Duration { out = w.store.loadSnapshot(n.name, o); return 0 }, func(ok bool) {
			if !ok {
				out = core.SnapshotPage{}
			}
			back(out)
		})
	case core.ReadRange:
		out := core.RangeResult{ID: o.ID}
		w.rpc(n.name, "state", 2*time.Second, 0, func() time.Duration { out = w.store.readRange(n.name, o); return 0 }, func(ok bool) {
			if !ok {
				out = core.RangeResult{ID: o.ID}
			}
			back(out)
		})
	case core.LeaseRequest:
		out := core.LeaseResult{Op: o.Op}
		w.rpc(n.name, "state", time.Second, w.randomDelay(0.005), func() time.Duration { out = w.store.serveLease(n.name, o); return 0 }, func(ok bool) {
			if !ok {
				out = core.LeaseResult{Op: o.Op}
			}
			back(out)
		})
	case core.SendCommands:
		out := core.CommandsResult{ID: o.ID, MaybeDelivered: true}
		m := w.cloud.find(o.Machine)
		w.rpc(n.name, o.Machine, 2*time.Second, max(w.commandDelay(o), w.randomDelay(0.02)), func() time.Duration {
			if m != nil && !m.gone {
				out.Status, out.Heartbeat = m.handleCommands(o.Batch)
			}
			return 0
		}, func(ok bool) {
			if !ok {
				out = core.CommandsResult{ID: o.ID, MaybeDelivered: true}
			}
			back(out)
		})
	case core.PollAgent:
		m := w.cloud.find(o.Machine)
		out := core.AgentPolled{Machine: o.Machine}
		w.rpc(n.name, o.Machine, 2*time.Second, 0, func() time.Duration {
			if m != nil && m.up && !m.gone {
				out.Heartbeat = m.nextHeartbeat()
			}
			return 0
		}, func(ok bool) {
			if !ok {
				out.Heartbeat = nil
			}
			back(out)
		})
	case core.CloudRequest:
		out := core.CloudResult{ID: o.ID}
		w.rpc(n.name, "cloud", 4*time.Second, w.randomDelay(0.02), func() time.Duration { out = w.cloud.serve(o); return 0 }, func(ok bool) {
			if !ok {
				out = core.CloudResult{ID: o.ID}
			}
			back(out)
		})
	case core.LogLine:
		w.Trace("%v %s %s %v", w.now, n.name, o.Message, o.Args)
	}
}

// randomDelay makes a request late by seconds, sometimes: it is executed after its sender gave up.
func (w *Simulator) randomDelay(p float64) time.Duration {
	if !w.options.NoFaults && w.chance(p) {
		return w.randomDuration(2*time.Second, 40*time.Second)
	}
	return 0
}
