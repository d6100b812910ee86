package edge

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"

	"github.com/zeebo/errs"

	"goldcreststand.example/goldcreststand/internal/sock"
)

// errUpload is the class of writes of a request's body that failed.
var errUpload = errs.Class("upload")

// upload writes the long body of a request while the response to it is read.
type upload struct {
	nc   net.Conn
	done chan struct{}
	// err is the error of the write. It is set before done is closed.
	err error
}

// startUpload writes the body in a goroutine of its own.
func startUpload(nc net.Conn, body requestBody) *upload {
	u := &upload{nc: nc, done: make(chan struct{})}
	go func() {
		defer close(u.done)
		u.err = body.writeTo(nc)
	}()
	return u
}

// complete reports whether the whole body has been written.
func (u *upload) complete() bool {
	select {
	case <-u.done:
		return u.err == nil
	default:
		return false
	}
}

// stop ends the write. It returns an error if the write failed, unless the server had ended its side of the connection
// before: the operating system then reports EPIPE in place of the reset, and whatever the server sent has arrived.
func (u *upload) stop() error {
	if err := u.nc.SetWriteDeadline(sock.Past); err != nil {
		return err
	}
	<-u.done
	if errors.Is(u.err, os.ErrDeadlineExceeded) || errors.Is(u.err, syscall.EPIPE) {
		return nil
	}
	return u.err
}

// uploadCheckedBody is a body that ends with its connection. The operating system reports a reset of a connection once. If the
// upload gets it, a read returns the end of the connection, as after a whole body.
type uploadCheckedBody struct {
	io.ReadCloser
	upload *upload
}

// Read returns the end of the body only if the upload did not fail.
func (b *uploadCheckedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if uerr := b.upload.stop(); uerr != nil {
			return n, errUpload.Wrap(uerr)
		}
	}
	return n, err
}
