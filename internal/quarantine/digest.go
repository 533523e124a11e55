package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/juju/errors"
)

// digestBytes is the length of a digest: two of a million different requests share one with
// a probability of 1e-27.
const digestBytes = 16

// Digest tells requests of the same content, whoever receives them. It is no secret, but
// shows nothing of the content either.
type Digest [digestBytes]byte

// Content is what makes two requests the same: whoever runs one runs the other.
type Content struct {
	Workspace string // of the caller; empty on a public route
	Method    string
	Target    string // path and query as they stand in the request line
	Model     string
	Body      []byte
}

// Digest returns the digest of the content. Each part is hashed with its length, so that no
// two contents run into one another.
func (c Content) Digest() Digest {
	h := sha256.New()
	for _, part := range []string{c.Workspace, c.Method, c.Target, c.Model} {
		h.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(part))))
		h.Write([]byte(part))
	}
	h.Write(c.Body)
	return Digest(h.Sum(nil)[:digestBytes])
}

// shortBytes of a digest are shown in log lines.
const shortBytes = 6

// Short is the beginning of the digest, for log lines.
func (d Digest) Short() string { return hex.EncodeToString(d[:shortBytes]) }

// String is the whole digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. Its error is about the text's form.
func (d *Digest) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != digestBytes {
		return errors.Errorf("digest of %d characters, want %d", len(text), hex.EncodedLen(digestBytes))
	}
	_, err := hex.Decode(d[:], text)
	return errors.Trace(err)
}
