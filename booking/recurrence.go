package booking

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/teambition/rrule-go"
	protobuf "google.golang.org/protobuf/proto"

	"dewlift/internal/utf8text"
	pb "dewlift/proto"
)

const (
	// maxSeriesYears bounds the time span of a series.
	maxSeriesYears = 10

	// maxRuleBytes bounds the text of a rule, and so the values that each day is compared with.
	maxRuleBytes = 500

	// seriesWork is the work of expanding a rule for one slot, in the unit of maxSearchWork: each day of maxSeriesYears
	// is compared with the values of a rule.
	seriesWork = 4000

	maxInterval        = 1000 // days, weeks, months or years between two periods of a series
	maxYearWeekdays    = 53   // of the same weekday in a year
	maxMonthWeekdays   = 5    // of the same weekday in a month
	maxYearDays        = 366
	minDaysAfterEaster = -80 // Easter is never earlier in the year than its 81st day
	maxDaysAfterEaster = 250 // nor later than its 116th, so all these days are in the year
)

// recurrence is a recurrence rule of days, all parts of which are within their limits. Package rrule panics, or takes
// time without bound, for some rules beyond them.
type recurrence struct {
	options rrule.ROption

	// filters caches the days that pass the filters of a rule of weeks or days, by the weekday on which a series
	// begins.
	filters [daysPerWeek]yearFilter
}

// SeriesRule is the rule of a series of reservations. Only one goroutine may use it.
type SeriesRule struct{ recurrence *recurrence }

// errNotOfDays is the error of a rule that names more than days, for example hours.
var errNotOfDays = errors.New("only days, weeks, months or years are allowed, without times of day or a start")

// ParseSeriesRule parses the rule of a series, which must have a COUNT. Its error names the part that is invalid, and
// its limits.
func ParseSeriesRule(text string) (*SeriesRule, error) {
	rule, err := parseRecurrence(text)
	if err != nil {
		return nil, err
	}
	if count := rule.options.Count; count < 1 || count > MaxWants {
		return nil, fmt.Errorf("COUNT=%d, must be from 1 to %d", count, MaxWants)
	}
	return &SeriesRule{rule}, nil
}

// parseRecurrence parses a recurrence rule of days. Its error names the part that is invalid, and its limits.
func parseRecurrence(text string) (*recurrence, error) {
	if len(text) > maxRuleBytes {
		return nil, fmt.Errorf("%d bytes, at most %d are allowed", len(text), maxRuleBytes)
	}
	if strings.ContainsAny(text, "\r\n") {
		return nil, errors.New("must be a single line")
	}
	options, err := rrule.StrToROption(text)
	if err != nil {
		return nil, errors.New(quoteInput(err.Error()))
	}
	if options.Freq > rrule.DAILY || !options.Dtstart.IsZero() ||
		len(options.Byhour)+len(options.Byminute)+len(options.Bysecond) > 0 {
		return nil, errNotOfDays
	}
	rule := &recurrence{options: *options}
	if err := rule.validateNumbers(); err != nil {
		return nil, err
	}
	if err := rule.validateWeekdays(); err != nil {
		return nil, err
	}
	if year := options.Until.Year(); !options.Until.IsZero() && (year < firstYear || year >= lastYear) {
		return nil, fmt.Errorf("UNTIL in the year %d, must be from %d to %d", year, firstYear, lastYear-1)
	}
	return rule, nil
}

// validateNumbers checks the parts that are numbers.
func (r *recurrence) validateNumbers() error {
	for _, part := range []struct {
		name            string
		values          []int
		lowest, highest int
		allowZero       bool
	}{
		{"INTERVAL", []int{r.options.Interval}, 0, maxInterval, true},
		{"BYSETPOS", r.options.Bysetpos, -maxYearDays, maxYearDays, false},
		{"BYMONTH", r.options.Bymonth, 1, 12, false},
		{"BYMONTHDAY", r.options.Bymonthday, -31, 31, false},
		{"BYYEARDAY", r.options.Byyearday, -maxYearDays, maxYearDays, false},
		{"BYWEEKNO", r.options.Byweekno, -53, 53, false},
		{"BYEASTER", r.options.Byeaster, minDaysAfterEaster, maxDaysAfterEaster, true},
	} {
		for _, value := range part.values {
			if value < part.lowest || value > part.highest {
				return fmt.Errorf("%s=%d, must be from %d to %d", part.name, value, part.lowest, part.highest)
			}
			if value == 0 && !part.allowZero {
				return fmt.Errorf("%s=0, must not be 0", part.name)
			}
		}
	}
	return nil
}

// validateWeekdays checks the numbers of weekdays, such as the 2 of BYDAY=2MO.
func (r *recurrence) validateWeekdays() error {
	highest := maxYearWeekdays
	if r.options.Freq == rrule.MONTHLY || r.options.Freq == rrule.YEARLY && len(r.options.Bymonth) > 0 {
		highest = maxMonthWeekdays
	}
	for _, day := range r.options.Byweekday {
		if day.N() < -highest || day.N() > highest {
			return fmt.Errorf("BYDAY=%s, its number must be from %d to %d", day, -highest, highest)
		}
	}
	if r.options.Wkst.N() != 0 {
		return fmt.Errorf("WKST=%s, must be a weekday without a number", r.options.Wkst)
	}
	return nil
}

// quoteInput returns a text of a caller, or one that may contain it, as it may stand in an error.
func quoteInput(text string) string { return utf8text.Truncate(text, maxQuotedBytes, "...") }

// ExpandSeries returns one want for each day of a series, each at the same local time of day. The series begins at the
// time of the given want, which must be one of those that ParseTime accepts.
func (inv *Inventory) ExpandSeries(want *pb.Want, rule *SeriesRule) ([]*pb.Want, error) {
	local := time.Unix(want.From, 0).In(inv.location)
	if err := validateYear(local.Year()); err != nil {
		return nil, err
	}
	options := &rule.recurrence.options
	first := dayNumber(local.Date())
	last := dayNumber(local.Year()+maxSeriesYears, local.Month(), local.Day())
	if until := options.Until; !until.IsZero() {
		last = min(last, dayNumber(until.UTC().Date()))
	}
	var out []*pb.Want
	for _, day := range rule.recurrence.days(first, last, options.Count) {
		next := protobuf.CloneOf(want)
		next.From = inv.timeOnDay(day, local.Hour()*60+local.Minute())
		out = append(out, next)
	}
	if len(out) == 0 {
		return nil, errors.New("the rule names no day")
	}
	return out, nil
}
