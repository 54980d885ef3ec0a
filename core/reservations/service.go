// Package reservations keeps the ledger of bookings in the state service. It decides what is stored
// together and when; it does no I/O: transactions go out, their outcomes and the changes of the
// state service come in. Who gets what is decided by the package booking.
//
// All changes of bookings are in one order. The newest are in one value, the head, with the number
// of the last; whoever changes bookings writes the head anew, on condition of its mark: so each
// decision is made on all that was decided before it, at whichever controller, and of two that do
// not know of each other only one is stored, however late. A head that is full becomes a page in
// the same transaction. Of a booking that is in several pages, the latest change counts; pages of
// which little counts any more are stored anew, together.
//
// What is asked for at about the same time shares a transaction, so a flood of bookings takes few
// changes. One on which nothing changes only compares: what is answered holds at that moment.
package reservations

import (
	"dewlift/audit"
	"dewlift/booking"
	"dewlift/internal/compress"
	"dewlift/wire"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	protobuf "google.golang.org/protobuf/proto"

	pb "dewlift/proto"
)

// Keys of the state service.
const (
	Prefix       = "dl/booking/"
	KeyHead      = Prefix + "head"
	KeyInventory = Prefix + "list"  // of equipment
	pagePrefix   = Prefix + "page/" // by the last change in them
)

const (
	batchInterval     = 250 * time.Millisecond // between two transactions, in which asks come to share the next
	timeCheckInterval = 500 * time.Millisecond
	maxBatchRequests  = 200     // of a transaction
	maxQueuedRequests = 2000    // asks that wait
	maxExpandedBytes  = 1 << 20 // bytes that a value expands to
	minPagesToMerge   = 4       // pages from which they are stored anew

	spareCompares = 8 // conditions of a transaction that its next ask, the head, the list and a page may need
)

// PendingRequest is somebody's wish that waits for its answer.
type PendingRequest struct {
	Request        booking.Request
	Wants          []wire.SlotRequest // in the words of whoever asks: what they mean depends on the list in force
	RecurrenceRule string             // the rule by which they come again
	Deadline       time.Duration      // when it is answered that it could not be decided
	CallerData     any                // of the caller
}

// Env is what the desk must know of the moment.
type Env struct {
	Now           time.Duration
	UnixS         int64
	MaxValueBytes int
	MaxCompares   int // the most that a transaction may have
	// May decides whether the one who asks may do so with a team's bookings of pieces of these
	// kinds: the conditions under which that holds, or why not.
	Authorize func(a *PendingRequest, team string, kinds []string) (conds []wire.Compare, why string)
	// Carry returns what the head carries of the audit record, with entries of the asks that are
	// granted and of the other bookings that change.
	AttachAudit func(mark uint64, old []audit.PendingEntry, granted []*PendingRequest, changed []*pb.Booking) []audit.PendingEntry
}

// Response is what is to be told to somebody.
type Response struct {
	Request *PendingRequest
	booking.Result
	Forbidden bool
	TimedOut  bool // it could not be decided in time
}

// Service is the state of a controller's bookings.
type Service struct {
	schedule          *booking.Schedule
	inventory         *booking.Inventory // nil: nothing can be booked
	inventoryRevision uint64             // mark of the list
	headRevision      uint64             // mark of the head
	headBookings      []*pb.Booking
	pendingAudit      []audit.PendingEntry
	pages             map[string]page
	queue             []*PendingRequest
	inFlight          *inFlightTxn
	valueCounts       map[string]int // in how many values a booking is
	// mark of keyPast: from then on, bookings may be in blocks; see past.go
	archiveRevision uint64
	cachedBlocks    []*archiveBlock              // the one used last in front
	awaitingBlock   map[string][]*PendingRequest // by id, those who wait until a block was read
	blocksToRead    []string                     // ids whose blocks are to be read
	// revision at which a page changed last, or went: something may have moved
	pagesRevision   uint64
	archiving       bool
	nextForgetAt    time.Duration
	needsHeadRead   bool          // the head must be read before anything else is decided
	nextTxnAt       time.Duration // when the next transaction may be made
	nextTimeCheckAt time.Duration // when it is looked next whether time has ended something
	merging         bool
	blockedByAudit  bool // what was decided last would fit without the entries of the audit record
}

type page struct {
	revision uint64
	bookings []*pb.Booking
}

// inFlightTxn is a transaction whose outcome is not known yet.
type inFlightTxn struct {
	draft           *booking.Draft
	rolledBack      bool
	responses       []Response
	headBookings    []*pb.Booking
	pendingAudit    []audit.PendingEntry
	newInventory    *booking.Inventory // a list that it puts in force
	hasChanges      bool
	spilledPage     string // the page that the head before became
	spilledBookings []*pb.Booking
}

// storedValue is how bookings are stored.
type storedValue struct {
	Data         []byte               `json:"p"`
	PendingAudit []audit.PendingEntry `json:"e,omitempty"`
}

// New is a desk that knows nothing yet.
func New() *Service {
	d := &Service{awaitingBlock: map[string][]*PendingRequest{}}
	d.Reset()
	return d
}

// Reset forgets what was read: all is read anew. What waits goes on waiting.
func (d *Service) Reset() {
	if d.inFlight != nil {
		d.inFlight.rolledBack = true
	}
	d.schedule, d.inventory, d.inventoryRevision, d.headRevision, d.headBookings, d.pendingAudit, d.pages = booking.NewSchedule(), nil, 0, 0, nil, nil, map[string]page{}
	d.valueCounts, d.archiveRevision, d.cachedBlocks = map[string]int{}, 0, nil
}

// IsEnabled reports whether something can be booked.
func (d *Service) IsEnabled() bool { return d.inventory != nil }

// InventoryRevision is that of the list in force: its mark; 0 if there is none.
func (d *Service) InventoryRevision() uint64 { return d.inventoryRevision }

// Inventory is the list in force; nil if there is none.
func (d *Service) Inventory() *booking.Inventory { return d.inventory }

func encodePage(bookings []*pb.Booking, change uint64, carried []audit.PendingEntry) (json.RawMessage, error) {
	return packMessage(&pb.Page{Change: change, Bookings: bookings}, carried)
}

// packMessage renders what is stored.
func packMessage(m protobuf.Message, carried []audit.PendingEntry) (json.RawMessage, error) {
	raw, err := protobuf.MarshalOptions{Deterministic: true}.Marshal(m)
	if err == nil {
		raw, err = compress.Deflate(raw)
	}
	if err != nil {
		return nil, fmt.Errorf("encode bookings: %w", err)
	}
	return json.Marshal(storedValue{raw, carried})
}

// Decode reads a head or a page.
func Decode(raw json.RawMessage) (*pb.Page, []audit.PendingEntry, error) {
	p := &pb.Page{}
	v, err := unpackMessage(raw, p)
	return p, v.PendingAudit, err
}

func unpackMessage(raw json.RawMessage, m protobuf.Message) (v storedValue, err error) {
	if err = json.Unmarshal(raw, &v); err == nil {
		var plain []byte
		if plain, err = compress.Inflate(v.Data, maxExpandedBytes); err == nil {
			err = protobuf.Unmarshal(plain, m)
		}
	}
	if err != nil {
		err = fmt.Errorf("decode bookings: %w", err)
	}
	return v, err
}

// EncodeInventory renders a list of equipment as it is stored.
func EncodeInventory(e *pb.Equipment) (json.RawMessage, error) { return packMessage(e, nil) }

// rollBackInFlight takes what is on its way out of the ledger: what was stored comes from the state service.
func (d *Service) rollBackInFlight() {
	if d.inFlight != nil && !d.inFlight.rolledBack {
		d.inFlight.rolledBack = true
		d.inFlight.draft.Undo()
	}
}

// ApplyPut takes a key of the state service. It returns what the head carries of the audit record.
func (d *Service) ApplyPut(key string, raw json.RawMessage, revision uint64) ([]audit.PendingEntry, error) {
	switch {
	case key == KeyInventory:
		if revision <= d.inventoryRevision {
			return nil, nil
		}
		var e pb.Equipment
		_, err := unpackMessage(raw, &e)
		if err == nil {
			var s *booking.Inventory
			if s, err = booking.NewInventory(&e); err == nil {
				d.inventory = s
			}
		}
		d.inventoryRevision = revision // one that can't be read can be replaced
		return nil, err
	case key == KeyHead:
		if revision <= d.headRevision {
			return d.pendingAudit, nil
		}
		p, carried, err := Decode(raw)
		d.rollBackInFlight()
		d.updateValueCounts(d.headBookings, p.Bookings)
		d.headRevision, d.pendingAudit, d.headBookings, d.needsHeadRead = revision, carried, p.Bookings, false
		d.applyPage(p)
		return carried, err
	case key == keyArchive:
		d.archiveRevision = max(d.archiveRevision, revision)
	case strings.HasPrefix(key, pagePrefix):
		if revision <= d.pages[key].revision {
			return nil, nil
		}
		p, _, err := Decode(raw)
		d.rollBackInFlight()
		if d.pages[key].revision != 0 {
			d.pagesRevision = max(d.pagesRevision, revision)
		}
		d.updateValueCounts(d.pages[key].bookings, p.Bookings)
		d.pages[key] = page{revision, p.Bookings}
		d.applyPage(p)
		return nil, err
	}
	return nil, nil
}

func (d *Service) applyPage(p *pb.Page) {
	for _, b := range p.Bookings {
		d.schedule.Put(b)
	}
	d.schedule.NoteChange(p.Change)
}

// ApplyDelete takes the news that a key is gone, since a revision.
func (d *Service) ApplyDelete(key string, revision uint64) {
	d.pagesRevision = max(d.pagesRevision, revision)
	d.updateValueCounts(d.pages[key].bookings, nil)
	delete(d.pages, key) // what counted of it is elsewhere
}

// Enqueue has a wish wait for its turn; false if too many do.
func (d *Service) Enqueue(a *PendingRequest) bool {
	if len(d.queue) >= maxQueuedRequests {
		return false
	}
	d.queue = append(d.queue, a)
	return true
}

// TakeExpired takes out those who have waited too long.
func (d *Service) TakeExpired(now time.Duration) (out []Response) {
	late := func(a *PendingRequest) bool {
		if now >= a.Deadline {
			out = append(out, Response{Request: a, TimedOut: true})
		}
		return now >= a.Deadline
	}
	d.queue = slices.DeleteFunc(d.queue, late)
	for id, list := range d.awaitingBlock {
		d.awaitingBlock[id] = slices.DeleteFunc(list, late)
	}
	return out
}

// HasWork reports whether there is something to decide.
func (d *Service) HasWork(now time.Duration, unixS int64) bool {
	if d.inventory == nil || d.inFlight != nil || d.needsHeadRead || now < d.nextTxnAt {
		return false
	}
	if len(d.queue) == 0 && now >= d.nextTimeCheckAt {
		d.nextTimeCheckAt = now + timeCheckInterval
		return d.schedule.HasDueChanges(unixS)
	}
	return len(d.queue) > 0
}

// NextTxn decides what waits and returns the transaction that makes it so. Its outcome goes to Outcome.
func (d *Service) NextTxn(env Env) *wire.Txn {
	d.deferUntilBlockRead()
	d.blockedByAudit = false
	if len(d.queue) == 0 && !d.schedule.HasDueChanges(env.UnixS) {
		return nil
	}
	for most := min(len(d.queue), maxBatchRequests); ; most /= 2 {
		t, fits := d.tryBatch(env, most)
		if fits {
			d.queue = d.queue[len(d.inFlight.responses):]
			d.nextTxnAt = env.Now + batchInterval
			return t
		}
		if most <= 1 { // one that no value holds
			d.rollBackInFlight()
			d.inFlight = nil
			if most == 0 || d.blockedByAudit {
				d.nextTxnAt = env.Now + 4*batchInterval // until the entries that the head carries are in blocks
				return nil
			}
			a := d.queue[0]
			d.queue = d.queue[1:]
			d.inFlight = &inFlightTxn{
				draft: d.schedule.NewDraft(),
				responses: []Response{
					{
						Request: a,
						Result: booking.Result{
							Outcome: booking.OutcomeInvalid,
							Reason:  "too much to be stored in one value",
						},
					},
				},
			}
			d.nextTxnAt = env.Now + batchInterval
			return d.compareTxn(nil)
		}
	}
}

func (d *Service) compareTxn(conds []wire.Compare) *wire.Txn {
	t := &wire.Txn{
		Compare: []wire.Compare{
			{Key: KeyHead, Revision: d.headRevision},
			{Key: KeyInventory, Revision: d.inventoryRevision},
		},
	}
	for _, k := range conds {
		if !slices.Contains(t.Compare, k) {
			t.Compare = append(t.Compare, k)
		}
	}
	return t
}

// tryBatch decides the first asks that wait.
func (d *Service) tryBatch(env Env, most int) (t *wire.Txn, fits bool) {
	d.rollBackInFlight()
	f := &inFlightTxn{draft: d.schedule.NewDraft()}
	d.inFlight = f
	site := d.inventory
	// else each change has given what it freed, and nobody waits for what they could have
	if d.schedule.HasDueChanges(env.UnixS) {
		site.Advance(f.draft, env.UnixS)
	}
	var conds []wire.Compare
	var asks []*PendingRequest
	for _, a := range d.queue[:most] {
		ans, more := d.decideRequest(env, site, f.draft, a)
		f.responses = append(f.responses, ans)
		if ans.Outcome == booking.OutcomeDone && !ans.Forbidden {
			asks = append(asks, a)
		}
		for _, k := range more {
			if !slices.Contains(conds, k) {
				conds = append(conds, k)
			}
		}
		if a.Request.Verb == booking.VerbSetInventory && ans.Outcome == booking.OutcomeDone {
			f.newInventory = a.Request.Replacement
			break // others are judged by the new list
		}
		if len(conds)+spareCompares > env.MaxCompares {
			break
		}
	}
	t = d.compareTxn(conds)
	f.hasChanges = len(f.draft.Bookings) > 0
	if f.newInventory != nil {
		raw, err := EncodeInventory(f.newInventory.Source())
		if err != nil || len(raw) > env.MaxValueBytes {
			return nil, false
		}
		t.Then = append(t.Then, wire.Write{Put: KeyInventory, Value: raw})
	}
	if !f.hasChanges && f.newInventory == nil {
		return t, true
	}
	change := d.schedule.LastChange()
	f.pendingAudit = env.AttachAudit(d.headRevision, d.pendingAudit, asks, f.draft.Bookings)
	f.headBookings = slices.Clone(d.headBookings)
	for _, b := range f.draft.Bookings { // of one that changes again, only the last change is kept
		f.headBookings = slices.DeleteFunc(f.headBookings, func(o *pb.Booking) bool { return o.Id == b.Id })
	}
	f.headBookings = append(f.headBookings, f.draft.Bookings...)
	raw, err := encodePage(f.headBookings, change, f.pendingAudit)
	if err == nil && len(raw) > env.MaxValueBytes && len(f.headBookings) > len(f.draft.Bookings) {
		f.headBookings = slices.Clone(f.draft.Bookings)
		f.spilledPage, f.spilledBookings = fmt.Sprintf(
			"%s%016x",
			pagePrefix,
			change-uint64(len(f.draft.Bookings)),
		), d.headBookings
		var old json.RawMessage
		if old, err = encodePage(d.headBookings, 0, nil); err == nil {
			t.Compare = append(t.Compare, wire.Compare{Key: f.spilledPage})
			t.Then = append(t.Then, wire.Write{Put: f.spilledPage, Value: old})
			raw, err = encodePage(f.headBookings, change, f.pendingAudit)
		}
	}
	if err != nil || len(raw) > env.MaxValueBytes {
		bare, err := encodePage(f.headBookings, change, nil)
		d.blockedByAudit = err == nil && len(bare) <= env.MaxValueBytes
		return nil, false
	}
	t.Then = append(t.Then, wire.Write{Put: KeyHead, Value: raw})
	return t, true
}

// decideRequest answers an ask.
func (d *Service) decideRequest(
	env Env,
	site *booking.Inventory,
	draft *booking.Draft,
	a *PendingRequest,
) (Response, []wire.Compare) {
	w := &a.Request
	if w.Verb == booking.VerbCreate || w.Verb == booking.VerbMove {
		wants, err := ResolveWants(site, a.Wants, a.RecurrenceRule)
		if err != nil {
			return Response{
				Request: a,
				Result:  booking.Result{Outcome: booking.OutcomeInvalid, Reason: err.Error()},
			}, nil
		}
		w.Wants = wants
	}
	b := d.schedule.Get(w.ID)
	var held []wire.Compare // under which it is not among those that are past
	if b == nil && w.Verb != booking.VerbSetInventory {
		var cond wire.Compare
		if b, cond, _ = d.lookUpArchived(w.ID); b != nil {
			d.schedule.Put(b) // it does not change any more
		}
		held = append(held, cond)
	}
	team := w.Team
	var kinds []string
	if b != nil {
		team = b.Team
		for _, s := range b.Slots {
			kinds = append(kinds, site.ItemKind(s.Piece))
		}
	}
	for _, x := range w.Wants {
		kinds = append(kinds, site.WantKind(x))
	}
	slices.Sort(kinds)
	conds, why := env.Authorize(a, team, slices.Compact(kinds))
	conds = append(conds, held...)
	if why != "" {
		return Response{Request: a, Forbidden: true, Result: booking.Result{Reason: why}}, conds
	}
	return Response{Request: a, Result: site.Decide(draft, env.UnixS, w)}, conds
}

// ResolveWants makes what somebody asks for what it means at a site.
func ResolveWants(site *booking.Inventory, list []wire.SlotRequest, rule string) (out []*pb.Want, err error) {
	for _, x := range list {
		if (x.Equipment == "") == (x.Kind == "") {
			return nil, fmt.Errorf("a slot names a piece of equipment or a kind")
		}
		w := &pb.Want{Piece: x.Equipment, Kind: x.Kind, Zone: x.Zone, Slots: max(1, x.Slots)}
		if w.From, err = site.ParseTime(x.From); err != nil {
			return nil, err
		}
		wants := []*pb.Want{w}
		if rule != "" {
			if wants, err = site.ExpandRecurrence(w, rule); err != nil {
				return nil, err
			}
		}
		out = append(out, wants...)
	}
	return out, nil
}

// HandleOutcome takes the outcome of the transaction that Step gave: its status, and the mark of
// what it wrote. It returns the answers that hold now; whether the head must be read (then Read is
// to be called) before more is decided.
func (d *Service) HandleOutcome(status wire.Status, revision uint64) (out []Response, mustReadHead bool) {
	f := d.inFlight
	if f == nil {
		return nil, false
	}
	if status != wire.StatusOK {
		d.rollBackInFlight()
		d.inFlight = nil
		asks := make([]*PendingRequest, 0, len(f.responses))
		for _, a := range f.responses {
			asks = append(asks, a.Request)
		}
		d.queue = append(asks, d.queue...)
		d.needsHeadRead = status != wire.StatusTooManyRequests && status != wire.StatusUnavailable
		return nil, d.needsHeadRead
	}
	switch {
	case f.rolledBack: // it, and perhaps more, came from the state service before
	case f.hasChanges || f.newInventory != nil:
		if f.spilledPage != "" {
			d.updateValueCounts(nil, f.spilledBookings)
			d.pages[f.spilledPage] = page{revision, f.spilledBookings}
		}
		d.updateValueCounts(d.headBookings, f.headBookings)
		d.headRevision, d.headBookings, d.pendingAudit = revision, f.headBookings, f.pendingAudit
		if f.newInventory != nil {
			d.inventory, d.inventoryRevision = f.newInventory, revision
		}
	}
	d.inFlight = nil
	return f.responses, false
}

// HeadRead tells that the state service was read since the outcome that was not known.
func (d *Service) HeadRead() { d.needsHeadRead = false }

// ViewCommitted shows the ledger without what is on its way.
func (d *Service) ViewCommitted(f func(l *booking.Schedule)) {
	if x := d.inFlight; x != nil && !x.rolledBack {
		x.draft.Undo()
		defer x.draft.Redo()
	}
	f(d.schedule)
}

func sortedPages(m map[string]page) []string { return slices.Sorted(maps.Keys(m)) }

// MergeTxn returns a transaction that stores pages of which little counts any more anew, in fewer;
// nil if none is due. At most so many changes are in it.
func (d *Service) MergeTxn(ops, valueBytes int) *wire.Txn {
	if d.merging || d.archiving || d.inFlight != nil || len(d.pages) < minPagesToMerge {
		return nil
	}
	t := &wire.Txn{}
	var kept, all []*pb.Booking
	var into string
	var raw json.RawMessage
	for _, k := range sortedPages(d.pages) {
		p := d.pages[k]
		live := slices.DeleteFunc(
			slices.Clone(p.bookings),
			func(b *pb.Booking) bool { return d.schedule.Get(b.Id).GetChange() != b.Change },
		)
		if 3*len(live) > 2*len(p.bookings) && len(t.Compare) == 0 {
			continue
		}
		all = append(slices.Clone(kept), live...)
		next, err := encodePage(all, 0, nil)
		if err != nil || len(next) > valueBytes || len(t.Compare) == ops {
			break
		}
		kept, into, raw = all, k, next
		t.Compare = append(t.Compare, wire.Compare{Key: k, Revision: p.revision})
		t.Then = append(t.Then, wire.Write{Delete: k})
	}
	if len(t.Compare) == 0 {
		return nil
	}
	if len(kept) > 0 {
		t.Then[len(t.Then)-1] = wire.Write{Put: into, Value: raw}
	}
	d.merging = true
	return t
}

// MergeDone takes the outcome of the transaction that Merge gave: what it wrote comes from the state service.
func (d *Service) MergeDone() { d.merging = false }

// Counts are figures for the log: bookings, and pages they are in.
func (d *Service) Counts() (bookings, pages int) { return d.schedule.Len(), len(d.pages) }
