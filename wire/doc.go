// Package wire defines the messages exchanged with users, agents, the cloud and the key-value store, and
// validates incoming ones. Apart from query parameters and a few path segments, no other package knows the
// names in the platform's interfaces; all others use the standard terms of cluster schedulers. The package has
// no state, makes no scheduling decisions, does no I/O and reads no clocks.
//
// The platform defines the wire names. They correspond to these terms:
//
//	wire name     term                       where
//	uid           id; name of a machine      Submission, JobState, QueuedJob; Machine
//	ware          class of a job             Submission
//	crew          team                       Submission
//	form          kind: "batch", "daemon"    Submission
//	heat          priority                   Submission
//	pieces        tasks                      Submission (count), Heartbeat (list)
//	piece         task; unit of equipment    TaskStop, TaskStatus, Command; SlotRequest, ReservedSlot, FreeInterval
//	cards         GPUs                       Submission, MachineType
//	ram_gb        memory, in GB              Submission, MachineType
//	mould         image                      Submission
//	kilns         machine types              Submission, Catalog
//	kiln          machine type               Heartbeat, ScaleOutRequest, Machine
//	sku           name of a machine type     MachineType
//	yard, yards   zone, zones                Submission, Heartbeat, ScaleOutRequest, Machine; MachineType
//	hearth(s)     machine(s)                 Heartbeat, TaskStop; MachineNames, MachineList
//	borrowed      spot                       Submission, Heartbeat, ScaleOutRequest, Machine
//	low_price     spot price                 MachineType
//	firing_s      estimated runtime          Submission
//	glaze_s       checkpoint interval        Submission
//	cool_s        checkpoint time            Submission
//	due_s         deadline                   Submission
//	awaits        dependencies               Submission, JobState
//	reasons       task stops                 JobState
//	try           attempt                    TaskStatus, Command
//	kept          checkpointed               TaskStatus
//	shift         incarnation of an agent    Heartbeat, CommandBatch
//	tally         sequence number            Heartbeat
//	baton         fencing token              Heartbeat, HeartbeatResponse, CommandBatch
//	recall_s      spot interruption notice   Heartbeat
//	orders        agent commands             HeartbeatResponse, CommandBatch
//	order         operation of a command     Command
//	damp_s        grace period of a stop     Command
//	hire          idempotency key            ScaleOutRequest
//	how_many      count                      ScaleOutRequest
//	local_gb      local disk, in GB          MachineType
//	startup_s     boot time                  MachineType
//	k, data       key, value                 KeyValue, Compare, Write, WatchEvent
//	mark          revision of a key          KeyValue, Compare, WatchEvent
//	ledger        revision of the store      GetResponse, RangeResponse, TxnResponse, WatchResponse
//	tenure        lease id                   KeyValue, Write, LeaseResponse
//	life_ms       time to live of a lease    LeaseRequest
//	rows          items                      RangeResponse
//	if, writes    compare, then              Txn
//	log           events                     WatchResponse
//	who           identity; owner            PermissionsEditResult; Reservation
//	rights        permissions                Permissions
//	state         store address              StoreEndpoint
//	lane(s)       priority class(es)         QueuedJob, JobQueue
//	ordered_as    effective priority class   QueuedJob
//	for, why      waiting for, explanation   QueuedJob
//	booking(s)    reservation(s)             ReservationResponse
//	clear         reusable from              ReservedSlot
//	place         position on the waitlist   Reservation
package wire
