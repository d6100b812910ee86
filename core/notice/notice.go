// Package notice decides whether a backend server may receive requests, from what the server has said about itself in
// its responses: that it is leaving, or that it wants a pause.
package notice

import "time"

// MaxPause bounds the pause that a server can ask for. A faulty server that asks for years comes back after it.
const MaxPause = time.Minute

// Notice is what a backend server said about itself in one response. The zero value says nothing.
type Notice struct {
	// Leaving reports that the server is about to stop and wants no new requests until it starts again.
	Leaving bool
	// Pause is the time for which the server wants no requests from this instance, or 0.
	Pause time.Duration
}
