package intake

import (
	"net"
	"sync"

	"goldcreststand.example/core/budget"
)

// listener is a listener that accepts while there is room for connections of its class.
type listener struct {
	net.Listener
	gate   *Gate
	class  budget.Class
	once   sync.Once
	closed chan struct{}
}

var _ net.Listener = (*listener)(nil)

// Listener returns a listener whose connections count for the class.
func (g *Gate) Listener(ln net.Listener, class budget.Class) net.Listener {
	return &listener{Listener: ln, gate: g, class: class, closed: make(chan struct{})}
}

// Accept waits until there is room, and for the next connection. What is not accepted waits in the kernel's queue, without
// memory or a descriptor of this process.
func (l *listener) Accept() (net.Conn, error) {
	if !l.gate.waitForRoom(l.class, l.closed) {
		return nil, net.ErrClosed
	}
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.gate.open(nc, l.class), nil
}

// Close closes the listener, also while it waits for room.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
