package core

// Keys of the store. All start with Root, so that one watch covers them.
const (
	// Root is the prefix of all keys that the controllers use.
	Root = "dl/"

	keyRegistration = Root + "node/"  // live controllers, by name; leased
	keyLeader       = Root + "leader" // the leadership; leased
	keyShard        = Root + "shard/" // owners of shards, by number; leased
	keyFencingToken = Root + "epoch"
	keyJob          = Root + "job/"  // jobs' records, by ID
	keyTeam         = Root + "team/" // written by each transaction that starts tasks of a team with a maximum quota
	keyMachineTypes = Root + "types" // the catalog of machine types

	// KeyFencingToken is the key of the fencing token.
	KeyFencingToken = keyFencingToken

	// KeyJob is the prefix of the keys of jobs' records.
	KeyJob = keyJob
)

// LeasedKeyPrefixes are the prefixes of the keys that are attached to a controller's lease.
var LeasedKeyPrefixes = []string{keyRegistration, keyLeader, keyShard}
