package drainer

import (
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
)

// maxQueued bounds the connections that drain accepts. The kernel queues at most 4,096 by default.
const maxQueued = 4096

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

// drain accepts the queued connections and closes the listener. New connections are refused from
// then on. It returns the error of closing the listener.
func (l *queueListener) drain() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isClosed = true
	if source, ok := l.Listener.(syscall.Conn); ok {
		if err := l.acceptQueued(source); err != nil {
			_ = l.Listener.Close()
			return err
		}
	}
	return l.Listener.Close()
}

// acceptQueued accepts until the queue is empty, and shuts the socket down in the same call. Between
// the two, net.Listener.Close lets enough time pass for further connections to be queued and reset.
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
