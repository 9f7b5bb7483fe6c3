package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime is a System whose clock also counts the time in which the VM was suspended. The
// clock of System stops meanwhile, so that a permission that has run out looks valid. Its
// times compare with each other only, and reading it takes a system call.
type BootTime struct {
	System

	start time.Duration
	base  time.Time
}

var _ Service = (*BootTime)(nil)

// NewBootTime returns a BootTime.
func NewBootTime() *BootTime {
	// Round takes the monotonic reading away, which would go before the time set here.
	return &BootTime{base: time.Now().Round(0), start: sinceBoot()}
}

// Now returns the time at which it was created plus all the time since.
func (b *BootTime) Now() time.Time { return b.base.Add(sinceBoot() - b.start) }

// sinceBoot returns the time since the VM started, with the time in which it was suspended.
func sinceBoot() time.Duration {
	var spec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec); err != nil {
		// The kernel has had this clock since 2.6.39.
		panic(err)
	}
	return time.Duration(spec.Nano())
}
