package wire

import "encoding/json"

// KeyValue is a key of the key-value store with its value.
type KeyValue struct {
	Key      string          `json:"k"`
	Value    json.RawMessage `json:"data"`
	Revision uint64          `json:"mark"`             // of the last change of the key
	LeaseID  uint64          `json:"tenure,omitempty"` // the key is deleted when this lease expires; 0 means no lease
}

// GetResponse is the response to a read of one key. For a missing key, only StoreRevision is set: the revision
// at which the key did not exist.
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

// Compare is a condition of a transaction: it holds if the key is at this revision.
type Compare struct {
	Key      string `json:"k"`
	Revision uint64 `json:"mark"` // 0 means that the key does not exist
}

// Write is a put or a delete. Exactly one of Put and Delete is set, to the key.
type Write struct {
	Put     string          `json:"put,omitempty"`
	Value   json.RawMessage `json:"data,omitempty"`
	LeaseID uint64          `json:"tenure,omitempty"`
	Delete  string          `json:"delete,omitempty"`
}

// Txn is a compare-and-swap transaction. All writes are executed if every comparison holds, otherwise none.
type Txn struct {
	Compare []Compare `json:"if"`
	Then    []Write   `json:"writes"`
}

// TxnResponse is the response to a transaction.
type TxnResponse struct {
	Revision uint64   `json:"ledger"`
	Failed   []string `json:"failed"` // keys whose comparison did not hold
	Error    string   `json:"error"`
}

// WatchEvent is a change of a key. Exactly one of Put and Delete is set, to the key.
type WatchEvent struct {
	Put      string          `json:"put"`
	Delete   string          `json:"delete"`
	Value    json.RawMessage `json:"data"`
	Revision uint64          `json:"mark"`
}

// WatchResponse is the response to a watch. It holds the changes up to a revision.
type WatchResponse struct {
	Revision uint64       `json:"ledger"`
	Events   []WatchEvent `json:"log"`
}

// LeaseRequest requests a lease.
type LeaseRequest struct {
	TTLMS uint64 `json:"life_ms"`
}

// LeaseResponse holds the id of the granted lease.
type LeaseResponse struct {
	LeaseID uint64 `json:"tenure"`
}

// StoreEndpoint holds the address of the key-value store, for operators' commands, and the request limits
// that all clients of the store share.
type StoreEndpoint struct {
	Addr     string  `json:"state"`
	RPS      float64 `json:"rps"`
	WriteRPS float64 `json:"write_rps"`
	TxnOps   int     `json:"txn_ops"`
}
