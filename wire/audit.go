package wire

import "encoding/json"

// AuditChainHead is the last block of a controller's chain in the audit log.
type AuditChainHead struct {
	Node        string `json:"node"`
	BlockNumber uint64 `json:"number"`
	MAC         []byte `json:"code"` // message authentication code of that block
}

// AuditChainHeads lists the heads of all chains.
type AuditChainHeads struct {
	Heads []AuditChainHead `json:"heads"`
}

// AuditBlock is a block of the audit log in its stored form.
type AuditBlock struct {
	Number uint64          `json:"number"`
	Value  json.RawMessage `json:"value"`
}

// AuditPage is a page of the blocks of a chain.
type AuditPage struct {
	Blocks []AuditBlock `json:"blocks"`
	More   bool         `json:"more"`
}
