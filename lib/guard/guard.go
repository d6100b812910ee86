// Package guard keeps a panic in one unit of work, such as one message or one event, from ending the process.
package guard

import (
	"runtime/debug"

	"github.com/zeebo/errs"
)

// Error is the class of panics.
var Error = errs.Class("panic")

// Call calls f and returns a panic in it as an error with the stack of its goroutine. The work that f has done remains, so
// that f should change little before it can fail.
func Call(f func()) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = Error.New("%v\n%s", cause, debug.Stack())
		}
	}()
	f()
	return nil
}
