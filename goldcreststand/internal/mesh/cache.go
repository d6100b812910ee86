package mesh

import (
	"encoding/json"
	"sync"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/goldcreststand/internal/hub"
	"goldcreststand.example/schema/wire"
)

// Copies gives and takes the objects of a kind in the store's form. It is safe for concurrent use.
type Copies interface {
	// Known returns the revision that the objects of a kind show; 0 when none were read.
	Known(k hub.Kind) ident.Revision
	// Next returns a channel that is closed when a kind changes.
	Next() <-chan struct{}
	// Export returns what changed after the revision, or everything, and the revision to which that leads.
	Export(k hub.Kind, from ident.Revision) (json.RawMessage, ident.Revision, error)
	// Import returns the event for what another instance exported, or nil when it is not newer.
	Import(k hub.Kind, raw json.RawMessage) (hub.Event, error)
}

// excerptCache keeps the last excerpt of each kind, because all that follow this instance ask for the same one. It is safe
// for concurrent use.
type excerptCache struct {
	copies Copies
	packer wire.Compressor

	mu     sync.Mutex
	cached map[hub.Kind]cachedExcerpt
}

// cachedExcerpt is what changed between two revisions.
type cachedExcerpt struct {
	from, to ident.Revision
	content  wire.Compressed
}

func newExcerptCache(c Copies) *excerptCache {
	return &excerptCache{copies: c, cached: make(map[hub.Kind]cachedExcerpt)}
}

// take returns the excerpt after the revision, and whether there is anything newer.
func (s *excerptCache) take(k hub.Kind, from ident.Revision) (wire.Compressed, bool, error) {
	known := s.copies.Known(k)
	if known <= from {
		return nil, false, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.cached[k]; p.from == from && p.to >= known {
		return p.content, true, nil
	}
	raw, to, err := s.copies.Export(k, from)
	if err != nil {
		return nil, false, err
	}
	content, err := s.packer.Compress(raw)
	if err != nil {
		return nil, false, err
	}
	s.cached[k] = cachedExcerpt{from: from, to: to, content: content}
	return content, true, nil
}
