package core

// Keys of the state service. All start with Root, so that one watch follows them.
const (
	Root            = "dl/"
	keyNode         = Root + "node/"
	keyLeader       = Root + "leader"
	keyShard        = Root + "shard/"
	keyFencingToken = Root + "epoch"
	keyJob          = Root + "job/"
	keyTeam         = Root + "team/"
	keyMachineTypes = Root + "types"

	// KeyEpoch is the token, and KeyJob begins the keys of jobs.
	KeyFencingToken = keyFencingToken
	KeyJob          = keyJob
)

// LeasedKeyPrefixes begin the keys that are attached to a controller's lease.
var LeasedKeyPrefixes = []string{keyNode, keyLeader, keyShard}
