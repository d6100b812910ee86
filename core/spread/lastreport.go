package spread

import "time"

// LastReport is the newest load report of a server, and the time of its arrival.
type LastReport struct {
	Load LoadReport
	At   time.Time
}

// LastReport returns the newest load report of the server, and whether there is one.
func (s *ServerState) LastReport() (LastReport, bool) {
	if r := s.lastReport.Load(); r != nil {
		return *r, true
	}
	return LastReport{}, false
}
