// Package reservations stores the reservations of equipment in the key-value store. It decides which reservations
// share a value and when they are written. It owns the controller's schedule, the queue of requests and the replica
// of the stored pages. It does no I/O: it returns transactions, and the caller reports their outcomes and the
// watched changes of the store. Package booking decides the requests.
//
// All changes of reservations are totally ordered. The most recent ones are in one value, the head, with the number
// of the last change. Every change writes the head and compares its revision. So each decision is based on all
// earlier ones, on whichever controller they were made, and only one of two concurrent decisions is committed,
// however late. When the head is full, the transaction also writes its content as a page. If several pages hold the
// same reservation, the latest change is the current one; pages with few current changes are merged.
//
// Requests that arrive at about the same time share a transaction, so many requests need few writes. A batch that
// changes nothing still compares the head, so that its responses hold at the moment of the commit.
package reservations

import (
	"slices"
	"time"

	"dewlift/audit"
	"dewlift/booking"
	pb "dewlift/proto"
	"dewlift/wire"
)

// Keys of the key-value store.
const (
	Prefix       = "dl/booking/"
	KeyHead      = Prefix + "head"
	KeyInventory = Prefix + "list"  // the equipment
	pagePrefix   = Prefix + "page/" // followed by the number of the last change in the page
)

const (
	// batchInterval is the time between two transactions, in which requests are queued for the next.
	batchInterval = 250 * time.Millisecond

	// auditBlockDelay is how long a batch waits if the head would not fit a value because of its audit entries:
	// meanwhile these are written to a block.
	auditBlockDelay = 4 * batchInterval

	// timeCheckInterval is the time between checks for reservations whose time has run out.
	timeCheckInterval = 500 * time.Millisecond

	maxBatchRequests  = 200  // in one transaction
	maxSingleRefusals = 2    // by the store, of a batch with one request, before the request is rejected
	maxQueuedRequests = 2000 // further requests are rejected

	// maxBatchWork bounds the work of a batch, as Schedule.Work measures it, before its last request. The other
	// requests wait for the next batch, so that leases are renewed meanwhile.
	maxBatchWork = 100_000

	// reservedCompares is the number of compares in a transaction that are reserved for its last request, the head,
	// the equipment and a spilled page.
	reservedCompares = 8
)

// PendingRequest is a request that waits for a decision.
type PendingRequest struct {
	Request    booking.Request
	Wants      []wire.SlotRequest  // not translated yet: their meaning depends on the equipment in force
	Series     *booking.SeriesRule // nil: the wants don't recur
	Deadline   time.Duration       // when the request expires if it is still undecided
	CallerData any                 // opaque to this package
}

// Env is the environment in which a batch is decided.
type Env struct {
	Now           time.Duration // monotonic
	UnixS         int64         // wall clock
	MaxValueBytes int           // limit of the store
	MaxCompares   int           // limit of a transaction

	// Authorize decides whether the caller of a request may perform it on reservations of the team that use
	// equipment of these kinds. It returns the compares that fail if the decision no longer holds, and the reason
	// of a denial or "".
	Authorize func(request *PendingRequest, team string, kinds []string) (compares []wire.Compare, denial string)

	// AttachAudit returns the audit entries that the next head must carry: those of old that are still pending, and
	// new ones of the granted requests and of the other changed reservations.
	AttachAudit func(
		headRevision uint64, old []audit.PendingEntry, granted []*PendingRequest, changed []*pb.Booking,
	) []audit.PendingEntry
}

// Response is the response to a request. Its outcome is OutcomeUndecided if the request expired.
type Response struct {
	Request *PendingRequest
	booking.Result
}

// Service is a controller's state of all reservations and of the requests for them.
type Service struct {
	schedule          *booking.Schedule
	inventory         *booking.Inventory // nil: nothing can be reserved
	inventoryRevision uint64
	headRevision      uint64
	headBookings      []*pb.Booking
	pendingAudit      []audit.PendingEntry // carried by the head
	pages             map[string]page
	queue             []*PendingRequest
	inFlight          *inFlightTxn
	valueCounts       map[string]int // by reservation ID: the number of stored values that hold it

	// There may be archive blocks if archiveRevision is not 0; see archive.go.
	archiveRevision uint64                       // of keyArchive
	cachedBlocks    []*archiveBlock              // most recently used first
	awaitingBlock   map[string][]*PendingRequest // by ID: requests that wait until the block of the ID is read
	blocksToRead    []string                     // IDs whose blocks must be read
	pagesRevision   uint64                       // of the last page change or deletion, which may have archived some
	archiving       bool                         // an ArchiveTxn is in flight
	nextEvictionAt  time.Duration

	needsHeadRead   bool // the replica of the head must be brought up to date before the next decision
	nextTxnAt       time.Duration
	nextTimeCheckAt time.Duration
	merging         bool // a MergeTxn is in flight
	blockedByAudit  bool // the last batch would fit without its audit entries
	batchLimit      int  // requests in the next batch; fewer than maxBatchRequests after the store refused a batch
	singleRefusals  int  // consecutive refusals of a batch with one request
}

// inFlightTxn is a transaction that is being built or whose outcome is not known yet.
type inFlightTxn struct {
	draft           *booking.Draft
	rolledBack      bool // the draft has been undone
	responses       []Response
	headBookings    []*pb.Booking
	pendingAudit    []audit.PendingEntry
	newInventory    *booking.Inventory // equipment that the transaction puts in force
	hasChanges      bool
	spilledPage     string // key of the page that the previous head becomes
	spilledBookings []*pb.Booking
}

// New returns a service that knows no stored keys yet.
func New() *Service {
	s := &Service{awaitingBlock: map[string][]*PendingRequest{}, batchLimit: maxBatchRequests}
	s.Reset()
	return s
}

// Reset drops the replica before all keys are read again. Queued requests stay queued.
func (s *Service) Reset() {
	if s.inFlight != nil {
		s.inFlight.rolledBack = true
	}
	s.schedule, s.inventory, s.inventoryRevision = booking.NewSchedule(), nil, 0
	s.headRevision, s.headBookings, s.pendingAudit, s.pages = 0, nil, nil, map[string]page{}
	s.valueCounts, s.archiveRevision, s.cachedBlocks = map[string]int{}, 0, nil
}

// IsEnabled reports whether an equipment list is in force.
func (s *Service) IsEnabled() bool { return s.inventory != nil }

// InventoryRevision returns the revision of the equipment in force, or 0 if there is none.
func (s *Service) InventoryRevision() uint64 { return s.inventoryRevision }

// Inventory returns the equipment in force, or nil if there is none.
func (s *Service) Inventory() *booking.Inventory { return s.inventory }

// Counts returns the numbers of reservations in memory and of stored pages.
func (s *Service) Counts() (bookings, pages int) { return s.schedule.Len(), len(s.pages) }

// ViewCommitted calls f with the schedule as it is without the transaction in flight.
func (s *Service) ViewCommitted(f func(schedule *booking.Schedule)) {
	if txn := s.inFlight; txn != nil && !txn.rolledBack {
		txn.draft.Undo()
		defer txn.draft.Redo()
	}
	f(s.schedule)
}

// rollBackInFlight undoes the draft of the transaction in flight. If it is committed, the watch shows its changes.
func (s *Service) rollBackInFlight() {
	if s.inFlight != nil && !s.inFlight.rolledBack {
		s.inFlight.rolledBack = true
		s.inFlight.draft.Undo()
	}
}

// Enqueue queues a request for a decision. It reports false if the queue is full.
func (s *Service) Enqueue(request *PendingRequest) bool {
	if len(s.queue) >= maxQueuedRequests {
		return false
	}
	s.queue = append(s.queue, request)
	return true
}

// TakeExpired removes the requests whose deadline has passed and returns their responses.
func (s *Service) TakeExpired(now time.Duration) (out []Response) {
	expired := func(request *PendingRequest) bool {
		if now >= request.Deadline {
			out = append(out, Response{Request: request})
		}
		return now >= request.Deadline
	}
	s.queue = slices.DeleteFunc(s.queue, expired)
	for id, list := range s.awaitingBlock {
		s.awaitingBlock[id] = slices.DeleteFunc(list, expired)
	}
	return out
}

// HasWork reports whether NextTxn may have something to decide now.
func (s *Service) HasWork(now time.Duration, unixS int64) bool {
	if s.inventory == nil || s.inFlight != nil || s.needsHeadRead || now < s.nextTxnAt {
		return false
	}
	if len(s.queue) == 0 && now >= s.nextTimeCheckAt {
		s.nextTimeCheckAt = now + timeCheckInterval
		return s.schedule.HasDueChanges(unixS)
	}
	return len(s.queue) > 0
}
