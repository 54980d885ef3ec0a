package fakes

import (
	"dewlift/access"
	"dewlift/core"
	"dewlift/wire"
	"encoding/json"
	"fmt"
)

// SetMachineType has a controller know one type of machines, as if the cloud had told it.
func (s *Store) SetMachineType(t wire.MachineType) {
	raw, err := json.Marshal(wire.Catalog{Types: []wire.MachineType{t}})
	if err != nil {
		panic(err) // strings and numbers
	}
	s.PutUnchecked([]wire.KeyValue{{Key: core.Root + "types", Value: raw}})
}

// JobRequest is the submission of a small job of the team t.
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

// TestPolicy are the users of a cooperative and a roastery, each with a key: a glaze technician, a
// visiting potter, a packer who may reprint labels and not cancel a reroast, a service, and who
// administers.
func TestPolicy() (*access.Policy, map[string]*access.PrivateKey, error) {
	text := `
		roles { name: "technician" grants { verbs: submit verbs: read verbs: cancel teams: "t" classes: "firing" } }
		roles { name: "visitor" grants { verbs: submit verbs: read teams: "t" classes: "plan" } }
		roles { name: "packer" grants { verbs: submit verbs: read verbs: cancel teams: "t" classes: "labels" } grants { verbs: read teams: "t" classes: "reroast" } }
		roles { name: "portal" grants { verbs: submit verbs: cancel verbs: read teams: "t" classes: "reroast" } }
		roles { name: "admin" grants { verbs: administer verbs: audit } }`
	keys := map[string]*access.PrivateKey{}
	for _, x := range [][2]string{
		{"anna", "technician"},
		{"potter", "visitor"},
		{"pia", "packer"},
		{"portal", "portal"},
		{"root", "admin"},
	} {
		k, err := access.NewKey(x[0], x[0]+"-1")
		if err != nil {
			return nil, nil, err
		}
		keys[x[0]] = k
		text += fmt.Sprintf(
			"identities { name: %q roles: %q keys { id: %q ed25519: %q } }",
			x[0],
			x[1],
			k.ID,
			k.PublicBase64(),
		)
	}
	p, err := access.Parse([]byte(text))
	return p, keys, err
}
