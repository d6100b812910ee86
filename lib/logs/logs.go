// Package logs sets up the structured log of a program.
package logs

import (
	"io"

	"github.com/sirupsen/logrus"
)

// timeFormat is RFC 3339 with milliseconds, because load shifts within milliseconds.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// New returns a logger that writes lines at or above the level to w, as JSON or as text.
func New(w io.Writer, level string, json bool) (*logrus.Logger, error) {
	lv, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	l := logrus.New()
	l.SetOutput(w)
	l.SetLevel(lv)
	if json {
		l.SetFormatter(&logrus.JSONFormatter{TimestampFormat: timeFormat})
	} else {
		l.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: timeFormat})
	}
	return l, nil
}

// WithPrefix returns a logger for one part of the program. Its lines start with the name of the part.
func WithPrefix(l logrus.FieldLogger, name string) *PrefixedLogger {
	return &PrefixedLogger{log: l, prefix: name + ": "}
}

// PrefixedLogger writes lines that start with a fixed prefix.
type PrefixedLogger struct {
	log    logrus.FieldLogger
	prefix string
}

// Debugf writes a line at debug level.
func (p *PrefixedLogger) Debugf(format string, args ...any) { p.log.Debugf(p.prefix+format, args...) }

// Errorf writes a line at error level.
func (p *PrefixedLogger) Errorf(format string, args ...any) { p.log.Errorf(p.prefix+format, args...) }

// Infof writes a line at info level.
func (p *PrefixedLogger) Infof(format string, args ...any) { p.log.Infof(p.prefix+format, args...) }

// Warnf writes a line at warn level.
func (p *PrefixedLogger) Warnf(format string, args ...any) { p.log.Warnf(p.prefix+format, args...) }
