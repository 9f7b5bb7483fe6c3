// Package timestamper tells how long a datagram has waited in its socket, by the kernel's time stamp.
package timestamper

import (
	"encoding/binary"
	"fmt"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// timespecSize is the size in bytes of the time stamp on 64-bit systems: seconds and nanoseconds.
const timespecSize = 16

// AncillarySize returns the size in bytes of the buffer for the ancillary data of a datagram.
func AncillarySize() int { return unix.CmsgSpace(timespecSize) }

// Enable makes the kernel add the time of arrival to each datagram of a socket (SO_TIMESTAMPNS, socket(7)).
func Enable(conn syscall.Conn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return fmt.Errorf("get the socket: %w", err)
	}
	var optionErr error
	if err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_TIMESTAMPNS, 1)
	}); err != nil {
		return fmt.Errorf("use the socket: %w", err)
	}
	if optionErr != nil {
		return fmt.Errorf("set SO_TIMESTAMPNS: %w", optionErr)
	}
	return nil
}

// Waited returns the time from the arrival of a datagram to now, which must be a time of the system's
// clock. It is 0 if the ancillary data holds no time stamp, or if the clock has been set back since.
func Waited(ancillary []byte, now time.Time) time.Duration {
	for len(ancillary) > 0 {
		header, data, rest, err := unix.ParseOneSocketControlMessage(ancillary)
		if err != nil {
			return 0
		}
		if header.Level == unix.SOL_SOCKET && header.Type == unix.SCM_TIMESTAMPNS && len(data) >= timespecSize {
			seconds, nanoseconds := binary.NativeEndian.Uint64(data), binary.NativeEndian.Uint64(data[timespecSize/2:])
			return max(now.Sub(time.Unix(int64(seconds), int64(nanoseconds))), 0)
		}
		ancillary = rest
	}
	return 0
}
