package dist

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"goldcreststand.example/core/ident"
)

// Digest is a hash over the known revisions of all objects but reachability reports. Instances with the same
// revisions have the same digest.
type Digest uint64

// ParseDigest reads the text form of a digest.
func ParseDigest(s string) (Digest, error) {
	v, err := strconv.ParseUint(s, 16, 64)
	if err != nil {
		return 0, Error.New("digest %q is not hexadecimal", s)
	}
	return Digest(v), nil
}

// String returns the text form of the digest.
func (d Digest) String() string { return strconv.FormatUint(uint64(d), 16) }

// digestPart returns the hash of a revision and its bucket in the digest. A bucket is the exclusive or of the
// hashes of its entries, so a change updates it in constant time.
func digestPart(k Key, r ident.Revision) (Digest, int) {
	name := xxhash.Sum64String(k.String())
	d := xxhash.NewWithSeed(name)
	_, _ = d.WriteString(strconv.FormatUint(uint64(r), 16))
	return Digest(d.Sum64()), int(name % DigestBuckets)
}
