// Package sock asks the operating system for the state of connections, and ends reads that are pending on them.
package sock

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// PeerClosed reports whether the peer has closed its side of the connection, also behind bytes that were not read yet.
func PeerClosed(nc net.Conn) bool {
	closed, err := poll(nc, unix.POLLRDHUP)
	return closed || err != nil
}

// Readable reports whether a read of the connection would not wait.
func Readable(nc net.Conn) bool {
	ok, err := poll(nc, unix.POLLIN)
	return ok && err == nil
}

// poll asks the operating system whether one of the events, or the end of the connection, has occurred. A connection that is not
// one of the operating system has none.
func poll(nc net.Conn, events int16) (occurred bool, err error) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false, nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		// The connection is a wrapper around such a one.
		return false, nil
	}
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: events}}
		n, err := unix.Poll(fds, 0)
		occurred = err == nil && n > 0 && fds[0].Revents&(events|unix.POLLHUP|unix.POLLERR) != 0
	})
	return occurred, err
}
