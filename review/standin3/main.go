// Command standin3 plays the cases of this review that are scripts: it starts the system's own processes on loopback addresses,
// with stand-ins for the platform's store, the servers and the clients.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// cases holds the cases by name. A case returns what the rule's check found.
var cases = map[string]func(s *system) (verdict int, summary string){
	"era-config":     eraConfig,
	"slow-upload":    slowUpload,
	"late-copy":      lateCopy,
	"era-rollout":    eraRollout,
	"era-evacuation": eraEvacuation,
}

func main() {
	run := cases[os.Args[1]]
	s, err := newSystem()
	if run == nil || err != nil {
		fmt.Println("cannot run:", err)
		os.Exit(notRun)
	}
	verdict, summary := run(s)
	s.end()
	s.logf("verdict %d: %s", verdict, summary)
	fmt.Printf("verdict %d: %s\n", verdict, summary)
	os.Exit(verdict)
}
