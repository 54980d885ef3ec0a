package booking

import (
	"slices"
	"time"

	"github.com/teambition/rrule-go"
)

// Package rrule looks for the next day of a rule without a bound: for a rule that matches no day it takes all years up
// to 9999, at every call. Here it evaluates a single month or year at a time, and this file decides which of them
// belong to a series. So the work depends only on the time span and the rule's length.

// beyondLastYear is an interval in years after which package rrule stops.
const beyondLastYear = 10_000

const daysPerWeek = 7

// allMonthDays are the days of any month.
var allMonthDays = func() (days []int) {
	for day := 1; day <= 31; day++ {
		days = append(days, day)
	}
	return days
}()

// dayNumber returns a day in days since 1970.
func dayNumber(year int, month time.Month, day int) int {
	return int(time.Date(year, month, day, 0, 0, 0, 0, time.UTC).Unix() / secondsPerDay)
}

// dateOf returns the midnight in UTC of a day in days since 1970.
func dateOf(day int) time.Time { return time.Unix(int64(day)*secondsPerDay, 0).UTC() }

// days returns the days of the series that begins on the day first, up to the day last, at most limit of them.
func (r *recurrence) days(first, last, limit int) []int {
	switch r.options.Freq {
	case rrule.YEARLY, rrule.MONTHLY:
		return r.daysOfPeriods(first, last, limit)
	case rrule.WEEKLY:
		return r.daysOfWeeks(first, last, limit)
	}
	return r.singleDays(first, last, limit)
}

// interval returns the number of periods from one to the next.
func (r *recurrence) interval() int { return max(1, r.options.Interval) }

// daysOfPeriods returns the days of a rule of months or years.
func (r *recurrence) daysOfPeriods(first, last, limit int) (out []int) {
	options := r.options
	start := dateOf(first)
	period, years, months := time.Date(start.Year(), 1, 1, 0, 0, 0, 0, time.UTC), r.interval(), 0
	if options.Freq == rrule.MONTHLY {
		period, years, months = time.Date(start.Year(), start.Month(), 1, 0, 0, 0, 0, time.UTC), 0, r.interval()
	}
	if !namesDays(&options) { // the day of the year or month on which the series begins
		options.Bymonthday = []int{start.Day()}
		if options.Freq == rrule.YEARLY && len(options.Bymonth) == 0 {
			options.Bymonth = []int{int(start.Month())}
		}
	}
	for len(out) < limit && dayNumber(period.Date()) <= last {
		out = appendWithin(out, evaluatePeriod(options, period), first, last, limit)
		period = period.AddDate(years, months, 0)
	}
	return out
}

// daysOfWeeks returns the days of a rule of weeks. As in package rrule, the first week has only the days from the
// start of the series on, which matters for BYSETPOS.
func (r *recurrence) daysOfWeeks(first, last, limit int) (out []int) {
	filter, firstWeekday := r.filterFrom(first), weekdayOf(first)
	sinceWeekStart := (firstWeekday.Day() - r.options.Wkst.Day() + daysPerWeek) % daysPerWeek
	for week := first - sinceWeekStart; len(out) < limit && week <= last; week += daysPerWeek * r.interval() {
		var days []int
		for day := max(week, first); day < week+daysPerWeek; day++ {
			if filter.includes(day) {
				days = append(days, day)
			}
		}
		out = appendWithin(out, selectPositions(days, r.options.Bysetpos), first, last, limit)
	}
	return out
}

// singleDays returns the days of a rule of days.
func (r *recurrence) singleDays(first, last, limit int) (out []int) {
	filter := r.filterFrom(first)
	for day := first; len(out) < limit && day <= last; day += r.interval() {
		if filter.includes(day) {
			out = append(out, selectPositions([]int{day}, r.options.Bysetpos)...)
		}
	}
	return out
}

// namesDays reports whether a rule itself tells which days of a period it matches. Otherwise they follow from the
// start of the series.
func namesDays(options *rrule.ROption) bool {
	return len(options.Byweekno)+len(options.Byyearday)+len(options.Bymonthday)+len(options.Byweekday)+
		len(options.Byeaster) > 0
}

// weekdayOf returns the weekday of a day in days since 1970.
func weekdayOf(day int) rrule.Weekday {
	weekdays := [...]rrule.Weekday{rrule.SU, rrule.MO, rrule.TU, rrule.WE, rrule.TH, rrule.FR, rrule.SA}
	return weekdays[dateOf(day).Weekday()]
}

// evaluatePeriod returns the days of the month or year that begins at start and that match a rule of months or years.
func evaluatePeriod(options rrule.ROption, start time.Time) (days []int) {
	options.Dtstart = start
	options.Count, options.Until = 0, time.Time{}
	options.Interval = beyondLastYear
	if options.Freq == rrule.MONTHLY {
		options.Interval *= 12
	}
	rule, err := rrule.NewRRule(options)
	if err != nil {
		return nil // unreachable: its limits are those of parseRecurrence
	}
	for _, day := range rule.All() {
		days = append(days, dayNumber(day.Date()))
	}
	return days
}

// appendWithin appends the days from first to last, until there are limit days in all.
func appendWithin(out, days []int, first, last, limit int) []int {
	for _, day := range days {
		if day >= first && day <= last && len(out) < limit {
			out = append(out, day)
		}
	}
	return out
}

// selectPositions returns the days at the positions of BYSETPOS, from 1 or, if negative, from the end. Without
// positions it returns all days.
func selectPositions(days, positions []int) (out []int) {
	if len(positions) == 0 {
		return days
	}
	for _, position := range positions {
		index := position - 1
		if position < 0 {
			index = len(days) + position
		}
		if index >= 0 && index < len(days) {
			out = append(out, days[index])
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// yearFilter evaluates the filters of a rule, without its frequency and positions, for whole years.
type yearFilter struct {
	options rrule.ROption
	years   map[int][]bool // by year, which of its days pass
}

// filterFrom returns the filter of the rule of weeks or days of a series that begins on the day first.
func (r *recurrence) filterFrom(first int) *yearFilter {
	weekday := weekdayOf(first)
	filter := &r.filters[weekday.Day()]
	if filter.years != nil {
		return filter
	}
	filter.years = map[int][]bool{}
	filter.options = r.options
	filter.options.Freq, filter.options.Bysetpos = rrule.YEARLY, nil
	filter.options.Byweekday = nil
	for _, day := range r.options.Byweekday { // a number of a weekday has no meaning in a rule of weeks or days
		filter.options.Byweekday = append(filter.options.Byweekday, day.Nth(0))
	}
	if r.options.Freq == rrule.WEEKLY && !namesDays(&r.options) {
		filter.options.Byweekday = []rrule.Weekday{weekday}
	}
	if len(r.options.Byyearday)+len(r.options.Bymonthday) == 0 {
		filter.options.Bymonthday = allMonthDays
	}
	return filter
}

// includes reports whether a day, in days since 1970, passes the filters.
func (f *yearFilter) includes(day int) bool {
	date := dateOf(day)
	first := time.Date(date.Year(), 1, 1, 0, 0, 0, 0, time.UTC)
	days, ok := f.years[date.Year()]
	if !ok {
		days = make([]bool, maxYearDays)
		for _, matching := range evaluatePeriod(f.options, first) {
			days[matching-dayNumber(first.Date())] = true
		}
		f.years[date.Year()] = days
	}
	return days[date.YearDay()-1]
}
