package core

// Keys of the store. All start with Root, so that one watch follows them.
const (
	// Root begins all keys that the controllers use.
	Root = "dl/"

	keyRegistration = Root + "node/"  // live controllers, by name; leased
	keyLeader       = Root + "leader" // the leadership; leased
	keyShard        = Root + "shard/" // owners of shards, by number; leased
	keyFencingToken = Root + "epoch"
	keyJob          = Root + "job/"  // jobs' records, by ID
	keyTeam         = Root + "team/" // written with each start of a team that has a maximum quota
	keyMachineTypes = Root + "types" // the catalog of machine types

	// KeyFencingToken is the key of the fencing token.
	KeyFencingToken = keyFencingToken

	// KeyJob begins the keys of jobs' records.
	KeyJob = keyJob
)

// LeasedKeyPrefixes begin the keys that are attached to a controller's lease.
var LeasedKeyPrefixes = []string{keyRegistration, keyLeader, keyShard}
