package booking

import (
	"errors"
	"fmt"
	"time"

	"github.com/teambition/rrule-go"
	protobuf "google.golang.org/protobuf/proto"

	pb "dewlift/proto"
)

// maxSeriesYears bounds the time span of a series.
const maxSeriesYears = 10

// ExpandRecurrence returns one want for each day of a recurrence rule, each at the same local time of day.
func (inv *Inventory) ExpandRecurrence(want *pb.Want, text string) ([]*pb.Want, error) {
	options, err := rrule.StrToROption(text)
	if err != nil {
		return nil, fmt.Errorf("rule of recurrence: %w", err)
	}
	if options.Freq > rrule.DAILY || options.Count < 1 || options.Count > MaxWants || !options.Dtstart.IsZero() ||
		len(options.Byhour)+len(options.Byminute)+len(options.Bysecond) > 0 {
		return nil, fmt.Errorf("rule of recurrence: days, weeks, months or years with a COUNT from 1 to %d", MaxWants)
	}
	local := time.Unix(want.From, 0).In(inv.location)
	options.Dtstart = time.Date(local.Year(), local.Month(), local.Day(), 0, 0, 0, 0, time.UTC)
	last := options.Dtstart.AddDate(maxSeriesYears, 0, 0)
	if options.Until.IsZero() || options.Until.After(last) {
		options.Until = last // bounds the search if the rule matches no day
	}
	rule, err := rrule.NewRRule(*options)
	if err != nil {
		return nil, fmt.Errorf("rule of recurrence: %w", err)
	}
	var out []*pb.Want
	for _, day := range rule.All() {
		next := protobuf.CloneOf(want)
		next.From = inv.timeOnDay(int(day.Unix()/secondsPerDay), local.Hour()*60+local.Minute())
		out = append(out, next)
	}
	if len(out) == 0 {
		return nil, errors.New("rule of recurrence: it names no day")
	}
	return out, nil
}
