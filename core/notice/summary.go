package notice

import "time"

// Summary sums up the availability of the servers of a service. The zero value sums up no servers.
type Summary struct {
	servers, available int
	shortestPause      time.Duration
}

// Add adds a server.
func (s *Summary) Add(a *Availability, now time.Duration) {
	s.servers++
	if a.Available(now) {
		s.available++
		return
	}
	if left := a.PauseLeft(now); !a.Leaving() && (s.shortestPause == 0 || left < s.shortestPause) {
		s.shortestPause = left
	}
}

// Unavailable reports whether there are servers and none may receive requests, and after which time the first of them
// may. The time is 0 if all of them are leaving.
func (s *Summary) Unavailable() (after time.Duration, unavailable bool) {
	return s.shortestPause, s.servers > 0 && s.available == 0
}
