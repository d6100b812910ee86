package mesh

import (
	"encoding/json"
	"maps"
	"sync"

	"goldcreststand.example/core/store"
	"goldcreststand.example/goldcreststand/internal/hub"
	"goldcreststand.example/schema/wire"
)

// Replicas exports and imports the objects of a kind in the store's encoding. It is safe for concurrent use.
type Replicas interface {
	// ChangedAt returns the position of the store as of which the objects of a kind last changed, or zero before the
	// first read.
	ChangedAt(k hub.Kind) store.Position
	// NextChange returns a channel that is closed when any kind changes.
	NextChange() <-chan struct{}
	// Export returns the changes after the position, or all objects, and the position that the result leads to.
	Export(k hub.Kind, from store.Position) (json.RawMessage, store.Position, error)
	// Import returns the event for an excerpt of another instance, or nil when it is not newer than the local
	// copy.
	Import(k hub.Kind, raw json.RawMessage) (hub.Event, error)
}

// maxExcerpts limits the cached excerpts of a kind. While changes come in quick succession, instances of different speeds ask for
// them from a few revisions.
const maxExcerpts = 8

// excerptCache caches the latest excerpts of each kind, because most instances that poll this one ask for the same
// changes. It is safe for concurrent use.
type excerptCache struct {
	replicas   Replicas
	compressor wire.Compressor

	mu sync.Mutex
	// cached holds the excerpts by the position that they start from.
	cached map[hub.Kind]map[store.Position]cachedExcerpt
}

// cachedExcerpt holds the encoded changes up to a position.
type cachedExcerpt struct {
	to      store.Position
	content wire.Compressed
}

func newExcerptCache(r Replicas) *excerptCache {
	return &excerptCache{replicas: r, cached: make(map[hub.Kind]map[store.Position]cachedExcerpt)}
}

// get returns the excerpt after the position, and whether there are newer changes.
func (c *excerptCache) get(k hub.Kind, from store.Position) (wire.Compressed, bool, error) {
	changed := c.replicas.ChangedAt(k)
	if !from.Before(changed) {
		return nil, false, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, ok := c.cached[k][from]; ok && !e.to.Before(changed) {
		return e.content, true, nil
	}
	raw, to, err := c.replicas.Export(k, from)
	if err != nil {
		return nil, false, err
	}
	content, err := c.compressor.Compress(raw)
	if err != nil {
		return nil, false, err
	}
	c.add(k, from, cachedExcerpt{to, content}, changed)
	return content, true, nil
}

// add caches an excerpt and removes those without the latest change.
func (c *excerptCache) add(k hub.Kind, from store.Position, e cachedExcerpt, changed store.Position) {
	excerpts := c.cached[k]
	maps.DeleteFunc(excerpts, func(_ store.Position, e cachedExcerpt) bool { return e.to.Before(changed) })
	if excerpts == nil || len(excerpts) >= maxExcerpts {
		excerpts = make(map[store.Position]cachedExcerpt)
		c.cached[k] = excerpts
	}
	excerpts[from] = e
}
