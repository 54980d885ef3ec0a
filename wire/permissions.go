package wire

// PermissionsEdit changes what an identity may do. Roles have the names of the permissions in force.
type PermissionsEdit struct {
	GrantRoles   []string    `json:"grant_roles,omitempty"`
	RevokeRoles  []string    `json:"revoke_roles,omitempty"`
	AddKeys      []PublicKey `json:"add_keys,omitempty"`
	RevokeKeys   []string    `json:"revoke_keys,omitempty"`
	Service      bool        `json:"service,omitempty"`     // a new identity is a service, not a person
	Certificate  *bool       `json:"certificate,omitempty"` // whether a certificate proves the identity
	Delete       bool        `json:"delete,omitempty"`
	CancelQueued bool        `json:"cancel_queued,omitempty"` // cancel its jobs that have not started
}

// PublicKey is a public key of an identity.
type PublicKey struct {
	ID      string `json:"id"`
	Ed25519 string `json:"ed25519"`
}

// PermissionsEditResult answers a change of permissions.
type PermissionsEditResult struct {
	Identity  string   `json:"who"`
	Cancelled []string `json:"cancelled,omitempty"` // jobs that are being cancelled with it
}

// Permissions holds all permissions in protobuf text format.
type Permissions struct {
	Text string `json:"rights"`
}
