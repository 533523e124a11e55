package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"

	"github.com/juju/errors"
)

// digestBytes is the length of a digest: the probability that any two of a million different
// requests share one is 1e-27.
const digestBytes = 16

// Digest identifies a trait, such as a content: requests with the same content have the same digest on
// every daemon. It need not be kept secret, as it reveals nothing of the content.
type Digest [digestBytes]byte

// Content is the part of a request that decides what an instance does with it: two requests
// with equal contents run alike.
type Content struct {
	Workspace string // the caller's; empty on a public route
	Method    string
	Target    string // path and query, unchanged from the request line
	Model     string
	Body      []byte
	Parts     []string // ids of the parts of the prompt that other requests may share
}

// Digest returns the digest of the content. The length of each part but the last is hashed
// before it, so that contents whose bytes are split differently have different digests.
func (c Content) Digest() Digest {
	return hashFields(c.Body, c.Workspace, c.Method, c.Target, c.Model)
}

// hashFields hashes fields, each preceded by its length, and then rest.
func hashFields(rest []byte, fields ...string) Digest {
	h := sha256.New()
	for _, field := range fields {
		h.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(field))))
		h.Write([]byte(field))
	}
	h.Write(rest)
	return Digest(h.Sum(nil)[:digestBytes])
}

// shortDigestBytes is how many bytes of a digest log lines show.
const shortDigestBytes = 6

// compare orders digests.
func (d Digest) compare(other Digest) int { return slices.Compare(d[:], other[:]) }

// Short returns the first bytes of the digest in hexadecimal, for log lines.
func (d Digest) Short() string { return hex.EncodeToString(d[:shortDigestBytes]) }

// String returns the whole digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It fails if the text is not a
// hexadecimal digest of the right length.
func (d *Digest) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != digestBytes {
		return errors.Errorf("digest has %d characters, want %d", len(text), hex.EncodedLen(digestBytes))
	}
	_, err := hex.Decode(d[:], text)
	return errors.Trace(err)
}
