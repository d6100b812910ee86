package retry

import (
	"sync/atomic"
	"time"

	"goldcreststand.example/core/ident"
)

// token is the cost of one resend in a TokenBucket.
const token = int64(ident.FullShare)

// TokenBucket bounds the resends of a service to a share of its calls, to keep resends from amplifying an
// overload: in a call chain 7 levels deep, unbounded resends would multiply the load at each level, while a
// share of 10 % gives a factor of 1.1^7 = 1.9. It is safe for concurrent use.
type TokenBucket struct {
	share  int64
	max    int64
	tokens atomic.Int64
}

var _ Budget = (*TokenBucket)(nil)

// NewTokenBucket returns a full bucket. Each call adds the share of one resend, up to burst resends.
func NewTokenBucket(share ident.Share, burst int) *TokenBucket {
	b := &TokenBucket{share: int64(share), max: int64(burst) * token}
	b.tokens.Store(b.max)
	return b
}

// Deposit adds the share of one resend for a new call.
func (b *TokenBucket) Deposit(time.Time) {
	for {
		n := b.tokens.Load()
		next := min(n+b.share, b.max)
		if next == n || b.tokens.CompareAndSwap(n, next) {
			return
		}
	}
}

// Withdraw takes one resend from the bucket and reports whether there was one.
func (b *TokenBucket) Withdraw(time.Time) bool {
	for {
		n := b.tokens.Load()
		if n < token {
			return false
		}
		if b.tokens.CompareAndSwap(n, n-token) {
			return true
		}
	}
}
