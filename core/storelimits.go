package core

import (
	"time"

	"dewlift/wire"
)

const (
	// minValueBytes and minTxnOps are the lower bounds of the limits after refused transactions.
	minValueBytes = 512
	minTxnOps     = 2

	// acceptedSizePeriod is the minimum time for which an accepted transaction counts as evidence that the
	// store accepts transactions of its size.
	acceptedSizePeriod = time.Minute

	// Reduced limits are raised after a delay, which is doubled if raising them leads to another reduction.
	minRaiseDelay = time.Minute
	maxRaiseDelay = time.Hour

	// raiseFactor is the factor by which limits are raised at a time.
	raiseFactor = 2
)

// txnSize is the size of a transaction in the dimensions that the store limits.
type txnSize struct {
	ops        int // writes
	valueBytes int // of the largest value
}

func sizeOf(txn *wire.Txn) txnSize {
	size := txnSize{ops: len(txn.Then)}
	for _, write := range txn.Then {
		size.valueBytes = max(size.valueBytes, len(write.Value))
	}
	return size
}

// componentMax returns the componentwise maximum of two sizes.
func (s txnSize) componentMax(other txnSize) txnSize {
	return txnSize{ops: max(s.ops, other.ops), valueBytes: max(s.valueBytes, other.valueBytes)}
}

// storeLimits adapts the limits of transactions to a store that accepts less than is configured. A refused
// transaction counts as too large only if no transaction of its size was accepted recently; otherwise it was
// refused for its content, which is no reason to reduce the limits. Reduced limits are raised again later.
type storeLimits struct {
	*environment

	configured           txnSize       // the limits before the first reduction
	accepted             txnSize       // componentwise maximum of the transactions accepted in this period
	previousAccepted     txnSize       // componentwise maximum of those accepted in the previous period
	periodEnd            time.Duration // end of the period of accepted
	raiseAt              time.Duration // when limits are next raised; 0: not reduced since the last restore
	raiseDelay           time.Duration
	raisedSinceReduction bool // the limits were raised after the last reduction
}

// recordAccepted records that the store accepted a transaction.
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
// transaction was refused for its content, so that reducing its size would not help.
func (l *storeLimits) handleRefusal(refused *wire.Txn) (forContent bool) {
	if l.mayBeTooLarge(refused) {
		l.reduce(refused)
		return false
	}
	size := sizeOf(refused)
	l.log(LevelError, "store refused a transaction for its content: it recently accepted larger ones",
		"changes", size.ops, "largest", size.valueBytes, "first", firstKey(refused))
	l.restore() // earlier refusals, for which the limits were reduced, were due to the same content
	return true
}

// firstKey returns the key of a transaction's first write.
func firstKey(txn *wire.Txn) string {
	if len(txn.Then) == 0 {
		return ""
	}
	return txn.Then[0].Put + txn.Then[0].Delete
}

// reduce lowers a limit below the size of a refused transaction, so that it is not sent again unchanged: first
// the limit of writes, and then the limit of a value's size.
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
	l.log(LevelError, "store refused a transaction: transaction limits reduced",
		"changes", size.ops, "largest", size.valueBytes, "txn_ops", limits.MaxTxnOps,
		"value_bytes", limits.MaxValueBytes)
}

// restore resets the limits to the configured ones.
func (l *storeLimits) restore() {
	if l.raiseAt != 0 {
		l.raiseAt = 0
		l.cfg.Store.MaxTxnOps, l.cfg.Store.MaxValueBytes = l.configured.ops, l.configured.valueBytes
	}
}

// advance raises reduced limits when that is due, as the store may accept larger transactions again.
func (l *storeLimits) advance() {
	if l.raiseAt == 0 || l.now < l.raiseAt {
		return
	}
	limits := &l.cfg.Store
	limits.MaxTxnOps = min(raiseFactor*limits.MaxTxnOps, l.configured.ops)
	limits.MaxValueBytes = min(raiseFactor*limits.MaxValueBytes, l.configured.valueBytes)
	l.raiseAt, l.raisedSinceReduction = l.now+l.raiseDelay, true
	l.log(LevelInfo, "transaction limits raised", "txn_ops", limits.MaxTxnOps, "value_bytes", limits.MaxValueBytes)
}
