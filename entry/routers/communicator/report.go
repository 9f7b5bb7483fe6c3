package communicator

import (
	"reflect"
	"strings"
	"time"
	"unicode"
)

// reportPeriod is the interval at which counters are published.
const reportPeriod = time.Second

func (l *loop) reportIfDue() {
	if l.now.Before(l.reportAt) {
		return
	}
	l.reportAt = l.now.Add(reportPeriod)
	l.report()
}

// report publishes the counters of the state machines, whose metric names come from the
// field names, and the sizes of the view.
func (l *loop) report() {
	counters := l.service.options.Counters
	publish := func(prefix string, counts any) {
		v := reflect.ValueOf(counts)
		for i := range v.NumField() {
			counters.Int(prefix + snakeCase(v.Type().Field(i).Name)).Set(int64(v.Field(i).Uint()))
		}
	}
	membership, leases, configuration := l.machine.Counts()
	publish("membership_", membership)
	publish("leases_", leases)
	publish("configuration_", configuration)
	view := l.service.View()
	counters.Int("members_live").Set(int64(len(view.Members)))
	counters.Int("records").Set(int64(len(view.Records)))
	counters.Int("configuration_version").Set(int64(l.machine.Version()))
	age := int64(-1)
	if known, ok := l.machine.VersionAge(); ok {
		age = int64(known.Seconds())
	}
	counters.Int("configuration_age_seconds").Set(age)
}

// snakeCase converts a field name such as ProbesSent to probes_sent.
func snakeCase(name string) string {
	var b strings.Builder
	for i, r := range name {
		if unicode.IsUpper(r) && i > 0 {
			b.WriteByte('_')
		}
		b.WriteRune(unicode.ToLower(r))
	}
	return b.String()
}
