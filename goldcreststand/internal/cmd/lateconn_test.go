package cmd

import (
	"net"
	"sync/atomic"
)

// lateListener accepts connections as lateConns, and passes them to the test.
type lateListener struct {
	net.Listener
	conns chan *lateConn
}

// Accept returns the next connection.
func (l *lateListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &lateConn{TCPConn: nc.(*net.TCPConn), reached: make(chan struct{}), release: make(chan struct{}), ended: make(chan struct{}, 1)}
	l.conns <- c
	return c, nil
}

// lateConn is a connection whose reader can be stopped once a read has taken bytes, as in a process that is short of processor time.
type lateConn struct {
	*net.TCPConn
	// stop is set if the next read stops. It closes reached, and goes on once release is closed.
	stop             atomic.Bool
	reached, release chan struct{}
	// ended receives a value when the server closes the connection.
	ended chan struct{}
}

// Read reads, and stops behind the read if it is to.
func (c *lateConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 && c.stop.Swap(false) {
		close(c.reached)
		<-c.release
	}
	return n, err
}

// Close closes the connection.
func (c *lateConn) Close() error {
	select {
	case c.ended <- struct{}{}:
	default:
	}
	return c.TCPConn.Close()
}
