package intake

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/budget"
	"goldcreststand.example/goldcreststand/internal/sock"
)

// slowClose is a connection whose close takes until the test lets it end.
type slowClose struct {
	net.Conn
	begun, release chan struct{}
}

func (c *slowClose) Close() error {
	close(c.begun)
	<-c.release
	return c.Conn.Close()
}

// Guards against a search under pressure that closes a connection which was chosen as idle and has got a whole request since.
func TestReliefSparesAConnectionWithANewRequest(t *testing.T) {
	f := newFixture(t)
	f.gate = New(budget.Limits{
		Memory: 1 << 20, PeerMemory: 1 << 20, Conns: map[budget.Class]int{budget.ClassCalls: 4},
		Stall: time.Second, IdleStall: 5 * time.Second, NewStall: time.Second / 5,
	}, f.clock, f.log, NewMetrics())
	f.ln = f.gate.Listener(f.pipes, budget.ClassCalls)
	first, _ := f.accept()
	second, caller := f.accept()
	f.accept()
	f.accept()
	// Both of the first two connections are chosen at once.
	slow := &slowClose{Conn: first.Conn, begun: make(chan struct{}), release: make(chan struct{})}
	first.Conn = slow
	relieved := make(chan struct{})
	go func() {
		defer close(relieved)
		f.advance(time.Second / 2)
	}()
	<-slow.begun
	read := f.receive(second, caller, "GET / HTTP/1.1\r\nHost: a\r\n\r\n") == nil
	if read {
		f.gate.Account(second).BeginCall()
	}
	close(slow.release)
	<-relieved
	// A pipe takes no deadline once a side is closed.
	closed := caller.SetReadDeadline(time.Now()) != nil
	require.False(t, read && closed, "the connection was closed with a call in progress")
}

// slowRead is a connection whose reader is stopped once a read has taken bytes, as in a process that is short of processor time.
type slowRead struct {
	net.Conn
	taken, release chan struct{}
}

func (c *slowRead) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	close(c.taken)
	<-c.release
	return n, err
}

// beginRead lets the connection receive a text, and returns when its reader has taken the bytes. finish lets the reader go on and returns
// its result.
func (f *fixture) beginRead(c *Conn, from net.Conn, text string) (finish func() error) {
	slow := &slowRead{Conn: c.Conn, taken: make(chan struct{}), release: make(chan struct{})}
	c.Conn = slow
	read := make(chan error, 1)
	go func() { read <- f.receive(c, from, text) }()
	<-slow.taken
	return func() error {
		close(slow.release)
		err := <-read
		c.Conn = slow.Conn
		return err
	}
}

// Guards against a search under pressure that closes a connection as idle while its reader has just taken a request.
func TestReliefSparesAConnectionWhoseRequestIsBeingRead(t *testing.T) {
	f := newFixture(t)
	conn, caller := f.accept()
	f.accept()
	finish := f.beginRead(conn, caller, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	f.advance(time.Second / 2)
	require.NoError(t, finish())
	// A pipe takes no deadline once a side is closed.
	require.NoError(t, caller.SetReadDeadline(time.Now()), "the connection was closed with a request that was read")
}

// Guards against a connection that was spared and whose later reads fail, or end it, since the interrupt is not over.
func TestReadsGoOnBehindASparedRequest(t *testing.T) {
	f := newFixture(t)
	conn, caller := f.accept()
	f.accept()
	finish := f.beginRead(conn, caller, "GET / HTTP/1.1\r\n")
	f.advance(time.Second / 2)
	require.NoError(t, finish())
	require.NoError(t, f.receive(conn, caller, "Host: a\r\n\r\n"))
	require.NoError(t, conn.SetReadDeadline(time.Now()))
	defer time.AfterFunc(5*time.Second, func() { _ = caller.Close() }).Stop()
	_, err := conn.Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
}

// Guards against an idle connection that stays open under pressure because its reader takes the interrupt for a timeout.
func TestReliefClosesAnIdleConnectionByItsReader(t *testing.T) {
	f := newFixture(t)
	conn, _ := f.accept()
	f.accept()
	read := make(chan error, 1)
	go func() {
		_, err := conn.Read(make([]byte, 1))
		read <- err
	}()
	require.Eventually(t, func() bool {
		f.gate.mu.Lock()
		defer f.gate.mu.Unlock()
		return conn.reading
	}, 5*time.Second, time.Millisecond)
	f.advance(time.Second / 2)
	require.ErrorIs(t, <-read, net.ErrClosed)
	require.NotContains(t, f.gate.conns, conn.id)
}

// lateRead is a connection whose reader is stopped just before it reads.
type lateRead struct {
	net.Conn
	begun, release chan struct{}
	once           sync.Once
}

func (c *lateRead) Read(p []byte) (int, error) {
	c.once.Do(func() {
		close(c.begun)
		<-c.release
	})
	return c.Conn.Read(p)
}

// SyscallConn returns the connection of the operating system.
func (c *lateRead) SyscallConn() (syscall.RawConn, error) { return c.Conn.(syscall.Conn).SyscallConn() }

// Guards against a search under pressure that closes an idle connection on which a whole request has arrived that its reader, which
// is late, has not taken from the operating system.
func TestReliefSparesAConnectionWhoseRequestHasArrived(t *testing.T) {
	f := newFixture(t)
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ln := f.gate.Listener(socket, budget.ClassCalls)
	defer func() { _ = ln.Close() }()
	caller, err := net.Dial("tcp", socket.Addr().String())
	require.NoError(t, err)
	defer func() { _ = caller.Close() }()
	nc, err := ln.Accept()
	require.NoError(t, err)
	c := nc.(*Conn)
	f.accept()
	late := &lateRead{Conn: c.Conn, begun: make(chan struct{}), release: make(chan struct{})}
	c.Conn = late
	read := make(chan error, 1)
	b := make([]byte, 16)
	go func() {
		_, err := io.ReadFull(c, b)
		read <- err
	}()
	<-late.begun
	_, err = io.WriteString(caller, "GET / HTTP/1.1\r\n")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return sock.Readable(late) }, 5*time.Second, time.Millisecond)
	f.advance(time.Second / 2)
	close(late.release)
	require.NoError(t, <-read)
}
