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

// refusedError reports that a controller refused a request or that the awaited result was not reached. Unlike wrong
// usage, it leads to exit code 1.
type refusedError string

// Error implements error.
func (r refusedError) Error() string { return string(r) }

// loadEquipment reads an equipment file.
func loadEquipment(path string) (*booking.Inventory, error) {
	return loadFile(path, "equipment", booking.Parse)
}

// reservationCommands holds the flags shared by the reservation commands, which the command line calls bookings.
type reservationCommands struct {
	identity *clientIdentity
	server   string
	asJSON   bool
}

// request makes a request and prints the response. A refusal by the controller is returned as a refusedError.
func (r *reservationCommands) request(
	cmd *cobra.Command,
	method, path string,
	body any,
	printResponse func(w io.Writer, response *wire.ReservationResponse),
) error {
	resp, err := r.identity.request(cmd.Context(), method, r.server, path, body)
	if err != nil {
		return err
	}
	if resp.Err != nil {
		return fmt.Errorf("controller %s: %w", r.server, resp.Err)
	}
	var response wire.ReservationResponse
	if err := json.Unmarshal(resp.Body, &response); err != nil {
		return fmt.Errorf("invalid response: %w", err)
	}
	accepted := resp.Status == http.StatusOK || resp.Status == http.StatusCreated
	if r.asJSON {
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

// reservationRefusal formats a refusal, with alternatives or the displaced reservations, on one line.
func reservationRefusal(status int, response *wire.ReservationResponse) refusedError {
	line := response.Error
	switch {
	case status == http.StatusNotFound && response.Error == "Not Found":
		line = "no equipment can be booked at this site"
	case status == http.StatusServiceUnavailable:
		line += "; try again later"
	}
	for i, free := range response.Free {
		if i == 0 {
			line += "; free alternatives:"
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

// printReservationResponse prints the reservation in a response, if there is one.
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
		state += fmt.Sprintf(", number %d on the waiting list", reservation.WaitlistPosition)
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

// slotFlags are the flags that select the requested slots.
type slotFlags struct {
	equipment, kind, zone, from, repeat string
	slots                               uint32
	extraSlots                          []string
}

func (f *slotFlags) addFlags(flags *pflag.FlagSet) {
	flags.StringVar(&f.equipment, "equipment", "", "name of the piece of equipment")
	flags.StringVar(&f.kind, "kind", "", "any piece of this kind, instead of --equipment")
	flags.StringVar(&f.zone, "zone", "", "with --kind: only pieces in this zone")
	flags.StringVar(&f.from, "from", "", "start, in the site's time zone: 2027-03-04T08:00, or with an offset")
	flags.Uint32Var(&f.slots, "slots", 1, "number of consecutive slots")
	flags.StringVar(&f.repeat, "repeat", "", "recurrence rule, such as FREQ=WEEKLY;COUNT=8")
	flags.StringArrayVar(&f.extraSlots, "and", nil,
		"more slots, booked together with the others or not at all: EQUIPMENT,FROM[,SLOTS]; may be repeated")
}

// slotRequests returns the requested slots.
func (f *slotFlags) slotRequests() ([]wire.SlotRequest, error) {
	if (f.equipment == "") == (f.kind == "") || f.from == "" {
		return nil, errors.New("--from and either --equipment or --kind are required")
	}
	requests := []wire.SlotRequest{{Equipment: f.equipment, Kind: f.kind, Zone: f.zone, From: f.from, Slots: f.slots}}
	for _, text := range f.extraSlots {
		fields := strings.Split(text, ",")
		request := wire.SlotRequest{Equipment: fields[0], Slots: 1}
		if len(fields) == 3 {
			n, err := strconv.ParseUint(fields[2], 10, 16)
			if err != nil {
				return nil, fmt.Errorf("--and %q: %q is not a number of slots", text, fields[2])
			}
			request.Slots = uint32(n)
		}
		if len(fields) < 2 || len(fields) > 3 {
			return nil, fmt.Errorf("--and %q: must be EQUIPMENT,FROM[,SLOTS]", text)
		}
		request.From = fields[1]
		requests = append(requests, request)
	}
	return requests, nil
}

func reservationCommand(identity *clientIdentity) *cobra.Command {
	r := &reservationCommands{identity: identity}
	cmd := &cobra.Command{Use: "booking", Short: "Book shared equipment and show bookings"}
	cmd.PersistentFlags().
		StringVar(&r.server, "server", "127.0.0.1:8080",
			"address of a controller, or several addresses separated by commas")
	cmd.PersistentFlags().BoolVar(&r.asJSON, "json", false, "print JSON")
	cmd.AddCommand(
		r.make("make ID", "Book equipment", false),
		r.make("hold ID", "Hold equipment for a limited time until the booking is confirmed", true),
		r.change("confirm ID", "Confirm a held booking", "confirm"),
		r.move(),
		r.end(),
		r.show(),
		r.free(),
		r.day(),
		r.waiting(),
		r.equipment(),
		&cobra.Command{
			Use: "check FILE", Short: "Check an equipment file", Args: cobra.ExactArgs(1),
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

// make returns the command that creates a reservation, which is confirmed at once or held for confirmation.
func (r *reservationCommands) make(use, short string, hold bool) *cobra.Command {
	var slots slotFlags
	var request wire.ReservationRequest
	var holdTime time.Duration
	cmd := &cobra.Command{
		Use: use, Short: short, Args: cobra.ExactArgs(1),
		Example: "  dewlift booking make glaze-81 --equipment kiln-2 --from 2027-03-04T08:00 --slots 4",
		RunE: func(cmd *cobra.Command, args []string) (err error) {
			if request.Slots, err = slots.slotRequests(); err != nil {
				return err
			}
			if hold {
				if request.HoldS = uint32(holdTime.Seconds()); holdTime < time.Second {
					return fmt.Errorf("--for is %s, must be at least 1s", holdTime)
				}
			}
			request.ID, request.Repeat = args[0], slots.repeat
			return r.request(cmd, http.MethodPost, wire.PathReservations, request, printReservationResponse)
		},
	}
	slots.addFlags(cmd.Flags())
	cmd.Flags().StringVar(&request.Team, "team", "", "team that the booking is for")
	cmd.Flags().BoolVar(&request.Waitlist, "wait", false, "join the waiting list if the equipment is not free")
	standard := wire.PriorityName(wire.PriorityStandard)
	cmd.Flags().StringVar(&request.Priority, "priority", standard, "priority on the waiting list")
	if hold {
		cmd.Flags().DurationVar(&holdTime, "for", 15*time.Minute, "how long the equipment is held")
	}
	return cmd
}

// change returns a command that changes a reservation by a POST request to the reservation's path followed by verb.
func (r *reservationCommands) change(use, short, verb string) *cobra.Command {
	return &cobra.Command{
		Use: use, Short: short, Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return r.request(cmd, http.MethodPost,
				wire.PathReservations+"/"+url.PathEscape(args[0])+"/"+verb, nil, printReservationResponse)
		},
	}
}

// move returns the command that moves a reservation to other slots.
func (r *reservationCommands) move() *cobra.Command {
	var slots slotFlags
	cmd := &cobra.Command{
		Use:   "move ID",
		Short: "Move a booking to other slots; it keeps its slots until it has the new ones",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			list, err := slots.slotRequests()
			if err != nil {
				return err
			}
			return r.request(
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

// end returns the command that ends a reservation.
func (r *reservationCommands) end() *cobra.Command {
	var request wire.ReservationRequest
	cmd := &cobra.Command{
		Use: "end ID", Short: "End a booking and free its slots", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return r.request(cmd, http.MethodPost,
				wire.PathReservations+"/"+url.PathEscape(args[0])+"/end", request, printReservationResponse)
		},
	}
	cmd.Flags().StringVar(&request.Reason, "why", "", "the reason, which is recorded")
	return cmd
}

// show returns the command that shows a reservation.
func (r *reservationCommands) show() *cobra.Command {
	return &cobra.Command{
		Use: "show ID", Short: "Show a booking and, if it has ended, why", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return r.request(cmd, http.MethodGet,
				wire.PathReservations+"/"+url.PathEscape(args[0]), nil, printReservationResponse)
		},
	}
}

// free returns the command that lists free intervals.
func (r *reservationCommands) free() *cobra.Command {
	var slots slotFlags
	var by, team string
	cmd := &cobra.Command{
		Use: "free", Short: "List the next free times", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if (slots.equipment == "") == (slots.kind == "") {
				return errors.New("either --equipment or --kind is required")
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
			return r.request(
				cmd,
				http.MethodGet,
				wire.PathReservations+"?"+q.Encode(),
				nil,
				func(out io.Writer, response *wire.ReservationResponse) {
					for _, f := range response.Free {
						printf(out, "%s from %s to %s\n", f.Equipment, f.From, f.To)
					}
					if len(response.Free) == 0 {
						printf(out, "no free times\n")
					}
				},
			)
		},
	}
	slots.addFlags(cmd.Flags())
	cmd.Flags().StringVar(&by, "by", "", "only free times that end by this time")
	cmd.Flags().StringVar(&team, "team", "", "team that the booking would be for")
	return cmd
}

// printReservationList returns a function that prints the reservations in a response, or emptyText if there are none.
func printReservationList(emptyText string) func(io.Writer, *wire.ReservationResponse) {
	return func(out io.Writer, response *wire.ReservationResponse) {
		for i := range response.Reservations {
			printReservation(out, &response.Reservations[i])
		}
		if len(response.Reservations) == 0 {
			printf(out, "%s\n", emptyText)
		}
	}
}

// day returns the command that lists the reservations of a day.
func (r *reservationCommands) day() *cobra.Command {
	return &cobra.Command{
		Use: "day EQUIPMENT DAY", Short: "List the bookings of a piece of equipment on a day", Args: cobra.ExactArgs(2),
		Example: "  dewlift booking day kiln-2 2027-03-04",
		RunE: func(cmd *cobra.Command, args []string) error {
			q := url.Values{"piece": {args[0]}, "day": {args[1]}}
			return r.request(cmd, http.MethodGet,
				wire.PathReservations+"?"+q.Encode(), nil, printReservationList("no bookings on this day"))
		},
	}
}

// waiting returns the command that shows the waiting list.
func (r *reservationCommands) waiting() *cobra.Command {
	return &cobra.Command{
		Use: "waiting", Short: "Show the waiting list", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return r.request(cmd, http.MethodGet,
				wire.PathReservations+"?list=waiting", nil, printReservationList("the waiting list is empty"))
		},
	}
}

// equipment returns the command that prints or replaces the equipment list.
func (r *reservationCommands) equipment() *cobra.Command {
	var edit wire.EquipmentEdit
	cmd := &cobra.Command{
		Use:   "equipment [FILE]",
		Short: "Print the current equipment list, or replace it with FILE",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) == 0 {
				return r.request(
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
			return r.request(
				cmd,
				http.MethodPost,
				wire.PathEquipment,
				edit,
				func(out io.Writer, response *wire.ReservationResponse) {
					printf(out, "equipment list replaced, version %d\n", response.Version)
					for i := range response.Displaced {
						printf(out, "ended booking: %s\n", response.Displaced[i].ID)
					}
				},
			)
		},
	}
	cmd.Flags().
		BoolVar(&edit.EndDisplaced, "end-displaced", false, "end the bookings that do not fit the new list; "+
			"without this flag they are listed and nothing is changed")
	cmd.Flags().StringVar(&edit.Reason, "why", "", "the reason for ending these bookings, which is recorded")
	return cmd
}
