package http1

import (
	"bytes"
	"net/http"

	"github.com/zeebo/errs"
	"golang.org/x/net/http/httpguts"
)

// Error is the class of the errors of this package.
var Error = errs.Class("http1")

var (
	errBareLineFeed    = Error.New("line does not end with CR LF")
	errEmptyLine       = Error.New("request line is empty")
	errRequestLine     = Error.New("invalid request line")
	errFolding         = Error.New("field is folded over several lines")
	errField           = Error.New("invalid field")
	errContentLength   = Error.New("invalid or repeated content length")
	errTransferCoding  = Error.New("invalid or repeated transfer coding")
	errLengthAndCoding = Error.New("content length together with a transfer coding")
	errNoHost          = Error.New("missing required Host header")
	errHost            = Error.New("repeated or invalid host")
	errTargetHost      = Error.New("target and host differ")
	errVersion         = Error.New("unsupported version")
)

// noHostBytes are bytes that do not occur in a host. http.ReadRequest accepts some of them, and they delimit parts of a
// URL.
const noHostBytes = " \"#/<>?@\\^`{|}"

// endOfHead returns the length of the head at the start of b, or 0 if b does not contain its end. It starts to search at
// from, the end of the last whole line. It returns an error as soon as a line does not end with CR LF, because other
// implementations may end the head elsewhere.
func endOfHead(b []byte, from int) (n, next int, err error) {
	for {
		i := bytes.IndexByte(b[from:], '\n')
		switch {
		case i < 0:
			return 0, from, nil
		case i == 0 || b[from+i-1] != '\r':
			return 0, from, errBareLineFeed
		case i == 1 && from == 0:
			return 0, from, errEmptyLine
		case i == 1:
			return from + i + 1, 0, nil
		}
		from += i + 1
	}
}

// headFields holds the fields of a head that delimit the request or name its destination.
type headFields struct {
	lengths, codings, hosts int
	length, coding, host    []byte
}

// checkHead returns an error for a head that http.ReadRequest accepts although another implementation may read it in
// another way: the two could then disagree about where the next request begins, or whom it is for. The head ends with an
// empty line, and each line with CR LF.
func checkHead(head []byte) error {
	line, rest, _ := bytes.Cut(head, []byte("\r\n"))
	target, http10, err := checkRequestLine(line)
	if err != nil {
		return err
	}
	var f headFields
	if err := f.read(rest); err != nil {
		return err
	}
	if err := f.checkLength(http10); err != nil {
		return err
	}
	if f.hosts == 0 && !http10 {
		return errNoHost
	}
	if f.hosts > 1 || bytes.ContainsAny(f.host, noHostBytes) {
		return errHost
	}
	return checkTarget(target, f.host, f.hosts > 0)
}

// checkLength returns an error unless there is one way to tell the length of the body.
func (f *headFields) checkLength(http10 bool) error {
	switch {
	case f.lengths > 1 || f.lengths == 1 && !isNumber(f.length):
		return errContentLength
	case f.lengths > 0 && f.codings > 0:
		return errLengthAndCoding
	case f.codings > 1 || f.codings == 1 && (http10 || !bytes.EqualFold(f.coding, []byte("chunked"))):
		return errTransferCoding
	}
	return nil
}

// checkRequestLine returns the target, and whether the version is HTTP/1.0.
func checkRequestLine(line []byte) (target []byte, http10 bool, err error) {
	if bytes.Count(line, []byte(" ")) != 2 {
		return nil, false, errRequestLine
	}
	for _, c := range line {
		if c < ' ' || c == 0x7f {
			return nil, false, errRequestLine
		}
	}
	method, rest, _ := bytes.Cut(line, []byte(" "))
	uri, proto, _ := bytes.Cut(rest, []byte(" "))
	if len(method) == 0 || len(uri) == 0 {
		return nil, false, errRequestLine
	}
	major, minor, ok := http.ParseHTTPVersion(string(proto))
	switch {
	case !ok:
		return nil, false, errRequestLine
	case major != 1:
		return nil, false, errVersion
	}
	return uri, minor == 0, nil
}

// checkTarget returns an error if the target is not a path and names another host than the field does.
func checkTarget(target, host []byte, haveHost bool) error {
	if target[0] == '/' || string(target) == "*" || !haveHost {
		return nil
	}
	if _, after, ok := bytes.Cut(target, []byte("://")); ok {
		target = after
	}
	if i := bytes.IndexAny(target, "/?#"); i >= 0 {
		target = target[:i]
	}
	if !bytes.EqualFold(target, host) {
		return errTargetHost
	}
	return nil
}

// read reads the lines of the fields, up to and with the empty line.
func (f *headFields) read(lines []byte) error {
	for {
		line, rest, _ := bytes.Cut(lines, []byte("\r\n"))
		if len(line) == 0 {
			return nil
		}
		name, value, err := splitField(line)
		if err != nil {
			return err
		}
		f.record(name, value)
		lines = rest
	}
}

// splitField returns the name and the value of a field's line.
func splitField(line []byte) (name, value []byte, err error) {
	if line[0] == ' ' || line[0] == '\t' {
		return nil, nil, errFolding
	}
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || len(name) == 0 {
		return nil, nil, errField
	}
	for _, c := range name {
		if !httpguts.IsTokenRune(rune(c)) {
			return nil, nil, errField
		}
	}
	for _, c := range value {
		if c < ' ' && c != '\t' || c == 0x7f {
			return nil, nil, errField
		}
	}
	return name, bytes.Trim(value, " \t"), nil
}

// record counts the fields that checkHead compares.
func (f *headFields) record(name, value []byte) {
	switch {
	case len(name) == len("Host") && bytes.EqualFold(name, []byte("Host")):
		f.hosts, f.host = f.hosts+1, value
	case len(name) == len("Content-Length") && bytes.EqualFold(name, []byte("Content-Length")):
		f.lengths, f.length = f.lengths+1, value
	case len(name) == len("Transfer-Encoding") && bytes.EqualFold(name, []byte("Transfer-Encoding")):
		f.codings, f.coding = f.codings+1, value
	}
}

// isNumber reports whether s has digits only.
func isNumber(s []byte) bool {
	for _, c := range s {
		if c < '0' || c > '9' {
			return false
		}
	}
	return len(s) > 0
}
