package main

import (
	"dewlift/booking"
	"dewlift/wire"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

// refusedError is a "no" that is no bad use: exit code 1.
type refusedError string

func (r refusedError) Error() string { return string(r) }

// loadEquipment reads a list of equipment.
func loadEquipment(path string) (*booking.Inventory, error) {
	return loadFile(path, "equipment", booking.Parse)
}

// reservationCommands makes the commands about bookings, which have the same flags for where to ask and how to answer.
type reservationCommands struct {
	identity *clientIdentity
	server   string
	asJSON   bool
}

// request asks a controller and prints its answer; what is refused is a refusal, in one line.
func (b *reservationCommands) request(
	cmd *cobra.Command,
	method, path string,
	body any,
	print func(w io.Writer, a *wire.ReservationResponse),
) error {
	r, err := b.identity.request(cmd.Context(), method, b.server, path, body)
	if err != nil {
		return err
	}
	if r.Err != nil {
		return fmt.Errorf("controller %s: %w", b.server, r.Err)
	}
	var a wire.ReservationResponse
	err = json.Unmarshal(r.Body, &a)
	out := cmd.OutOrStdout()
	switch {
	case err != nil:
		return fmt.Errorf("answer not understood: %w", err)
	case r.Status == http.StatusOK || r.Status == http.StatusCreated:
		if b.asJSON {
			return json.NewEncoder(out).Encode(a)
		}
		print(out, &a)
		return nil
	case b.asJSON:
		if err := json.NewEncoder(out).Encode(a); err != nil {
			return err
		}
	}
	line := a.Error
	switch {
	case r.Status == http.StatusNotFound && a.Error == "Not Found":
		line = "nothing can be booked at this site"
	case r.Status == http.StatusServiceUnavailable:
		line += "; try again in a moment"
	}
	for i, f := range a.Free {
		if i == 0 {
			line += "; free instead:"
		}
		line += fmt.Sprintf(" %s %s", f.Equipment, f.From)
	}
	for i, x := range a.Displaced {
		if i == 0 {
			line += ":"
		}
		line += " " + x.ID
	}
	return refusedError(line)
}

func printReservationResponse(w io.Writer, a *wire.ReservationResponse) {
	if a.Reservation != nil {
		printReservation(w, a.Reservation)
	}
}

func printReservation(w io.Writer, b *wire.Reservation) {
	state := b.State
	switch {
	case b.HeldUntil != "":
		state += " until " + b.HeldUntil
	case b.WaitlistPosition > 0:
		state += fmt.Sprintf(", number %d in line", b.WaitlistPosition)
	case b.EndReason != "":
		state += " at " + b.EndedAt + ": " + b.EndReason
	}
	printf(w, "%s: %s\n", b.ID, state)
	for _, s := range b.Slots {
		if s.To == "" {
			printf(w, "  wants %s%s from %s, %d slots\n", s.Equipment, s.Kind, s.From, s.Slots)
			continue
		}
		printf(w, "  %s unit %d from %s to %s\n", s.Equipment, s.Unit, s.From, s.To)
	}
}

// slotFlags are the flags of slots that are asked for.
type slotFlags struct {
	equipment, kind, zone, from, repeat string
	slots                               uint32
	extraSlots                          []string
}

func (w *slotFlags) addFlags(f *pflag.FlagSet) {
	f.StringVar(&w.equipment, "equipment", "", "the piece of equipment")
	f.StringVar(&w.kind, "kind", "", "instead of it, any piece of a kind")
	f.StringVar(&w.zone, "zone", "", "of that kind: only in a zone")
	f.StringVar(&w.from, "from", "", "when it begins, by the site's clocks: 2027-03-04T08:00, or with an offset")
	f.Uint32Var(&w.slots, "slots", 1, "how many slots in a row")
	f.StringVar(&w.repeat, "repeat", "", "again by a rule: FREQ=WEEKLY;COUNT=8")
	f.StringArrayVar(&w.extraSlots, "and", nil, "another slot, all or none: EQUIPMENT,FROM[,SLOTS]")
}

func (w *slotFlags) slotRequests() ([]wire.SlotRequest, error) {
	if (w.equipment == "") == (w.kind == "") || w.from == "" {
		return nil, errors.New("--from and one of --equipment and --kind are needed")
	}
	out := []wire.SlotRequest{{Equipment: w.equipment, Kind: w.kind, Zone: w.zone, From: w.from, Slots: w.slots}}
	for _, text := range w.extraSlots {
		f := strings.Split(text, ",")
		x := wire.SlotRequest{Equipment: f[0], Slots: 1}
		if len(f) == 3 {
			n, err := strconv.ParseUint(f[2], 10, 16)
			if err != nil {
				return nil, fmt.Errorf("--and %q: %q is no number of slots", text, f[2])
			}
			x.Slots = uint32(n)
		}
		if len(f) < 2 || len(f) > 3 {
			return nil, fmt.Errorf("--and %q: want EQUIPMENT,FROM[,SLOTS]", text)
		}
		x.From = f[1]
		out = append(out, x)
	}
	return out, nil
}

func reservationCommand(me *clientIdentity) *cobra.Command {
	b := &reservationCommands{identity: me}
	cmd := &cobra.Command{Use: "booking", Short: "Book shared equipment, and ask who has it when"}
	cmd.PersistentFlags().
		StringVar(&b.server, "server", "127.0.0.1:8080", "address of a controller, or of several, separated by commas")
	cmd.PersistentFlags().BoolVar(&b.asJSON, "json", false, "as JSON")
	cmd.AddCommand(
		b.make("make ID", "Book equipment", false),
		b.make("hold ID", "Hold equipment until it is confirmed", true),
		b.change(
			"confirm ID",
			"Confirm a booking that is held",
			"confirm",
		),
		b.move(),
		b.end(),
		b.show(),
		b.free(),
		b.day(),
		b.waiting(),
		b.equipment(),
		&cobra.Command{
			Use: "check FILE", Short: "Check a list of equipment", Args: cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				s, err := loadEquipment(args[0])
				if err != nil {
					return err
				}
				printf(cmd.OutOrStdout(), "equipment is valid: %d pieces\n", len(s.Source().Pieces))
				return nil
			},
		},
	)
	return cmd
}

func (b *reservationCommands) make(use, short string, hold bool) *cobra.Command {
	var w slotFlags
	var a wire.ReservationRequest
	var keep time.Duration
	cmd := &cobra.Command{
		Use: use, Short: short, Args: cobra.ExactArgs(1),
		Example: "  dewlift booking make glaze-81 --equipment kiln-2 --from 2027-03-04T08:00 --slots 4",
		RunE: func(cmd *cobra.Command, args []string) (err error) {
			if a.Slots, err = w.slotRequests(); err != nil {
				return err
			}
			if hold {
				if a.HoldS = uint32(keep.Seconds()); keep < time.Second {
					return fmt.Errorf("--for %s: at least a second", keep)
				}
			}
			a.ID, a.Repeat = args[0], w.repeat
			return b.request(cmd, http.MethodPost, wire.PathReservations, a, printReservationResponse)
		},
	}
	w.addFlags(cmd.Flags())
	cmd.Flags().StringVar(&a.Team, "team", "", "whose booking it is")
	cmd.Flags().BoolVar(&a.Waitlist, "wait", false, "go on the waiting list if it is taken")
	cmd.Flags().StringVar(&a.Priority, "priority", wire.PriorityName(wire.PriorityStandard), "on the waiting list")
	if hold {
		cmd.Flags().DurationVar(&keep, "for", 15*time.Minute, "how long it is held")
	}
	return cmd
}

func (b *reservationCommands) change(use, short, verb string) *cobra.Command {
	return &cobra.Command{
		Use: use, Short: short, Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return b.request(cmd, http.MethodPost,
				wire.PathReservations+"/"+url.PathEscape(args[0])+"/"+verb, nil, printReservationResponse)
		},
	}
}

func (b *reservationCommands) move() *cobra.Command {
	var w slotFlags
	cmd := &cobra.Command{
		Use:   "move ID",
		Short: "Give a booking other slots: it keeps its own until it has them",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			list, err := w.slotRequests()
			if err != nil {
				return err
			}
			return b.request(
				cmd,
				http.MethodPost,
				wire.PathReservations+"/"+url.PathEscape(args[0])+"/move",
				wire.ReservationRequest{Slots: list, Repeat: w.repeat},
				printReservationResponse,
			)
		},
	}
	w.addFlags(cmd.Flags())
	return cmd
}

func (b *reservationCommands) end() *cobra.Command {
	var a wire.ReservationRequest
	cmd := &cobra.Command{
		Use: "end ID", Short: "End a booking: its slots become free", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return b.request(cmd, http.MethodPost,
				wire.PathReservations+"/"+url.PathEscape(args[0])+"/end", a, printReservationResponse)
		},
	}
	cmd.Flags().StringVar(&a.Reason, "why", "", "the reason, which is kept")
	return cmd
}

func (b *reservationCommands) show() *cobra.Command {
	return &cobra.Command{
		Use: "show ID", Short: "Show a booking, and why it ended", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return b.request(cmd, http.MethodGet,
				wire.PathReservations+"/"+url.PathEscape(args[0]), nil, printReservationResponse)
		},
	}
}

func (b *reservationCommands) free() *cobra.Command {
	var w slotFlags
	var by, team string
	cmd := &cobra.Command{
		Use: "free", Short: "List the next free times", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if (w.equipment == "") == (w.kind == "") {
				return errors.New("one of --equipment and --kind is needed")
			}
			q := url.Values{
				"list": {
					"free",
				},
				"piece": {w.equipment},
				"kind":  {w.kind},
				"zone":  {w.zone},
				"from":  {w.from},
				"by":    {by},
				"team":  {team},
				"slots": {strconv.Itoa(int(w.slots))},
			}
			return b.request(
				cmd,
				http.MethodGet,
				wire.PathReservations+"?"+q.Encode(),
				nil,
				func(out io.Writer, a *wire.ReservationResponse) {
					for _, f := range a.Free {
						printf(out, "%s from %s to %s\n", f.Equipment, f.From, f.To)
					}
					if len(a.Free) == 0 {
						printf(out, "nothing is free then\n")
					}
				},
			)
		},
	}
	w.addFlags(cmd.Flags())
	cmd.Flags().StringVar(&by, "by", "", "when it must be over")
	cmd.Flags().StringVar(&team, "team", "", "whose booking it would be")
	return cmd
}

func printReservationList(none string) func(io.Writer, *wire.ReservationResponse) {
	return func(out io.Writer, a *wire.ReservationResponse) {
		for i := range a.Reservations {
			printReservation(out, &a.Reservations[i])
		}
		if len(a.Reservations) == 0 {
			printf(out, "%s\n", none)
		}
	}
}

func (b *reservationCommands) day() *cobra.Command {
	return &cobra.Command{
		Use: "day EQUIPMENT DAY", Short: "List a day's bookings of a piece of equipment", Args: cobra.ExactArgs(2),
		Example: "  dewlift booking day kiln-2 2027-03-04",
		RunE: func(cmd *cobra.Command, args []string) error {
			q := url.Values{"piece": {args[0]}, "day": {args[1]}}
			return b.request(cmd, http.MethodGet,
				wire.PathReservations+"?"+q.Encode(), nil, printReservationList("nothing is booked then"))
		},
	}
}

func (b *reservationCommands) waiting() *cobra.Command {
	return &cobra.Command{
		Use: "waiting", Short: "List the waiting list", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return b.request(cmd, http.MethodGet,
				wire.PathReservations+"?list=waiting", nil, printReservationList("nobody waits"))
		},
	}
}

func (b *reservationCommands) equipment() *cobra.Command {
	var e wire.EquipmentEdit
	cmd := &cobra.Command{
		Use:   "equipment [FILE]",
		Short: "Show the list of equipment, or put another in force",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) == 0 {
				return b.request(
					cmd,
					http.MethodGet,
					wire.PathEquipment,
					nil,
					func(out io.Writer, a *wire.ReservationResponse) { printf(out, "%s", a.Equipment) },
				)
			}
			if _, err := loadEquipment(args[0]); err != nil {
				return err
			}
			raw, err := os.ReadFile(args[0])
			if err != nil {
				return fmt.Errorf("read equipment: %w", err)
			}
			e.Text = string(raw)
			return b.request(
				cmd,
				http.MethodPost,
				wire.PathEquipment,
				e,
				func(out io.Writer, a *wire.ReservationResponse) {
					printf(out, "the list is in force, as version %d\n", a.Version)
					for i := range a.Displaced {
						printf(out, "ended with it: %s\n", a.Displaced[i].ID)
					}
				},
			)
		},
	}
	cmd.Flags().
		BoolVar(&e.EndDisplaced, "end-displaced", false, "end the bookings that the new list has no place for; without it, they are listed and nothing changes")
	cmd.Flags().StringVar(&e.Reason, "why", "", "the reason why they end, which is kept")
	return cmd
}
