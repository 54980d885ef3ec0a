// Package booking keeps the ledger of bookings in the state service. It decides what is stored together and when; it does no I/O:
// transactions go out, their outcomes and the changes of the state service come in. Who gets what is decided by the package booking.
//
// All changes of bookings are in one order. The newest are in one value, the head, with the number of the last; whoever
// changes bookings writes the head anew, on condition of its mark: so each decision is made on all that was decided before it, at
// whichever controller, and of two that do not know of each other only one is stored, however late. A head that is full becomes a page
// in the same transaction. Of a booking that is in several pages, the latest change counts; pages of which little counts
// any more are stored anew, together.
//
// What is asked for at about the same time shares a transaction, so a flood of bookings takes few changes. One on which nothing changes only
// compares: what is answered holds at that moment.
package booking

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	protobuf "google.golang.org/protobuf/proto"

	"dewlift/audit"
	ledger "dewlift/booking"
	"dewlift/internal/squeeze"
	pb "dewlift/proto"
	"dewlift/wire"
)

// Keys of the state service.
const (
	Prefix  = "dl/booking/"
	KeyHead = Prefix + "head"
	KeyList = Prefix + "list"  // of equipment
	prePage = Prefix + "page/" // by the last change in them
)

const (
	gather   = 250 * time.Millisecond // between two transactions, in which asks come to share the next
	lookGap  = 500 * time.Millisecond
	mostAsks = 200     // of a transaction
	mostWait = 2000    // asks that wait
	mostPage = 1 << 20 // bytes that a value expands to
	mergeMin = 4       // pages from which they are stored anew

	condsLeft = 8 // conditions of a transaction that its next ask, the head, the list and a page may need
)

// Ask is somebody's wish that waits for its answer.
type Ask struct {
	Wish  ledger.Wish
	Wants []wire.SlotRequest // in the words of whoever asks: what they mean depends on the list in force
	Again string             // the rule by which they come again
	Until time.Duration      // when it is answered that it could not be decided
	Tag   any                // of the caller
}

// Env is what the desk must know of the moment.
type Env struct {
	Now        time.Duration
	UnixS      int64
	ValueBytes int
	Conds      int // the most that a transaction may have
	// May decides whether the one who asks may do so with a team's bookings of pieces of these kinds: the conditions under which that
	// holds, or why not.
	May func(a *Ask, team string, kinds []string) (conds []wire.Compare, why string)
	// Carry returns what the head carries of the audit record, with entries of the asks that are granted and of the other bookings that change.
	Carry func(mark uint64, old []audit.Carried, granted []*Ask, changed []*pb.Booking) []audit.Carried
}

// Answer is what is to be told to somebody.
type Answer struct {
	Ask *Ask
	ledger.Answer
	Forbidden bool
	Late      bool // it could not be decided in time
}

// Desk is the state of a controller's bookings.
type Desk struct {
	ledger  *ledger.Ledger
	site    *ledger.Site // nil: nothing can be booked
	list    uint64       // mark of the list
	head    uint64       // mark of the head
	top     []*pb.Booking
	carried []audit.Carried
	pages   map[string]page
	queue   []*Ask
	flight  *flight
	copies  map[string]int    // in how many values a booking is
	past    uint64            // mark of keyPast: from then on, bookings may be in blocks; see past.go
	blocks  []*block          // the one used last in front
	looking map[string][]*Ask // by id, those who wait until a block was read
	reads   []string          // ids whose blocks are to be read
	changed uint64            // revision at which a page changed last, or went: something may have moved
	moving  bool
	forget  time.Duration
	behind  bool          // the head must be read before anything else is decided
	next    time.Duration // when the next transaction may be made
	look    time.Duration // when it is looked next whether time has ended something
	merging bool
	crowded bool // what was decided last would fit without the entries of the audit record
}

type page struct {
	mark     uint64
	bookings []*pb.Booking
}

// flight is a transaction whose outcome is not known yet.
type flight struct {
	draft    *ledger.Draft
	undone   bool
	answers  []Answer
	top      []*pb.Booking
	carried  []audit.Carried
	site     *ledger.Site // a list that it puts in force
	changes  bool
	spilled  string // the page that the head before became
	spilling []*pb.Booking
}

// value is how bookings are stored.
type value struct {
	Data    []byte          `json:"p"`
	Carried []audit.Carried `json:"e,omitempty"`
}

// New is a desk that knows nothing yet.
func New() *Desk {
	d := &Desk{looking: map[string][]*Ask{}}
	d.Clear()
	return d
}

// Clear forgets what was read: all is read anew. What waits goes on waiting.
func (d *Desk) Clear() {
	if d.flight != nil {
		d.flight.undone = true
	}
	d.ledger, d.site, d.list, d.head, d.top, d.carried, d.pages = ledger.NewLedger(), nil, 0, 0, nil, nil, map[string]page{}
	d.copies, d.past, d.blocks = map[string]int{}, 0, nil
}

// Open reports whether something can be booked.
func (d *Desk) Open() bool { return d.site != nil }

// Version is that of the list in force: its mark; 0 if there is none.
func (d *Desk) Version() uint64 { return d.list }

// Site is the list in force; nil if there is none.
func (d *Desk) Site() *ledger.Site { return d.site }

func encode(bookings []*pb.Booking, change uint64, carried []audit.Carried) (json.RawMessage, error) {
	return pack(&pb.Page{Change: change, Bookings: bookings}, carried)
}

// pack renders what is stored.
func pack(m protobuf.Message, carried []audit.Carried) (json.RawMessage, error) {
	raw, err := protobuf.MarshalOptions{Deterministic: true}.Marshal(m)
	if err == nil {
		raw, err = squeeze.Deflate(raw)
	}
	if err != nil {
		return nil, fmt.Errorf("encode bookings: %w", err)
	}
	return json.Marshal(value{raw, carried})
}

// Decode reads a head or a page.
func Decode(raw json.RawMessage) (*pb.Page, []audit.Carried, error) {
	p := &pb.Page{}
	v, err := decode(raw, p)
	return p, v.Carried, err
}

func decode(raw json.RawMessage, m protobuf.Message) (v value, err error) {
	if err = json.Unmarshal(raw, &v); err == nil {
		var plain []byte
		if plain, err = squeeze.Inflate(v.Data, mostPage); err == nil {
			err = protobuf.Unmarshal(plain, m)
		}
	}
	if err != nil {
		err = fmt.Errorf("decode bookings: %w", err)
	}
	return v, err
}

// EncodeList renders a list of equipment as it is stored.
func EncodeList(e *pb.Equipment) (json.RawMessage, error) { return pack(e, nil) }

// undo takes what is on its way out of the ledger: what was stored comes from the state service.
func (d *Desk) undo() {
	if d.flight != nil && !d.flight.undone {
		d.flight.undone = true
		d.flight.draft.Undo()
	}
}

// Put takes a key of the state service. It returns what the head carries of the audit record.
func (d *Desk) Put(key string, raw json.RawMessage, mark uint64) ([]audit.Carried, error) {
	switch {
	case key == KeyList:
		if mark <= d.list {
			return nil, nil
		}
		var e pb.Equipment
		_, err := decode(raw, &e)
		if err == nil {
			var s *ledger.Site
			if s, err = ledger.NewSite(&e); err == nil {
				d.site = s
			}
		}
		d.list = mark // one that can't be read can be replaced
		return nil, err
	case key == KeyHead:
		if mark <= d.head {
			return d.carried, nil
		}
		p, carried, err := Decode(raw)
		d.undo()
		d.count(d.top, p.Bookings)
		d.head, d.carried, d.top, d.behind = mark, carried, p.Bookings, false
		d.take(p)
		return carried, err
	case key == keyPast:
		d.past = max(d.past, mark)
	case strings.HasPrefix(key, prePage):
		if mark <= d.pages[key].mark {
			return nil, nil
		}
		p, _, err := Decode(raw)
		d.undo()
		if d.pages[key].mark != 0 {
			d.changed = max(d.changed, mark)
		}
		d.count(d.pages[key].bookings, p.Bookings)
		d.pages[key] = page{mark, p.Bookings}
		d.take(p)
		return nil, err
	}
	return nil, nil
}

func (d *Desk) take(p *pb.Page) {
	for _, b := range p.Bookings {
		d.ledger.Put(b)
	}
	d.ledger.Saw(p.Change)
}

// Drop takes the news that a key is gone, since a revision.
func (d *Desk) Drop(key string, mark uint64) {
	d.changed = max(d.changed, mark)
	d.count(d.pages[key].bookings, nil)
	delete(d.pages, key) // what counted of it is elsewhere
}

// Ask has a wish wait for its turn; false if too many do.
func (d *Desk) Ask(a *Ask) bool {
	if len(d.queue) >= mostWait {
		return false
	}
	d.queue = append(d.queue, a)
	return true
}

// Late takes out those who have waited too long.
func (d *Desk) Late(now time.Duration) (out []Answer) {
	late := func(a *Ask) bool {
		if now >= a.Until {
			out = append(out, Answer{Ask: a, Late: true})
		}
		return now >= a.Until
	}
	d.queue = slices.DeleteFunc(d.queue, late)
	for id, list := range d.looking {
		d.looking[id] = slices.DeleteFunc(list, late)
	}
	return out
}

// Due reports whether there is something to decide.
func (d *Desk) Due(now time.Duration, unixS int64) bool {
	if d.site == nil || d.flight != nil || d.behind || now < d.next {
		return false
	}
	if len(d.queue) == 0 && now >= d.look {
		d.look = now + lookGap
		return d.ledger.Due(unixS)
	}
	return len(d.queue) > 0
}

// Step decides what waits and returns the transaction that makes it so. Its outcome goes to Outcome.
func (d *Desk) Step(env Env) *wire.Txn {
	d.lookAhead()
	d.crowded = false
	if len(d.queue) == 0 && !d.ledger.Due(env.UnixS) {
		return nil
	}
	for most := min(len(d.queue), mostAsks); ; most /= 2 {
		t, fits := d.try(env, most)
		if fits {
			d.queue = d.queue[len(d.flight.answers):]
			d.next = env.Now + gather
			return t
		}
		if most <= 1 { // one that no value holds
			d.undo()
			d.flight = nil
			if most == 0 || d.crowded {
				d.next = env.Now + 4*gather // until the entries that the head carries are in blocks
				return nil
			}
			a := d.queue[0]
			d.queue = d.queue[1:]
			d.flight = &flight{draft: d.ledger.Draft(), answers: []Answer{{Ask: a, Answer: ledger.Answer{Outcome: ledger.Bad, Why: "too much to be stored in one value"}}}}
			d.next = env.Now + gather
			return d.compare(nil)
		}
	}
}

func (d *Desk) compare(conds []wire.Compare) *wire.Txn {
	t := &wire.Txn{Compare: []wire.Compare{{Key: KeyHead, Revision: d.head}, {Key: KeyList, Revision: d.list}}}
	for _, k := range conds {
		if !slices.Contains(t.Compare, k) {
			t.Compare = append(t.Compare, k)
		}
	}
	return t
}

// try decides the first asks that wait.
func (d *Desk) try(env Env, most int) (t *wire.Txn, fits bool) {
	d.undo()
	f := &flight{draft: d.ledger.Draft()}
	d.flight = f
	site := d.site
	if d.ledger.Due(env.UnixS) { // else each change has given what it freed, and nobody waits for what they could have
		site.Advance(f.draft, env.UnixS)
	}
	var conds []wire.Compare
	var asks []*Ask
	for _, a := range d.queue[:most] {
		ans, more := d.decide(env, site, f.draft, a)
		f.answers = append(f.answers, ans)
		if ans.Outcome == ledger.Done && !ans.Forbidden {
			asks = append(asks, a)
		}
		for _, k := range more {
			if !slices.Contains(conds, k) {
				conds = append(conds, k)
			}
		}
		if a.Wish.Verb == ledger.Equip && ans.Outcome == ledger.Done {
			f.site = a.Wish.Replace
			break // others are judged by the new list
		}
		if len(conds)+condsLeft > env.Conds {
			break
		}
	}
	t = d.compare(conds)
	f.changes = len(f.draft.Bookings) > 0
	if f.site != nil {
		raw, err := EncodeList(f.site.Source())
		if err != nil || len(raw) > env.ValueBytes {
			return nil, false
		}
		t.Then = append(t.Then, wire.Write{Put: KeyList, Value: raw})
	}
	if !f.changes && f.site == nil {
		return t, true
	}
	change := d.ledger.Change()
	f.carried = env.Carry(d.head, d.carried, asks, f.draft.Bookings)
	f.top = slices.Clone(d.top)
	for _, b := range f.draft.Bookings { // of one that changes again, only the last change is kept
		f.top = slices.DeleteFunc(f.top, func(o *pb.Booking) bool { return o.Id == b.Id })
	}
	f.top = append(f.top, f.draft.Bookings...)
	raw, err := encode(f.top, change, f.carried)
	if err == nil && len(raw) > env.ValueBytes && len(f.top) > len(f.draft.Bookings) {
		f.top = slices.Clone(f.draft.Bookings)
		f.spilled, f.spilling = fmt.Sprintf("%s%016x", prePage, change-uint64(len(f.draft.Bookings))), d.top
		var old json.RawMessage
		if old, err = encode(d.top, 0, nil); err == nil {
			t.Compare = append(t.Compare, wire.Compare{Key: f.spilled})
			t.Then = append(t.Then, wire.Write{Put: f.spilled, Value: old})
			raw, err = encode(f.top, change, f.carried)
		}
	}
	if err != nil || len(raw) > env.ValueBytes {
		bare, err := encode(f.top, change, nil)
		d.crowded = err == nil && len(bare) <= env.ValueBytes
		return nil, false
	}
	t.Then = append(t.Then, wire.Write{Put: KeyHead, Value: raw})
	return t, true
}

// decide answers an ask.
func (d *Desk) decide(env Env, site *ledger.Site, draft *ledger.Draft, a *Ask) (Answer, []wire.Compare) {
	w := &a.Wish
	if w.Verb == ledger.Make || w.Verb == ledger.Move {
		wants, err := Wants(site, a.Wants, a.Again)
		if err != nil {
			return Answer{Ask: a, Answer: ledger.Answer{Outcome: ledger.Bad, Why: err.Error()}}, nil
		}
		w.Wants = wants
	}
	b := d.ledger.Get(w.ID)
	var held []wire.Compare // under which it is not among those that are past
	if b == nil && w.Verb != ledger.Equip {
		var cond wire.Compare
		if b, cond, _ = d.archived(w.ID); b != nil {
			d.ledger.Put(b) // it does not change any more
		}
		held = append(held, cond)
	}
	team := w.Team
	var kinds []string
	if b != nil {
		team = b.Team
		for _, s := range b.Slots {
			kinds = append(kinds, site.Kind(s.Piece))
		}
	}
	for _, x := range w.Wants {
		kinds = append(kinds, site.KindOf(x))
	}
	slices.Sort(kinds)
	conds, why := env.May(a, team, slices.Compact(kinds))
	conds = append(conds, held...)
	if why != "" {
		return Answer{Ask: a, Forbidden: true, Answer: ledger.Answer{Why: why}}, conds
	}
	return Answer{Ask: a, Answer: site.Decide(draft, env.UnixS, w)}, conds
}

// Wants makes what somebody asks for what it means at a site.
func Wants(site *ledger.Site, list []wire.SlotRequest, rule string) (out []*pb.Want, err error) {
	for _, x := range list {
		if (x.Equipment == "") == (x.Kind == "") {
			return nil, fmt.Errorf("a slot names a piece of equipment or a kind")
		}
		w := &pb.Want{Piece: x.Equipment, Kind: x.Kind, Zone: x.Zone, Slots: max(1, x.Slots)}
		if w.From, err = site.Time(x.From); err != nil {
			return nil, err
		}
		wants := []*pb.Want{w}
		if rule != "" {
			if wants, err = site.Repeat(w, rule); err != nil {
				return nil, err
			}
		}
		out = append(out, wants...)
	}
	return out, nil
}

// Outcome takes the outcome of the transaction that Step gave: its status, and the mark of what it wrote. It returns the answers that
// hold now; whether the head must be read (then Read is to be called) before more is decided.
func (d *Desk) Outcome(status int, mark uint64) (out []Answer, read bool) {
	f := d.flight
	if f == nil {
		return nil, false
	}
	if status != 200 {
		d.undo()
		d.flight = nil
		asks := make([]*Ask, 0, len(f.answers))
		for _, a := range f.answers {
			asks = append(asks, a.Ask)
		}
		d.queue = append(asks, d.queue...)
		d.behind = status != 429 && status != 503
		return nil, d.behind
	}
	switch {
	case f.undone: // it, and perhaps more, came from the state service before
	case f.changes || f.site != nil:
		if f.spilled != "" {
			d.count(nil, f.spilling)
			d.pages[f.spilled] = page{mark, f.spilling}
		}
		d.count(d.top, f.top)
		d.head, d.top, d.carried = mark, f.top, f.carried
		if f.site != nil {
			d.site, d.list = f.site, mark
		}
	}
	d.flight = nil
	return f.answers, false
}

// Read tells that the state service was read since the outcome that was not known.
func (d *Desk) Read() { d.behind = false }

// View shows the ledger without what is on its way.
func (d *Desk) View(f func(l *ledger.Ledger)) {
	if x := d.flight; x != nil && !x.undone {
		x.draft.Undo()
		defer x.draft.Redo()
	}
	f(d.ledger)
}

func sortedPages(m map[string]page) []string { return slices.Sorted(maps.Keys(m)) }

// Merge returns a transaction that stores pages of which little counts any more anew, in fewer; nil if none is due. At most so many
// changes are in it.
func (d *Desk) Merge(ops, valueBytes int) *wire.Txn {
	if d.merging || d.moving || d.flight != nil || len(d.pages) < mergeMin {
		return nil
	}
	t := &wire.Txn{}
	var kept, all []*pb.Booking
	var into string
	var raw json.RawMessage
	for _, k := range sortedPages(d.pages) {
		p := d.pages[k]
		live := slices.DeleteFunc(slices.Clone(p.bookings), func(b *pb.Booking) bool { return d.ledger.Get(b.Id).GetChange() != b.Change })
		if 3*len(live) > 2*len(p.bookings) && len(t.Compare) == 0 {
			continue
		}
		all = append(slices.Clone(kept), live...)
		next, err := encode(all, 0, nil)
		if err != nil || len(next) > valueBytes || len(t.Compare) == ops {
			break
		}
		kept, into, raw = all, k, next
		t.Compare = append(t.Compare, wire.Compare{Key: k, Revision: p.mark})
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

// Merged takes the outcome of the transaction that Merge gave: what it wrote comes from the state service.
func (d *Desk) Merged() { d.merging = false }

// Counts are figures for the log: bookings, and pages they are in.
func (d *Desk) Counts() (bookings, pages int) { return d.ledger.Len(), len(d.pages) }
