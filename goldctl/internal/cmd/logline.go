package cmd

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// maxLogLine is the maximum size of a log line in bytes.
const maxLogLine = 1 << 20

// logLine is one line of the log of an instance. The instance is empty in lines of other programs.
type logLine struct {
	time     time.Time
	instance string
	message  string
	fields   map[string]any
}

// readLog reads the log lines that are JSON objects. It ignores a prefix added by a log collector.
func readLog(r io.Reader) ([]logLine, error) {
	var out []logLine
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 0, 1<<16), maxLogLine)
	for sc.Scan() {
		if l, ok := parseLogLine(sc.Text()); ok {
			out = append(out, l)
		}
	}
	return out, sc.Err()
}

func parseLogLine(text string) (logLine, bool) {
	i := strings.IndexByte(text, '{')
	if i < 0 {
		return logLine{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal([]byte(text[i:]), &fields); err != nil {
		return logLine{}, false
	}
	var l logLine
	l.message, _ = fields["msg"].(string)
	l.instance, _ = fields["instance"].(string)
	timestamp, _ := fields["time"].(string)
	var err error
	if l.time, err = time.Parse(time.RFC3339Nano, timestamp); err != nil || l.message == "" {
		return logLine{}, false
	}
	for _, k := range []string{"msg", "instance", "time", "level"} {
		delete(fields, k)
	}
	l.fields = fields
	return l, true
}

// request returns the ID of the request that the line is about, or an empty string.
func (l *logLine) request() string {
	id, _ := l.fields["request"].(string)
	return id
}

// names returns the servers and the service that the line is about.
func (l *logLine) names() []string {
	var out []string
	for _, k := range []string{"server", "service"} {
		if v, ok := l.fields[k].(string); ok && v != "" {
			out = append(out, v)
		}
	}
	tries, _ := l.fields["tries"].([]any)
	for _, t := range tries {
		if try, ok := t.(map[string]any); ok {
			if v, ok := try["server"].(string); ok {
				out = append(out, v)
			}
		}
	}
	return out
}

// String returns the line with its fields sorted by name, followed by one line for each try.
func (l *logLine) String() string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "%s %s %s", l.time.Format("15:04:05.000"), l.instance, l.message)
	for _, k := range slices.Sorted(maps.Keys(l.fields)) {
		if k != "tries" {
			_, _ = fmt.Fprintf(&b, " %s=%v", k, l.fields[k])
		}
	}
	tries, _ := l.fields["tries"].([]any)
	for i, t := range tries {
		_, _ = fmt.Fprintf(&b, "\n    try %d:", i+1)
		try, _ := t.(map[string]any)
		for _, k := range slices.Sorted(maps.Keys(try)) {
			_, _ = fmt.Fprintf(&b, " %s=%v", k, try[k])
		}
	}
	return b.String()
}
