package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// uploadLimit is the largest time limit on the pages, that of delivery-look on the large site.
	uploadLimit = 8 * time.Second
	uploadTime  = 6500 * time.Millisecond
	uploadSize  = 8000
)

// upload sends a POST whose body takes the given time to send, at an even rate.
func (s *system) upload(m *machine, path string, d time.Duration) answer {
	id := fmt.Sprintf("%016x", s.ids.Add(1))
	a := answer{id: id, sent: time.Now()}
	c, err := net.Dial("tcp", m.front)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = c.Close() }()
	_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: desk.example\r\nX-Goldcreststand-Request-Id: %s\r\nX-Goldcreststand-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		path, id, uploadLimit.Milliseconds(), uploadSize)
	const parts = 40
	for range parts {
		time.Sleep(d / parts)
		if _, err := c.Write(make([]byte, uploadSize/parts)); err != nil {
			a.err = err
			break
		}
	}
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	a.status, a.body, a.err = resp.StatusCode, string(b), err
	return a
}

// slowUpload lets clients send bodies while a zone is evacuated. Without trouble the bodies are sent at once, later than the
// evacuation has to be in force.
func slowUpload(s *system) (int, string) {
	first := config(1, rule{"/desk/", "inventory", "unsafe"})
	first["listeners"].([]any)[0].(map[string]any)["rules"].([]any)[0].(map[string]any)["action"].(map[string]any)["timeoutMs"] = uploadLimit.Milliseconds()
	if !startDeployment(s, first) {
		return notRun, "the deployment did not start"
	}
	time.Sleep(5 * time.Second)
	var wg sync.WaitGroup
	answers := make([]answer, 4*len(s.machines))
	start := time.Now()
	for i := range answers {
		wg.Go(func() {
			m, d := s.machines[i%len(s.machines)], uploadTime
			if !s.trouble {
				time.Sleep(uploadTime)
				d = 0
			}
			answers[i] = s.upload(m, "/desk/1", d)
			a := answers[i]
			s.logf("client: %s POST /desk/ by %s, sent in %v: %d %q %v", a.id, m.name, d, a.status, a.body, a.err)
		})
	}
	time.Sleep(500 * time.Millisecond)
	s.logf("operator: the evacuation of luz-a is confirmed at revision %d", s.st.put("evacuations", "luz-a", map[string]any{}))
	confirmed := time.Now()
	wg.Wait()
	bad := 0
	for _, a := range answers {
		for _, b := range s.ranAt(a.id) {
			if b.zone == "luz-a" {
				bad++
			}
		}
	}
	summary := fmt.Sprintf("%d of %d requests reached a server of the evacuated zone, about %.1f s after the confirmation", bad, len(answers),
		(uploadTime - confirmed.Sub(start)).Seconds())
	if bad > 0 {
		return broken, summary
	}
	return held, summary
}
