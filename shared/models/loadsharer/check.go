package loadsharer

import (
	"fmt"
	"time"

	"github.com/redwingledge/redwingledge/shared/models/director"
)

// Limits are the maximum numbers of figures in a message.
type Limits struct {
	Groups, Services, Servers int
}

// MaxSummaryServers is the maximum number of backend servers in a summary.
const MaxSummaryServers = 2048

// Limits of reports and summaries.
var (
	ReportLimits  = Limits{Groups: 64, Services: 64, Servers: 256}
	SummaryLimits = Limits{Groups: 256, Services: 256, Servers: MaxSummaryServers}
)

const (
	// MaxFigure is the maximum of each figure in a report. An entry tracks at most 65,536 flows, and the
	// sums over 2,048 reporters do not overflow.
	MaxFigure = 1 << 20
	// maxAge is the maximum mean age of the reports in a summary. Reports older than 3 s have no
	// weight, so an age far above that is an error of the sender.
	maxAge = time.Minute
)

// Reason tells why a message is invalid, in the form in which counters show it.
type Reason string

// Reasons of ErrInvalid.
const (
	ReasonTooLong       Reason = "too_long"
	ReasonInvalidName   Reason = "invalid_name"
	ReasonOutOfRange    Reason = "out_of_range"
	ReasonContradictory Reason = "contradictory"
)

// ErrInvalid reports a message with an invalid field.
type ErrInvalid struct {
	// Field is the name of the field, and Rule the rule that it breaks.
	Field, Rule string
	Reason      Reason
}

func (e ErrInvalid) Error() string { return e.Field + ": " + e.Rule }

// Check returns ErrInvalid for the first invalid field, or nil if all are valid.
func (r Report) Check() error {
	if err := checkName("entry", r.Entry); err != nil {
		return err
	}
	if err := checkName("data centre", r.DataCentre); err != nil {
		return err
	}
	if r.Sequence == 0 || r.Sequence > director.MaxCounter {
		return ErrInvalid{Field: "sequence", Rule: fmt.Sprintf("must be 1 to %d", uint64(director.MaxCounter)), Reason: ReasonOutOfRange}
	}
	if !r.HasServers && len(r.Load.Servers) > 0 {
		return ErrInvalid{Field: "servers", Rule: "must be empty in a report without them", Reason: ReasonContradictory}
	}
	return r.Load.check(ReportLimits, MaxFigure)
}

// Check returns ErrInvalid for the first invalid field, or nil if all are valid.
func (s Summary) Check() error {
	if s.Age < 0 || s.Age > maxAge {
		return ErrInvalid{Field: "age", Rule: fmt.Sprintf("must be 0 to %s", maxAge), Reason: ReasonOutOfRange}
	}
	if !s.HasServers && len(s.Load.Servers) > 0 {
		return ErrInvalid{Field: "servers", Rule: "must be empty in a summary without them", Reason: ReasonContradictory}
	}
	return s.Load.check(SummaryLimits, 1<<32-1)
}

// check checks the numbers of figures, the names, that no figure is there twice, and that each is at
// most maxFigure.
func (l Load) check(limits Limits, maxFigure uint32) error {
	for _, list := range []struct {
		field         string
		length, limit int
	}{
		{"groups", len(l.Groups), limits.Groups}, {"arrivals", len(l.Arrivals), limits.Services}, {"servers", len(l.Servers), limits.Servers},
	} {
		if list.length > list.limit {
			return ErrInvalid{Field: list.field, Rule: fmt.Sprintf("must be at most %d, are %d", list.limit, list.length), Reason: ReasonTooLong}
		}
	}
	if err := l.checkGroups(maxFigure); err != nil {
		return err
	}
	if err := l.checkArrivals(maxFigure); err != nil {
		return err
	}
	return l.checkServers(maxFigure)
}

func (l Load) checkGroups(maxFigure uint32) error {
	type group struct{ service, dataCentre string }
	seen := make(map[group]bool, len(l.Groups))
	for _, g := range l.Groups {
		if err := checkName("service of a group", g.Service); err != nil {
			return err
		}
		if err := checkName("data centre of a group", g.DataCentre); err != nil {
			return err
		}
		if err := checkFigure("requests of a group", g.Requests, maxFigure); err != nil {
			return err
		}
		key := group{service: g.Service, dataCentre: g.DataCentre}
		if seen[key] {
			return ErrInvalid{Field: "groups", Rule: fmt.Sprintf("%q in %q is there twice", g.Service, g.DataCentre), Reason: ReasonContradictory}
		}
		seen[key] = true
	}
	return nil
}

func (l Load) checkArrivals(maxFigure uint32) error {
	seen := make(map[string]bool, len(l.Arrivals))
	for _, a := range l.Arrivals {
		if err := checkName("service of arrivals", a.Service); err != nil {
			return err
		}
		if err := checkFigure("arrivals per second", a.PerSecond, maxFigure); err != nil {
			return err
		}
		if seen[a.Service] {
			return ErrInvalid{Field: "arrivals", Rule: fmt.Sprintf("%q is there twice", a.Service), Reason: ReasonContradictory}
		}
		seen[a.Service] = true
	}
	return nil
}

// checkServers demands the order of the tokens, so that a token that is there twice is found without
// a set.
func (l Load) checkServers(maxFigure uint32) error {
	previous := director.Token(0)
	for _, s := range l.Servers {
		if s.Token <= previous {
			return ErrInvalid{Field: "servers", Rule: "must be in the order of their tokens, each above 0 and there once", Reason: ReasonContradictory}
		}
		previous = s.Token
		if err := checkFigure("flows of a server", s.Flows, maxFigure); err != nil {
			return err
		}
	}
	return nil
}

func checkName(field, name string) error {
	if director.CheckName(field, name) == nil {
		return nil
	}
	return ErrInvalid{Field: field, Rule: fmt.Sprintf("must have 1 to %d bytes of UTF-8", director.MaxNameLength), Reason: ReasonInvalidName}
}

func checkFigure(field string, figure, maxFigure uint32) error {
	if figure > maxFigure {
		return ErrInvalid{Field: field, Rule: fmt.Sprintf("must be at most %d, is %d", maxFigure, figure), Reason: ReasonOutOfRange}
	}
	return nil
}
