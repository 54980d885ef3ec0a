//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"dewlift/wire"
)

func init() {
	cases["bookings"] = bookings
}

const bookableEquipment = `time_zone: "Europe/Zurich"
pieces { name: "kiln-1" kind: "kiln" zone: "hall" units: 2 slot_minutes: 30 cool_minutes: 30 }
pieces { name: "kiln-2" kind: "kiln" zone: "hall" slot_minutes: 30 }
pieces { name: "roaster" kind: "roaster" zone: "cellar" slot_minutes: 60 cool_minutes: 15 }
`

// held is what a user knows of a booking.
type held struct {
	mu      sync.Mutex
	state   string // what the last answer to its user says; "" while a request is on its way
	slots   string
	murky   bool // a move has had no answer: it may be carried out late
	touched int  // requests so far
}

// booker is a user of equipment.
type booker struct {
	s    *site
	mu   sync.Mutex
	all  map[string]*held
	list []string
	told map[string]int // answers by kind
}

func slotsOf(b *wire.Reservation) string {
	var out []string
	for _, slot := range b.Slots {
		out = append(out, fmt.Sprintf("%s#%d %s-%s", slot.Equipment, slot.Unit, slot.From, slot.To))
	}
	return strings.Join(out, ",")
}

func (b *booker) count(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.told[fmt.Sprintf(format, args...)]++
}

// ask sends a request until it has a final answer, and reports whether an attempt before had none.
func (b *booker) ask(method, path string, body any) (status int, out wire.ReservationResponse, lost bool) {
	for b.s.ctx.Err() == nil {
		n := b.s.nodes[rand.N(len(b.s.nodes))]
		code, raw := b.s.call(6*time.Second, method, n.serve, path, "", body)
		text, _ := json.Marshal(body)
		b.s.record("user", "%s %s %s at %s: %d %s", method, path, text, n.name, code, strings.TrimSpace(string(raw)))
		b.count("%s %d", method, code)
		switch code {
		case 200, 201, 404, 409, 422, 400:
			out = wire.ReservationResponse{}
			_ = json.Unmarshal(raw, &out)
			if code == 404 && (strings.Contains(string(raw), "no such path") || out.Error == "") {
				b.count("unknown path")
			}
			return code, out, lost
		case 0:
			lost = true
		}
		time.Sleep(300*time.Millisecond + rand.N(500*time.Millisecond))
	}
	return 0, out, lost
}

func randomSlots() []map[string]any {
	var out []map[string]any
	for range 1 + rand.N(2) {
		piece := []string{"kiln-1", "kiln-2", "roaster"}[rand.N(3)]
		want := map[string]any{
			"piece": piece, "from": fmt.Sprintf("2027-03-%02dT%02d:00", 1+rand.N(5), rand.N(22)), "slots": 1 + rand.N(3),
		}
		if rand.N(4) == 0 && piece != "roaster" {
			delete(want, "piece")
			want["kind"] = "kiln"
		}
		out = append(out, want)
	}
	return out
}

// use makes one booking and what may follow.
func (b *booker) use(id string) {
	know := &held{}
	body := map[string]any{"id": id, "slots": randomSlots()}
	hold := rand.N(3) == 0
	if hold {
		body["hold_s"] = 4 + rand.N(12)
	}
	status, out, _ := b.ask("POST", bookingPath, body)
	if status != 200 && status != 201 || out.Reservation == nil {
		return
	}
	know.learn(out.Reservation)
	b.mu.Lock()
	b.all[id] = know
	b.list = append(b.list, id)
	b.mu.Unlock()
	if hold {
		know.forget()
		status, out, _ := b.ask("POST", bookingPath+"/"+id+"/confirm", nil)
		switch {
		case status == 404:
			b.s.broken("booking_lost", "%s: confirm is answered 404", id)
		case status == 200 && out.Reservation != nil:
			know.learn(out.Reservation)
		case status == 409: // its time was over
			know.learn(&wire.Reservation{State: "ended"})
		}
	}
	for know.known() == "confirmed" && rand.N(3) > 0 {
		time.Sleep(rand.N(4 * time.Second))
		verb := []string{"move", "end", "move"}[rand.N(3)]
		change := map[string]any{"slots": randomSlots()}
		if verb == "end" {
			change = map[string]any{"why": "the glaze ran"}
		}
		before := know.forget()
		status, out, lost := b.ask("POST", bookingPath+"/"+id+"/"+verb, change)
		if verb == "move" && lost {
			know.mu.Lock()
			know.murky = true
			know.mu.Unlock()
		}
		switch {
		case status == 404:
			b.s.broken("booking_lost", "%s: %s is answered 404", id, verb)
			return
		case status == 200 && out.Reservation != nil:
			know.learn(out.Reservation)
		case status == 409 || status == 422: // refused: it keeps its slots
			know.learn(before)
		default:
			return
		}
		if verb == "end" && status == 200 && know.known() != "ended" {
			b.s.broken("booking_back", "%s: end is answered %+v", id, out.Reservation)
		}
	}
}

func (h *held) learn(r *wire.Reservation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state = r.State
	if slots := slotsOf(r); slots != "" {
		h.slots = slots
	}
}

// forget marks that a request is on its way, and returns what was known.
func (h *held) forget() *wire.Reservation {
	h.mu.Lock()
	defer h.mu.Unlock()
	was := h.state
	h.state = ""
	h.touched++
	return &wire.Reservation{State: was}
}

func (h *held) known() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state
}

// look asks for a booking at a node and compares the answer with what is known. It reports whether it got one.
func (b *booker) look(n *node, id string) bool {
	b.mu.Lock()
	know := b.all[id]
	b.mu.Unlock()
	know.mu.Lock()
	state, slots, touched, murky := know.state, know.slots, know.touched, know.murky
	know.mu.Unlock()
	status, raw := b.s.call(4*time.Second, "GET", n.serve, bookingPath+"/"+id, "", nil)
	b.count("look %d", status)
	if status == 404 {
		health, _ := b.s.call(time.Second, "GET", n.serve, "/healthz", "", nil)
		b.s.broken("booking_lost", "GET %s at %s is answered 404 %s; /healthz after it: %d",
			id, n.name, strings.TrimSpace(string(raw)), health)
		return true
	}
	if status != 200 {
		return false
	}
	var out wire.ReservationResponse
	_ = json.Unmarshal(raw, &out)
	if out.Reservation == nil {
		b.s.broken("booking_lost", "GET %s at %s: %s", id, n.name, raw)
		return true
	}
	know.mu.Lock()
	same := touched == know.touched
	know.mu.Unlock()
	switch got := out.Reservation; {
	case state == "ended" && got.State != "ended":
		b.s.broken("booking_back", "%s was ended, is %+v at %s", id, got, n.name)
	case !same || state == "":
	case state == "confirmed" && got.State != "confirmed":
		b.s.broken("booking_lost", "%s was confirmed, is %+v at %s", id, got, n.name)
	case state == "confirmed" && !murky && slotsOf(got) != slots:
		b.s.broken("booking_lost", "%s has %s, is told %s at %s", id, slots, slotsOf(got), n.name)
	}
	return true
}

// lookAtDay looks for two bookings of one unit at one time.
func (b *booker) lookAtDay(n *node, piece string, day int) {
	path := fmt.Sprintf("%s?piece=%s&day=2027-03-%02d", bookingPath, piece, day)
	status, raw := b.s.call(4*time.Second, "GET", n.serve, path, "", nil)
	b.count("day %d", status)
	var out wire.ReservationResponse
	if status != 200 || json.Unmarshal(raw, &out) != nil {
		return
	}
	type span struct{ id, from, clear string }
	units := map[string][]span{}
	for _, r := range out.Reservations {
		if r.State != "confirmed" && r.State != "held" {
			continue
		}
		for _, slot := range r.Slots {
			unit := fmt.Sprintf("%s#%d", slot.Equipment, slot.Unit)
			for _, other := range units[unit] {
				if slot.From < other.clear && other.from < slot.ReusableFrom {
					b.s.broken("double_booked", "%s: %s and %s at %s", unit, r.ID, other.id, slot.From)
				}
			}
			units[unit] = append(units[unit], span{r.ID, slot.From, slot.ReusableFrom})
		}
	}
}

// bookings is a trial: users book, hold, confirm, move and end, and look again at all nodes, beside random troubles.
func bookings(record string) {
	cfg := defaultConfig()
	cfg.linked = true
	cfg.reportS, cfg.leaseS, cfg.cancelS = 2, 14, 28
	if os.Getenv("SMALL") != "" {
		cfg.valueKB, cfg.txnOps = 2, 8
	}
	s := newSite(record, cfg)
	list := filepath.Join(s.dir, "booking.textproto")
	if os.WriteFile(list, []byte(bookableEquipment), 0o600) != nil {
		unable("no list of equipment")
	}
	s.cfg.env = append(s.cfg.env, "DEWLIFT_BOOKING="+list)
	s.startAll()
	s.waitFor(20*time.Second, "bookings are in force", func() bool {
		status, _ := s.call(2*time.Second, "GET", s.nodes[0].serve, "/v1/equipment", "", nil)
		return status == 200
	})
	b := &booker{s: s, all: map[string]*held{}, told: map[string]int{}}
	stop := time.Now().Add(75 * time.Second)
	var wg sync.WaitGroup
	for k := range 10 {
		wg.Go(func() {
			for i := 0; time.Now().Before(stop.Add(-5 * time.Second)); i++ {
				b.use(fmt.Sprintf("b-%d-%d", k, i))
				time.Sleep(rand.N(400 * time.Millisecond))
			}
		})
	}
	for range 6 {
		wg.Go(func() {
			for time.Now().Before(stop) {
				time.Sleep(rand.N(80 * time.Millisecond))
				n := s.nodes[rand.N(len(s.nodes))]
				if rand.N(4) == 0 {
					b.lookAtDay(n, []string{"kiln-1", "kiln-2", "roaster"}[rand.N(3)], 1+rand.N(5))
					continue
				}
				b.mu.Lock()
				if len(b.list) == 0 {
					b.mu.Unlock()
					continue
				}
				id := b.list[rand.N(len(b.list))]
				b.mu.Unlock()
				b.look(n, id)
			}
		})
	}
	time.Sleep(3 * time.Second)
	for trouble() && time.Now().Before(stop.Add(-5*time.Second)) {
		s.bookingTrouble()
		time.Sleep(rand.N(2 * time.Second))
	}
	wg.Wait()
	s.waitFor(30*time.Second, "all controllers healthy", func() bool {
		return s.nodes[0].healthy() && s.nodes[1].healthy() && s.nodes[2].healthy()
	})
	for _, id := range b.list { // at the end
		if s.ctx.Err() != nil {
			break
		}
		if !b.look(s.nodes[rand.N(3)], id) {
			b.count("no answer at the end")
		}
	}
	s.record("note", "%d bookings, answers %v", len(b.list), b.told)
	fmt.Println(len(b.list), "bookings", b.told)
	s.finish()
}

// bookingTrouble plays one trouble.
func (s *site) bookingTrouble() {
	n := s.nodes[rand.N(len(s.nodes))]
	length := time.Second + rand.N(8*time.Second)
	kind := rand.N(8)
	s.record("trouble", "%d %s for %v", kind, n.name, length)
	proxied := func(mode func(share float64, late bool), late bool) {
		mode(0.5, late)
		time.Sleep(length)
		n.storeProxy.set(nil)
	}
	lose := func(share float64, late bool) { n.storeProxy.set(lost(share, late)) }
	switch kind {
	case 0:
		n.kill()
		time.Sleep(rand.N(3 * time.Second))
		n.start()
	case 1:
		n.signal(syscall.SIGSTOP)
		time.Sleep(length)
		n.signal(syscall.SIGCONT)
	case 2:
		proxied(lose, false)
	case 3:
		proxied(lose, true)
	case 4:
		s.store.SetDown(true)
		time.Sleep(length)
		s.store.SetDown(false)
	case 5:
		for _, m := range s.nodes {
			m.kill()
		}
		for _, m := range s.nodes {
			m.start()
		}
	case 6:
		s.cutTrouble()
	case 7:
		for _, m := range s.nodes {
			m.storeProxy.set(lost(0.3, rand.N(2) == 0))
		}
		time.Sleep(length)
		for _, m := range s.nodes {
			m.storeProxy.set(nil)
		}
	}
}
