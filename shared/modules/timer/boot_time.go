package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime is a System whose clock also advances while the VM is suspended. The clock of
// System stops during that time, so that an expired lease or permission would look valid.
// Times of a BootTime are comparable only with each other. Each read of the clock takes a
// system call.
type BootTime struct {
	System

	start time.Duration
	base  time.Time
}

var _ Service = (*BootTime)(nil)

// NewBootTime returns a BootTime that starts at the current time.
func NewBootTime() *BootTime {
	// Round(0) strips the monotonic reading, which would take precedence over the wall clock
	// time in comparisons.
	return &BootTime{base: time.Now().Round(0), start: sinceBoot()}
}

// Now returns the creation time of b plus the time since then, including suspended time.
func (b *BootTime) Now() time.Time { return b.base.Add(sinceBoot() - b.start) }

// sinceBoot returns the time since the VM was booted, including suspended time.
func sinceBoot() time.Duration {
	var spec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec); err != nil {
		// CLOCK_BOOTTIME exists since Linux 2.6.39.
		panic(err)
	}
	return time.Duration(spec.Nano())
}
