package access

import (
	"crypto/hmac"
	"crypto/sha256"
	"strconv"
	"strings"
)

const (
	// maxKeyLength limits the length of a key in bytes.
	maxKeyLength = 256
	// redacted is written in place of a key.
	redacted = "(key)"
)

// Key is a key of an organisation: 1 to maxKeyLength bytes of visible ASCII without spaces. It is a secret, so that its
// text forms do not contain it.
type Key string

// String implements fmt.Stringer without the key.
func (Key) String() string { return redacted }

// GoString implements fmt.GoStringer without the key.
func (Key) GoString() string { return redacted }

// MarshalText implements encoding.TextMarshaler without the key.
func (Key) MarshalText() ([]byte, error) { return []byte(redacted), nil }

// problem returns what is wrong with the key, without naming it, or an empty text.
func (k Key) problem() string {
	switch {
	case k == "":
		return "is empty"
	case len(k) > maxKeyLength:
		return "has " + strconv.Itoa(len(k)) + " bytes, more than " + strconv.Itoa(maxKeyLength)
	case strings.ContainsFunc(string(k), func(r rune) bool { return r <= ' ' || r > '~' }):
		return "has a space or a character that is not visible ASCII"
	}
	return ""
}

// Secret is the key of the digests of a process. It must be random.
type Secret [sha256.Size]byte

// digest is the keyed digest of an organisation's key.
type digest [sha256.Size]byte

// digest returns the digest under which a key is stored and looked up (HMAC-SHA-256). The duration of a lookup depends on
// the digest, of which a caller without the secret learns nothing about the stored keys.
func (s *Secret) digest(k Key) digest {
	mac := hmac.New(sha256.New, s[:])
	// A hash accepts every write.
	_, _ = mac.Write([]byte(k))
	var out digest
	mac.Sum(out[:0])
	return out
}
