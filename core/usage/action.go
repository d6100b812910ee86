package usage

import (
	"time"

	"goldcreststand.example/core/ident"
)

// Action is work that a Reporter requests.
type Action interface {
	action()
}

type (
	// ReadEntry reads the entry. The result is an EntryRead or ReadFailed.
	ReadEntry struct{}

	// WriteEntry writes the entry on condition that its revision is Condition, or creates it if that is 0. The result is an
	// EntryWritten, WriteRejected or WriteUnanswered.
	WriteEntry struct {
		Entry     Entry
		Condition ident.Revision
	}

	// SendReport reports a window. No byte of it may be sent once the boot-time clock has reached Until, and the sender compares
	// them directly before it writes. The result is a ReportAnswered.
	SendReport struct {
		Report Report
		Holder ident.InstanceID
		Token  Token
		Until  time.Duration
	}
)

func (ReadEntry) action()  {}
func (WriteEntry) action() {}
func (SendReport) action() {}
