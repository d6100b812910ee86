package main

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"unsafe"
)

// trackedListener keeps the connections that it accepts, so that those which are open can go silent.
type trackedListener struct {
	net.Listener
	mu    sync.Mutex
	conns map[*trackedConn]bool
}

type trackedConn struct {
	net.Conn
	l      *trackedListener
	silent atomic.Bool
}

func (l *trackedListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &trackedConn{Conn: nc, l: l}
	l.mu.Lock()
	l.conns[c] = true
	l.mu.Unlock()
	return c, nil
}

// Write writes nothing more once the connection is silent.
func (c *trackedConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		select {}
	}
	return c.Conn.Write(p)
}

// Close keeps a silent connection open, because its end would send a packet.
func (c *trackedConn) Close() error {
	if c.silent.Load() {
		return nil
	}
	c.l.mu.Lock()
	delete(c.l.conns, c)
	c.l.mu.Unlock()
	return c.Conn.Close()
}

// silence makes the open connections silent: nothing is sent on them, and a filter of the socket drops all that arrives, so
// that nothing is acknowledged either. New connections work. It returns the number of connections.
func (l *trackedListener) silence() (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for c := range l.conns {
		c.silent.Store(true)
		if err := dropAll(c.Conn.(*net.TCPConn)); err != nil {
			return n, err
		}
		n++
	}
	return n, nil
}

// dropAll attaches a socket filter that accepts no packet.
func dropAll(nc *net.TCPConn) error {
	raw, err := nc.SyscallConn()
	if err != nil {
		return err
	}
	insn := []syscall.SockFilter{{Code: syscall.BPF_RET | syscall.BPF_K, K: 0}}
	prog := syscall.SockFprog{Len: 1, Filter: &insn[0]}
	var errno syscall.Errno
	err = raw.Control(func(fd uintptr) {
		_, _, errno = syscall.Syscall6(syscall.SYS_SETSOCKOPT, fd, syscall.SOL_SOCKET, syscall.SO_ATTACH_FILTER,
			uintptr(unsafe.Pointer(&prog)), unsafe.Sizeof(prog), 0)
	})
	if err == nil && errno != 0 {
		err = errno
	}
	return err
}
