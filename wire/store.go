package wire

import "encoding/json"

// KeyValue is a key of the key-value store with its value.
type KeyValue struct {
	Key      string          `json:"k"`
	Value    json.RawMessage `json:"data"`
	Revision uint64          `json:"mark"`             // of the last change of this key
	LeaseID  uint64          `json:"tenure,omitempty"` // the key is deleted when this lease expires; 0: none
}

// GetResponse answers a read of one key. A missing key has only the revision at which it was missing.
type GetResponse struct {
	KeyValue
	StoreRevision uint64 `json:"ledger"`
}

// RangeResponse is a page of a listing of keys.
type RangeResponse struct {
	Items    []KeyValue `json:"rows"`
	More     bool       `json:"more"`
	Revision uint64     `json:"ledger"`
}

// Compare is a condition of a transaction: the key is at this revision.
type Compare struct {
	Key      string `json:"k"`
	Revision uint64 `json:"mark"` // 0: the key does not exist
}

// Write is a put or a delete; one of Put and Delete is set, to a key.
type Write struct {
	Put     string          `json:"put,omitempty"`
	Value   json.RawMessage `json:"data,omitempty"`
	LeaseID uint64          `json:"tenure,omitempty"`
	Delete  string          `json:"delete,omitempty"`
}

// Txn is a compare-and-swap transaction: all writes are executed if every comparison holds, else none.
type Txn struct {
	Compare []Compare `json:"if"`
	Then    []Write   `json:"writes"`
}

// TxnResponse answers a transaction.
type TxnResponse struct {
	Revision uint64   `json:"ledger"`
	Failed   []string `json:"failed"` // keys whose comparison did not hold
	Error    string   `json:"error"`
}

// WatchEvent is one change of a key; one of Put and Delete is set.
type WatchEvent struct {
	Put      string          `json:"put"`
	Delete   string          `json:"delete"`
	Value    json.RawMessage `json:"data"`
	Revision uint64          `json:"mark"`
}

// WatchResponse answers a watch with the changes up to a revision.
type WatchResponse struct {
	Revision uint64       `json:"ledger"`
	Events   []WatchEvent `json:"log"`
}

// LeaseRequest asks for a lease.
type LeaseRequest struct {
	TTLMS uint64 `json:"life_ms"`
}

// LeaseResponse names the lease that was granted.
type LeaseResponse struct {
	LeaseID uint64 `json:"tenure"`
}

// StoreEndpoint says where the key-value store is, for operators' commands, and the request limits
// that all its clients share.
type StoreEndpoint struct {
	Addr     string  `json:"state"`
	RPS      float64 `json:"rps"`
	WriteRPS float64 `json:"write_rps"`
	TxnOps   int     `json:"txn_ops"`
}
