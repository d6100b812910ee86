package proxy

import (
	"net/netip"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// unusedPoolTTL is the time after which an unused pool without connections is removed.
const unusedPoolTTL = time.Minute

// connPools holds one connection pool per address.
type connPools struct {
	dialer Dialer
	clock  clockwork.Clock

	mu    sync.RWMutex
	pools map[netip.AddrPort]*connPool
}

func newConnPools(d Dialer, clock clockwork.Clock) *connPools {
	return &connPools{dialer: d, clock: clock, pools: make(map[netip.AddrPort]*connPool)}
}

// get returns the pool of the address and creates it if needed.
func (p *connPools) get(address netip.AddrPort, maxConns int) *connPool {
	p.mu.RLock()
	pool, ok := p.pools[address]
	p.mu.RUnlock()
	if ok {
		return pool
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if pool, ok = p.pools[address]; !ok {
		pool = newConnPool(address, maxConns, p.dialer, p.clock)
		pool.lastUsed = p.clock.Now()
		p.pools[address] = pool
	}
	return pool
}

// closeIdle closes connections that have been idle for too long and removes unused pools.
func (p *connPools) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, pool := range p.pools {
		if pool.closeIdle(unusedPoolTTL) {
			delete(p.pools, a)
		}
	}
}

// close closes all idle connections.
func (p *connPools) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pool := range p.pools {
		pool.mu.Lock()
		pool.setMaxConns(0)
		pool.mu.Unlock()
	}
}
