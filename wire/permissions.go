package wire

// PermissionsEdit changes the permissions of an identity. Roles are referred to by their names in the current
// permissions.
type PermissionsEdit struct {
	GrantRoles   []string    `json:"grant_roles,omitempty"`
	RevokeRoles  []string    `json:"revoke_roles,omitempty"`
	AddKeys      []PublicKey `json:"add_keys,omitempty"`
	RevokeKeys   []string    `json:"revoke_keys,omitempty"`
	Service      bool        `json:"service,omitempty"`     // if the identity is created: it is a service, not a person
	Certificate  *bool       `json:"certificate,omitempty"` // whether the identity may authenticate with a certificate
	Delete       bool        `json:"delete,omitempty"`
	CancelQueued bool        `json:"cancel_queued,omitempty"` // cancel the identity's jobs that have not started
}

// PublicKey is a public key of an identity, which verifies its tokens.
type PublicKey struct {
	ID      string `json:"id"`
	Ed25519 string `json:"ed25519"`
}

// PermissionsEditResult is the response to a change of permissions.
type PermissionsEditResult struct {
	Identity  string   `json:"who"`
	Cancelled []string `json:"cancelled,omitempty"` // ids of the jobs that are being cancelled
}

// Permissions holds all permissions in protobuf text format.
type Permissions struct {
	Text string `json:"rights"`
}
