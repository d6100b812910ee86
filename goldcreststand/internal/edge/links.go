package edge

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/spread"
)

const (
	// dialTimeout bounds a dial. It is far below the first retransmission of a lost opening packet, so
	// that a call moves on to another server while it has time.
	dialTimeout = 150 * time.Millisecond
	// reapInterval is the time between two searches for links that have been idle for too long.
	reapInterval = time.Second
)

// Dialer makes connections.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// links holds the idle links to all servers.
type links struct {
	dialer Dialer
	clock  clockwork.Clock

	mu   sync.Mutex
	sets map[ident.ServerID]*linkSet
}

// linkSet holds the links to one server.
type linkSet struct {
	idle []*link
	// open counts all links, those being dialled included.
	open int
}

func newLinks(d Dialer, clock clockwork.Clock) *links {
	return &links{dialer: d, clock: clock, sets: make(map[ident.ServerID]*linkSet)}
}

func (ls *links) set(id ident.ServerID) *linkSet {
	s, ok := ls.sets[id]
	if !ok {
		s = new(linkSet)
		ls.sets[id] = s
	}
	return s
}

// take returns the idle link that was used last, or nil.
func (ls *links) take(s *spread.Server) *link {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	set := ls.set(s.ID)
	for n := len(set.idle); n > 0; n = len(set.idle) {
		l := set.idle[n-1]
		set.idle = set.idle[:n-1]
		if l.server.Address == s.Address && ls.clock.Now().Before(l.expires) {
			return l
		}
		set.open--
		l.close()
	}
	return nil
}

// put takes a link back, or closes it when it cannot be used again.
func (ls *links) put(l *link) {
	if l.spent {
		ls.drop(l)
		return
	}
	ls.mu.Lock()
	defer ls.mu.Unlock()
	l.expires = ls.clock.Now().Add(l.keep)
	set := ls.set(l.server.ID)
	set.idle = append(set.idle, l)
}

// drop closes a link.
func (ls *links) drop(l *link) {
	l.close()
	ls.release(l.server.ID)
}

func (ls *links) release(id ident.ServerID) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.set(id).open--
}

// reserve takes the room for one more link, and reports whether there was any.
func (ls *links) reserve(s *spread.Server) bool {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	set := ls.set(s.ID)
	if set.open >= s.MaxConns {
		return false
	}
	set.open++
	return true
}

// dial makes a link in the room that was reserved.
func (ls *links) dial(s *spread.Server) (*link, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	nc, err := ls.dialer.DialContext(ctx, "tcp", s.Address.String())
	if err != nil {
		ls.release(s.ID)
		return nil, err
	}
	return newLink(s, nc), nil
}

// reap closes the links that have been idle for too long.
func (ls *links) reap(now time.Time) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	for id, set := range ls.sets {
		keep := set.idle[:0]
		for _, l := range set.idle {
			if now.Before(l.expires) {
				keep = append(keep, l)
				continue
			}
			set.open--
			l.close()
		}
		set.idle = keep
		if set.open == 0 {
			delete(ls.sets, id)
		}
	}
}

// close closes all idle links.
func (ls *links) close() { ls.reap(ls.clock.Now().Add(time.Hour)) }
