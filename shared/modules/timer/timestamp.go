package timer

import (
	"fmt"
	"strconv"
	"time"
)

// Timestamp is a point in time in milliseconds since the Unix epoch. Messages and
// stored state use it because the CBOR encoding of time.Time loses fractions of a
// second.
type Timestamp int64

// ToTimestamp returns t truncated to milliseconds.
func ToTimestamp(t time.Time) Timestamp { return Timestamp(t.UnixMilli()) }

// Time returns the point in time in UTC.
func (t Timestamp) Time() time.Time { return time.UnixMilli(int64(t)).UTC() }

// Add returns the timestamp t+d.
func (t Timestamp) Add(d time.Duration) Timestamp { return t + Timestamp(d.Milliseconds()) }

// Sub returns the duration t-other.
func (t Timestamp) Sub(other Timestamp) time.Duration {
	return time.Duration(t-other) * time.Millisecond
}

// String returns the time in RFC 3339 format, in whole seconds.
func (t Timestamp) String() string { return t.Time().Format(time.RFC3339) }

// MarshalJSON encodes the time in RFC 3339 format with milliseconds.
func (t Timestamp) MarshalJSON() ([]byte, error) {
	return []byte(strconv.Quote(t.Time().Format("2006-01-02T15:04:05.000Z07:00"))), nil
}

// UnmarshalJSON decodes a time in RFC 3339 format.
func (t *Timestamp) UnmarshalJSON(data []byte) error {
	text, err := strconv.Unquote(string(data))
	if err != nil {
		return fmt.Errorf("decode a timestamp: %w", err)
	}
	parsed, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return fmt.Errorf("decode a timestamp: %w", err)
	}
	*t = ToTimestamp(parsed)
	return nil
}
