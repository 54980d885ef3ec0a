package fakes

import (
	"encoding/json"
	"fmt"

	"dewlift/access"
	"dewlift/core"
	"dewlift/wire"
)

// SetMachineType stores the catalog of one machine type, as if a controller had read it from the cloud.
func (s *Store) SetMachineType(machineType wire.MachineType) {
	raw, err := json.Marshal(wire.Catalog{Types: []wire.MachineType{machineType}})
	if err != nil {
		panic(err) // strings and numbers always marshal
	}
	s.PutUnchecked([]wire.KeyValue{{Key: core.Root + "types", Value: raw}})
}

// JobRequest returns the body of a submission of a small job of team t, with the field names of the API.
func JobRequest(id, class string) map[string]any {
	return map[string]any{
		"uid":      id,
		"ware":     class,
		"crew":     "t",
		"form":     "batch",
		"heat":     "standard",
		"pieces":   1,
		"cpus":     1,
		"cards":    0,
		"ram_gb":   1,
		"mould":    "i",
		"image_gb": 1,
		"one_zone": false,
		"spread":   false,
		"borrowed": true,
		"firing_s": 10,
		"glaze_s":  0,
		"cool_s":   0,
	}
}

// testRoles are the roles of TestPolicy.
const testRoles = `
	roles { name: "technician" grants { verbs: submit verbs: read verbs: cancel teams: "t" classes: "firing" } }
	roles { name: "visitor" grants { verbs: submit verbs: read teams: "t" classes: "plan" } }
	roles {
		name: "packer"
		grants { verbs: submit verbs: read verbs: cancel teams: "t" classes: "labels" }
		grants { verbs: read teams: "t" classes: "reroast" }
	}
	roles { name: "portal" grants { verbs: submit verbs: cancel verbs: read teams: "t" classes: "reroast" } }
	roles { name: "admin" grants { verbs: administer verbs: audit } }`

// TestPolicy returns a policy with five identities, and their private keys by name: a technician, a visitor with fewer
// permissions, a packer who may cancel jobs of class labels but only read those of class reroast, a service, and an
// administrator.
func TestPolicy() (*access.Policy, map[string]*access.PrivateKey, error) {
	text := testRoles
	keys := map[string]*access.PrivateKey{}
	for _, user := range []struct{ name, role string }{
		{"anna", "technician"},
		{"potter", "visitor"},
		{"pia", "packer"},
		{"portal", "portal"},
		{"root", "admin"},
	} {
		key, err := access.NewKey(user.name, user.name+"-1")
		if err != nil {
			return nil, nil, fmt.Errorf("create key of %s: %w", user.name, err)
		}
		keys[user.name] = key
		text += fmt.Sprintf("identities { name: %q roles: %q keys { id: %q ed25519: %q } }",
			user.name, user.role, key.ID, key.PublicBase64())
	}
	policy, err := access.Parse([]byte(text))
	if err != nil {
		return nil, nil, fmt.Errorf("parse test policy: %w", err)
	}
	return policy, keys, nil
}
