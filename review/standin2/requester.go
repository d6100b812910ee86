package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

func get(addr, path string) int {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + addr + path)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// answer is what a requester got.
type answer struct {
	Status    int
	ID        string
	Signature string
	Body      []byte
	Close     bool
	Err       error
	Took      time.Duration
	Header    http.Header
}

func readAnswer(br *bufio.Reader, method string) answer {
	resp, err := http.ReadResponse(br, &http.Request{Method: method})
	for err == nil && resp.StatusCode == http.StatusContinue {
		resp, err = http.ReadResponse(br, &http.Request{Method: method})
	}
	if err != nil {
		return answer{Err: err}
	}
	a := answer{Status: resp.StatusCode, ID: resp.Header.Get("X-Goldcreststand-Request-Id"), Signature: resp.Header.Get("X-Goldcreststand-Response-Signature"), Close: resp.Close, Header: resp.Header}
	a.Body, a.Err = io.ReadAll(resp.Body)
	return a
}

// do sends one request on a new connection.
func do(addr string, raw []byte, method string, limit time.Duration) answer {
	start := time.Now()
	nc, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return answer{Err: err}
	}
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(limit))
	go func() { _, _ = nc.Write(raw) }()
	a := readAnswer(bufio.NewReader(nc), method)
	a.Took = time.Since(start)
	return a
}
