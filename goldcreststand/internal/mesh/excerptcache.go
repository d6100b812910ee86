package mesh

import (
	"encoding/json"
	"sync"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/goldcreststand/internal/hub"
	"goldcreststand.example/schema/wire"
)

// Replicas exports and imports the objects of a kind in the store's encoding. It is safe for concurrent use.
type Replicas interface {
	// ChangedAt returns the store revision as of which the objects of a kind last changed, or 0 before the first
	// read.
	ChangedAt(k hub.Kind) ident.Revision
	// NextChange returns a channel that is closed when any kind changes.
	NextChange() <-chan struct{}
	// Export returns the changes after the revision, or all objects, and the revision that the result leads to.
	Export(k hub.Kind, from ident.Revision) (json.RawMessage, ident.Revision, error)
	// Import returns the event for an excerpt of another instance, or nil when it is not newer than the local
	// copy.
	Import(k hub.Kind, raw json.RawMessage) (hub.Event, error)
}

// excerptCache caches the last excerpt of each kind, because most instances that poll this one ask for the same
// changes. It is safe for concurrent use.
type excerptCache struct {
	replicas   Replicas
	compressor wire.Compressor

	mu     sync.Mutex
	cached map[hub.Kind]cachedExcerpt
}

// cachedExcerpt holds the encoded changes between two revisions.
type cachedExcerpt struct {
	from, to ident.Revision
	content  wire.Compressed
}

func newExcerptCache(r Replicas) *excerptCache {
	return &excerptCache{replicas: r, cached: make(map[hub.Kind]cachedExcerpt)}
}

// get returns the excerpt after the revision, and whether there are newer changes.
func (c *excerptCache) get(k hub.Kind, from ident.Revision) (wire.Compressed, bool, error) {
	changed := c.replicas.ChangedAt(k)
	if changed <= from {
		return nil, false, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.cached[k]; e.from == from && e.to >= changed {
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
	c.cached[k] = cachedExcerpt{from: from, to: to, content: content}
	return content, true, nil
}
