package http1

import "expvar"

// Metrics holds the counters of callers' connections.
type Metrics struct {
	// Conns is the number of open connections, Accepted that of all since the start.
	Conns, Accepted expvar.Int
	// ReadAhead counts the calls that were read before all earlier ones of their connection were answered.
	ReadAhead expvar.Int
	// Dropped counts the calls that were read behind a response that closed the connection, and were not executed.
	Dropped expvar.Int
	// Invalid counts the requests that were rejected before they reached the handler.
	Invalid expvar.Int
	// Stalled counts the connections that were closed because their callers did not read.
	Stalled expvar.Int
	// Unanswered counts the connections that ended with requests that were not answered, by the cause of the end.
	Unanswered expvar.Map
}

// Publish adds the metrics to a map.
func (m *Metrics) Publish(to *expvar.Map) {
	to.Set("callerconns", &m.Conns)
	to.Set("accepted", &m.Accepted)
	to.Set("readahead", &m.ReadAhead)
	to.Set("droppedbehind", &m.Dropped)
	to.Set("invalid", &m.Invalid)
	to.Set("stalled", &m.Stalled)
	to.Set("unanswered", &m.Unanswered)
}
