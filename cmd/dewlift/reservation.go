package main

import (
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

	"dewlift/booking"
	"dewlift/wire"
)

// refusedError is a refusal by a controller, which is no bad use of the command: exit code 1.
type refusedError string

// Error returns the reason.
func (r refusedError) Error() string { return string(r) }

// loadEquipment reads a list of equipment.
func loadEquipment(path string) (*booking.Inventory, error) {
	return loadFile(path, "equipment", booking.Parse)
}

// reservationCommands makes the commands about reservations, which share their flags.
type reservationCommands struct {
	identity *clientIdentity
	server   string
	asJSON   bool
}

// request makes a request and prints its response; a refusal by the controller is a refusedError of one line.
func (b *reservationCommands) request(
	cmd *cobra.Command,
	method, path string,
	body any,
	printResponse func(w io.Writer, response *wire.ReservationResponse),
) error {
	resp, err := b.identity.request(cmd.Context(), method, b.server, path, body)
	if err != nil {
		return err
	}
	if resp.Err != nil {
		return fmt.Errorf("controller %s: %w", b.server, resp.Err)
	}
	var response wire.ReservationResponse
	if err := json.Unmarshal(resp.Body, &response); err != nil {
		return fmt.Errorf("answer not understood: %w", err)
	}
	accepted := resp.Status == http.StatusOK || resp.Status == http.StatusCreated
	if b.asJSON {
		if err := json.NewEncoder(cmd.OutOrStdout()).Encode(response); err != nil {
			return err
		}
	} else if accepted {
		printResponse(cmd.OutOrStdout(), &response)
	}
	if accepted {
		return nil
	}
	return reservationRefusal(resp.Status, &response)
}

// reservationRefusal puts a refusal, with the alternatives or the displaced reservations, in one line.
func reservationRefusal(status int, response *wire.ReservationResponse) refusedError {
	line := response.Error
	switch {
	case status == http.StatusNotFound && response.Error == "Not Found":
		line = "nothing can be booked at this site"
	case status == http.StatusServiceUnavailable:
		line += "; try again in a moment"
	}
	for i, free := range response.Free {
		if i == 0 {
			line += "; free instead:"
		}
		line += fmt.Sprintf(" %s %s", free.Equipment, free.From)
	}
	for i, displaced := range response.Displaced {
		if i == 0 {
			line += ":"
		}
		line += " " + displaced.ID
	}
	return refusedError(line)
}

// printReservationResponse prints the reservation of a response, if it has one.
func printReservationResponse(w io.Writer, response *wire.ReservationResponse) {
	if response.Reservation != nil {
		printReservation(w, response.Reservation)
	}
}

func printReservation(w io.Writer, reservation *wire.Reservation) {
	state := reservation.State
	switch {
	case reservation.HeldUntil != "":
		state += " until " + reservation.HeldUntil
	case reservation.WaitlistPosition > 0:
		state += fmt.Sprintf(", number %d in line", reservation.WaitlistPosition)
	case reservation.EndReason != "":
		state += " at " + reservation.EndedAt + ": " + reservation.EndReason
	}
	printf(w, "%s: %s\n", reservation.ID, state)
	for _, slot := range reservation.Slots {
		if slot.To == "" {
			printf(w, "  wants %s%s from %s, %d slots\n", slot.Equipment, slot.Kind, slot.From, slot.Slots)
			continue
		}
		printf(w, "  %s unit %d from %s to %s\n", slot.Equipment, slot.Unit, slot.From, slot.To)
	}
}

// slotFlags are the flags that name the requested slots.
type slotFlags struct {
	equipment, kind, zone, from, repeat string
	slots                               uint32
	extraSlots                          []string
}

func (f *slotFlags) addFlags(flags *pflag.FlagSet) {
	flags.StringVar(&f.equipment, "equipment", "", "the piece of equipment")
	flags.StringVar(&f.kind, "kind", "", "instead of it, any piece of a kind")
	flags.StringVar(&f.zone, "zone", "", "of that kind: only in a zone")
	flags.StringVar(&f.from, "from", "", "when it begins, by the site's clocks: 2027-03-04T08:00, or with an offset")
	flags.Uint32Var(&f.slots, "slots", 1, "how many slots in a row")
	flags.StringVar(&f.repeat, "repeat", "", "again by a rule: FREQ=WEEKLY;COUNT=8")
	flags.StringArrayVar(&f.extraSlots, "and", nil, "another slot, all or none: EQUIPMENT,FROM[,SLOTS]")
}

// slotRequests returns the requested slots.
func (f *slotFlags) slotRequests() ([]wire.SlotRequest, error) {
	if (f.equipment == "") == (f.kind == "") || f.from == "" {
		return nil, errors.New("--from and one of --equipment and --kind are needed")
	}
	requests := []wire.SlotRequest{{Equipment: f.equipment, Kind: f.kind, Zone: f.zone, From: f.from, Slots: f.slots}}
	for _, text := range f.extraSlots {
		fields := strings.Split(text, ",")
		request := wire.SlotRequest{Equipment: fields[0], Slots: 1}
		if len(fields) == 3 {
			n, err := strconv.ParseUint(fields[2], 10, 16)
			if err != nil {
				return nil, fmt.Errorf("--and %q: %q is no number of slots", text, fields[2])
			}
			request.Slots = uint32(n)
		}
		if len(fields) < 2 || len(fields) > 3 {
			return nil, fmt.Errorf("--and %q: want EQUIPMENT,FROM[,SLOTS]", text)
		}
		request.From = fields[1]
		requests = append(requests, request)
	}
	return requests, nil
}

func reservationCommand(identity *clientIdentity) *cobra.Command {
	b := &reservationCommands{identity: identity}
	cmd := &cobra.Command{Use: "booking", Short: "Book shared equipment, and ask who has it when"}
	cmd.PersistentFlags().
		StringVar(&b.server, "server", "127.0.0.1:8080", "address of a controller, or of several, separated by commas")
	cmd.PersistentFlags().BoolVar(&b.asJSON, "json", false, "as JSON")
	cmd.AddCommand(
		b.make("make ID", "Book equipment", false),
		b.make("hold ID", "Hold equipment until it is confirmed", true),
		b.change("confirm ID", "Confirm a booking that is held", "confirm"),
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
				inventory, err := loadEquipment(args[0])
				if err != nil {
					return err
				}
				printf(cmd.OutOrStdout(), "equipment is valid: %d pieces\n", len(inventory.Source().Pieces))
				return nil
			},
		},
	)
	return cmd
}

// make makes the command that creates a reservation, confirmed or held for confirmation.
func (b *reservationCommands) make(use, short string, hold bool) *cobra.Command {
	var slots slotFlags
	var request wire.ReservationRequest
	var keep time.Duration
	cmd := &cobra.Command{
		Use: use, Short: short, Args: cobra.ExactArgs(1),
		Example: "  dewlift booking make glaze-81 --equipment kiln-2 --from 2027-03-04T08:00 --slots 4",
		RunE: func(cmd *cobra.Command, args []string) (err error) {
			if request.Slots, err = slots.slotRequests(); err != nil {
				return err
			}
			if hold {
				if request.HoldS = uint32(keep.Seconds()); keep < time.Second {
					return fmt.Errorf("--for %s: at least a second", keep)
				}
			}
			request.ID, request.Repeat = args[0], slots.repeat
			return b.request(cmd, http.MethodPost, wire.PathReservations, request, printReservationResponse)
		},
	}
	slots.addFlags(cmd.Flags())
	cmd.Flags().StringVar(&request.Team, "team", "", "whose booking it is")
	cmd.Flags().BoolVar(&request.Waitlist, "wait", false, "go on the waiting list if it is taken")
	standard := wire.PriorityName(wire.PriorityStandard)
	cmd.Flags().StringVar(&request.Priority, "priority", standard, "on the waiting list")
	if hold {
		cmd.Flags().DurationVar(&keep, "for", 15*time.Minute, "how long it is held")
	}
	return cmd
}

// change makes a command that changes a reservation by a verb of its path.
func (b *reservationCommands) change(use, short, verb string) *cobra.Command {
	return &cobra.Command{
		Use: use, Short: short, Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return b.request(cmd, http.MethodPost,
				wire.PathReservations+"/"+url.PathEscape(args[0])+"/"+verb, nil, printReservationResponse)
		},
	}
}

// move makes the command that gives a reservation other slots.
func (b *reservationCommands) move() *cobra.Command {
	var slots slotFlags
	cmd := &cobra.Command{
		Use:   "move ID",
		Short: "Give a booking other slots: it keeps its own until it has them",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			list, err := slots.slotRequests()
			if err != nil {
				return err
			}
			return b.request(
				cmd,
				http.MethodPost,
				wire.PathReservations+"/"+url.PathEscape(args[0])+"/move",
				wire.ReservationRequest{Slots: list, Repeat: slots.repeat},
				printReservationResponse,
			)
		},
	}
	slots.addFlags(cmd.Flags())
	return cmd
}

// end makes the command that ends a reservation.
func (b *reservationCommands) end() *cobra.Command {
	var request wire.ReservationRequest
	cmd := &cobra.Command{
		Use: "end ID", Short: "End a booking: its slots become free", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return b.request(cmd, http.MethodPost,
				wire.PathReservations+"/"+url.PathEscape(args[0])+"/end", request, printReservationResponse)
		},
	}
	cmd.Flags().StringVar(&request.Reason, "why", "", "the reason, which is kept")
	return cmd
}

// show makes the command that shows a reservation.
func (b *reservationCommands) show() *cobra.Command {
	return &cobra.Command{
		Use: "show ID", Short: "Show a booking, and why it ended", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return b.request(cmd, http.MethodGet,
				wire.PathReservations+"/"+url.PathEscape(args[0]), nil, printReservationResponse)
		},
	}
}

// free makes the command that lists free intervals.
func (b *reservationCommands) free() *cobra.Command {
	var slots slotFlags
	var by, team string
	cmd := &cobra.Command{
		Use: "free", Short: "List the next free times", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if (slots.equipment == "") == (slots.kind == "") {
				return errors.New("one of --equipment and --kind is needed")
			}
			q := url.Values{
				"list":  {"free"},
				"piece": {slots.equipment},
				"kind":  {slots.kind},
				"zone":  {slots.zone},
				"from":  {slots.from},
				"by":    {by},
				"team":  {team},
				"slots": {strconv.Itoa(int(slots.slots))},
			}
			return b.request(
				cmd,
				http.MethodGet,
				wire.PathReservations+"?"+q.Encode(),
				nil,
				func(out io.Writer, response *wire.ReservationResponse) {
					for _, f := range response.Free {
						printf(out, "%s from %s to %s\n", f.Equipment, f.From, f.To)
					}
					if len(response.Free) == 0 {
						printf(out, "nothing is free then\n")
					}
				},
			)
		},
	}
	slots.addFlags(cmd.Flags())
	cmd.Flags().StringVar(&by, "by", "", "when it must be over")
	cmd.Flags().StringVar(&team, "team", "", "whose booking it would be")
	return cmd
}

// printReservationList returns a function that prints the reservations of a response, or none if there are none.
func printReservationList(none string) func(io.Writer, *wire.ReservationResponse) {
	return func(out io.Writer, response *wire.ReservationResponse) {
		for i := range response.Reservations {
			printReservation(out, &response.Reservations[i])
		}
		if len(response.Reservations) == 0 {
			printf(out, "%s\n", none)
		}
	}
}

// day makes the command that lists a day's reservations.
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

// waiting makes the command that lists the waiting list.
func (b *reservationCommands) waiting() *cobra.Command {
	return &cobra.Command{
		Use: "waiting", Short: "List the waiting list", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return b.request(cmd, http.MethodGet,
				wire.PathReservations+"?list=waiting", nil, printReservationList("nobody waits"))
		},
	}
}

// equipment makes the command that shows or replaces the list of equipment.
func (b *reservationCommands) equipment() *cobra.Command {
	var edit wire.EquipmentEdit
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
					func(out io.Writer, response *wire.ReservationResponse) { printf(out, "%s", response.Equipment) },
				)
			}
			if _, err := loadEquipment(args[0]); err != nil {
				return err
			}
			raw, err := os.ReadFile(args[0])
			if err != nil {
				return fmt.Errorf("read equipment: %w", err)
			}
			edit.Text = string(raw)
			return b.request(
				cmd,
				http.MethodPost,
				wire.PathEquipment,
				edit,
				func(out io.Writer, response *wire.ReservationResponse) {
					printf(out, "the list is in force, as version %d\n", response.Version)
					for i := range response.Displaced {
						printf(out, "ended with it: %s\n", response.Displaced[i].ID)
					}
				},
			)
		},
	}
	cmd.Flags().
		BoolVar(&edit.EndDisplaced, "end-displaced", false, "end the bookings that the new list has no place for; "+
			"without it, they are listed and nothing changes")
	cmd.Flags().StringVar(&edit.Reason, "why", "", "the reason why they end, which is kept")
	return cmd
}
