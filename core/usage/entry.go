package usage

import (
	"slices"
	"time"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/store"
)

// Entry is the content of the duty's object in the store.
type Entry struct {
	Holder ident.InstanceID
	Token  Token
	// Lease is the time for which the holder may report after it began to send the write of this entry. It is 0 when the
	// holder gave the duty up.
	Lease time.Duration
	// Sent is the last window that is known to be accepted, with all before it.
	Sent Window
	// Reports holds the latest reports, the oldest first. Once written they do not change.
	Reports []Report
}

// Stored returns the last window whose report is stored, or 0.
func (e *Entry) Stored() Window {
	if len(e.Reports) == 0 {
		return 0
	}
	return e.Reports[len(e.Reports)-1].Window
}

// with returns the entry with further reports and without the oldest ones beyond MaxWindows.
func (e *Entry) with(reports ...Report) Entry {
	out := *e
	out.Reports = slices.Concat(e.Reports, reports)
	out.Reports = out.Reports[max(0, len(out.Reports)-MaxWindows):]
	return out
}

// Standing is what instances tell each other about the duty.
type Standing struct {
	Holder   ident.InstanceID
	Token    Token
	Lease    time.Duration
	Position store.Position
	// Stored is the last window whose report is stored.
	Stored Window
}
