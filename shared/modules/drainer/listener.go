package drainer

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// maxQueued bounds the connections that drain accepts. The kernel queues at most 4,096 by default.
const maxQueued = 4096

const (
	// soBindToIfIndex is SO_BINDTOIFINDEX of Linux 5.0, which package syscall lacks.
	soBindToIfIndex = 62
	// noInterface is the index of a network interface that does not exist. Indices count from 1.
	noInterface = 1<<31 - 1
	// handshakeTime is how long drain waits for handshakes that have begun. It is longer than a round trip
	// to most callers; the connections of slower ones are reset.
	handshakeTime = 300 * time.Millisecond
)

// queueListener is a listener that can be closed without a reset of the connections that wait in the
// kernel's accept queue.
type queueListener struct {
	net.Listener

	mu       sync.Mutex
	isClosed bool
	// queued has the connections that drain has accepted and Accept has not returned yet.
	queued []net.Conn
}

// Accept returns the next connection. After drain it returns the queued connections, then
// net.ErrClosed.
func (l *queueListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		return conn, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isClosed {
		return nil, err
	}
	if len(l.queued) == 0 {
		return nil, net.ErrClosed
	}
	conn, l.queued = l.queued[0], l.queued[1:]
	return conn, nil
}

// drain refuses new connections, accepts the queued ones and closes the listener. In between it waits for
// handshakes that have begun, unless ctx ends first. It returns the error of closing the listener.
func (l *queueListener) drain(ctx context.Context) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isClosed = true
	if source, ok := l.Listener.(syscall.Conn); ok {
		if refuseNew(source) == nil {
			select {
			case <-time.After(handshakeTime):
			case <-ctx.Done():
			}
		}
		if err := l.acceptQueued(source); err != nil {
			_ = l.Listener.Close()
			return err
		}
	}
	return l.Listener.Close()
}

// refuseNew makes the kernel refuse new connections, while those whose handshake has begun are still queued: it
// binds the listening socket to an interface that does not exist, so that opening packets find no listener.
// Unprivileged processes may do this since Linux 5.7. Closing the socket does both in one step, and resets
// connections that are queued just before.
func refuseNew(source syscall.Conn) error {
	raw, err := source.SyscallConn()
	if err != nil {
		return fmt.Errorf("access the listening socket: %w", err)
	}
	var bindErr error
	if err := raw.Control(func(fd uintptr) {
		bindErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, soBindToIfIndex, noInterface)
	}); err != nil {
		return fmt.Errorf("access the listening socket: %w", err)
	}
	return bindErr
}

// acceptQueued accepts until the queue is empty, and shuts the socket down in the same call. Between
// the two, net.Listener.Close lets enough time pass for further connections to be queued and reset,
// where refuseNew is not possible.
func (l *queueListener) acceptQueued(source syscall.Conn) error {
	raw, err := source.SyscallConn()
	if err != nil {
		return fmt.Errorf("access the listening socket: %w", err)
	}
	var sockets []int
	err = raw.Control(func(fd uintptr) {
		for len(sockets) < maxQueued {
			socket, _, err := syscall.Accept4(int(fd), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			if err != nil && err != syscall.ECONNABORTED && err != syscall.EINTR {
				break
			}
			if err == nil {
				sockets = append(sockets, socket)
			}
		}
		// Closing the listener does the same if this fails.
		_ = syscall.Shutdown(int(fd), syscall.SHUT_RD)
	})
	for _, socket := range sockets {
		file := os.NewFile(uintptr(socket), "accepted connection")
		conn, connErr := net.FileConn(file)
		if connErr == nil {
			l.queued = append(l.queued, conn)
		}
		_ = file.Close()
	}
	if err != nil {
		return fmt.Errorf("access the listening socket: %w", err)
	}
	return nil
}
