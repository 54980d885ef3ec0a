package core

import (
	"time"

	"dewlift/wire"
)

const (
	// minValueBytes and minTxnOps bound how far refused transactions reduce the limits.
	minValueBytes = 512
	minTxnOps     = 2

	// acceptedSizePeriod is for how long, at least, the size of an accepted transaction tells that the store
	// takes transactions of that size.
	acceptedSizePeriod = time.Minute

	// Reduced limits are raised after a delay, which doubles each time that this was too early.
	minRaiseDelay = time.Minute
	maxRaiseDelay = time.Hour

	// raiseFactor is by how much limits are raised at a time.
	raiseFactor = 2
)

// txnSize is the size of a transaction, as far as the store limits it.
type txnSize struct {
	ops        int // writes
	valueBytes int // of the largest value
}

// sizeOf returns the size of a transaction.
func sizeOf(txn *wire.Txn) txnSize {
	size := txnSize{ops: len(txn.Then)}
	for _, write := range txn.Then {
		size.valueBytes = max(size.valueBytes, len(write.Value))
	}
	return size
}

// componentMax returns the larger of each part of two sizes.
func (s txnSize) componentMax(other txnSize) txnSize {
	return txnSize{ops: max(s.ops, other.ops), valueBytes: max(s.valueBytes, other.valueBytes)}
}

// storeLimits adapts the limits of transactions to a store that takes less than is configured. A refused
// transaction counts as too large only if no transaction of its size was accepted recently: any other one is
// refused for what is in it, and says nothing of the limits. Limits that were reduced are raised again.
type storeLimits struct {
	*environment

	configured           txnSize       // the limits before the first reduction
	accepted             txnSize       // the largest parts of the transactions accepted in this period
	previousAccepted     txnSize       // the same of the period before
	periodEnd            time.Duration // of accepted
	raiseAt              time.Duration // 0: the limits are as configured
	raiseDelay           time.Duration
	raisedSinceReduction bool // the limits were raised after the last reduction
}

// recordAccepted records that the store took a transaction.
func (l *storeLimits) recordAccepted(txn *wire.Txn) {
	if l.now >= l.periodEnd {
		l.previousAccepted, l.accepted = l.accepted, txnSize{}
		l.periodEnd = l.now + acceptedSizePeriod
	}
	l.accepted = l.accepted.componentMax(sizeOf(txn))
}

// mayBeTooLarge reports whether a refused transaction may have been refused for its size.
func (l *storeLimits) mayBeTooLarge(refused *wire.Txn) bool {
	size := sizeOf(refused)
	if size.ops <= minTxnOps && size.valueBytes <= minValueBytes {
		return false
	}
	accepted := l.accepted.componentMax(l.previousAccepted)
	return size.ops > accepted.ops || size.valueBytes > accepted.valueBytes
}

// handleRefusal handles a transaction that the store refused as malformed or too large. It reports whether the
// transaction was refused for what is in it: then it would be refused again in any size.
func (l *storeLimits) handleRefusal(refused *wire.Txn) (forContent bool) {
	if l.mayBeTooLarge(refused) {
		l.reduce(refused)
		return false
	}
	size := sizeOf(refused)
	l.log(LevelError, "transaction refused by the store, which takes larger ones",
		"changes", size.ops, "largest", size.valueBytes, "first", firstKey(refused))
	l.restore() // refusals that were taken for a smaller limit before were of the same content
	return true
}

// firstKey returns the key of a transaction's first write.
func firstKey(txn *wire.Txn) string {
	if len(txn.Then) == 0 {
		return ""
	}
	return txn.Then[0].Put + txn.Then[0].Delete
}

// reduce lowers a limit below a refused transaction, so that it is not sent again unchanged: first the number
// of writes, then the size of a value.
func (l *storeLimits) reduce(refused *wire.Txn) {
	limits, size := &l.cfg.Store, sizeOf(refused)
	if l.raiseAt == 0 {
		l.configured = txnSize{ops: limits.MaxTxnOps, valueBytes: limits.MaxValueBytes}
		l.raiseDelay = minRaiseDelay
	} else if l.raisedSinceReduction {
		l.raiseDelay = min(2*l.raiseDelay, maxRaiseDelay)
	}
	l.raiseAt, l.raisedSinceReduction = l.now+l.raiseDelay, false
	if size.ops > minTxnOps {
		limits.MaxTxnOps = max(minTxnOps, size.ops-1)
	} else {
		limits.MaxValueBytes = max(minValueBytes, size.valueBytes*7/8)
	}
	l.log(LevelError, "transaction refused by the store: limits reduced",
		"changes", size.ops, "largest", size.valueBytes, "txn_ops", limits.MaxTxnOps,
		"value_bytes", limits.MaxValueBytes)
}

// restore puts the configured limits in force.
func (l *storeLimits) restore() {
	if l.raiseAt != 0 {
		l.raiseAt = 0
		l.cfg.Store.MaxTxnOps, l.cfg.Store.MaxValueBytes = l.configured.ops, l.configured.valueBytes
	}
}

// advance raises reduced limits when that is due: the store may take more again.
func (l *storeLimits) advance() {
	if l.raiseAt == 0 || l.now < l.raiseAt {
		return
	}
	limits := &l.cfg.Store
	limits.MaxTxnOps = min(raiseFactor*limits.MaxTxnOps, l.configured.ops)
	limits.MaxValueBytes = min(raiseFactor*limits.MaxValueBytes, l.configured.valueBytes)
	l.raiseAt, l.raisedSinceReduction = l.now+l.raiseDelay, true
	l.log(LevelInfo, "limits of transactions raised", "txn_ops", limits.MaxTxnOps, "value_bytes", limits.MaxValueBytes)
}
