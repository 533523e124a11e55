package ingress

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"pearlanding/internal/link"
)

const (
	// lingerBytes bounds how much is read of a request after its refusal.
	lingerBytes = 256 << 10
	// refusalTimeout bounds the writing of a refusal.
	refusalTimeout = time.Second
)

// refuse answers a request that will not run and reads on for a moment, so that the answer arrives. It
// returns the error for the server, which then writes nothing itself.
func (c *conn) refuse(r reason) error {
	c.end(r)
	c.blocks, c.stash, c.stashBuf = nil, nil, nil
	c.release()
	_ = c.Conn.SetWriteDeadline(link.DeadlineAfter(refusalTimeout))
	h := http.Header{"Connection": {"close"}, "Content-Type": {"text/plain; charset=utf-8"}}
	status := r.status()
	if status == http.StatusServiceUnavailable && c.guard.options.SetRetryAfter != nil {
		c.guard.options.SetRetryAfter(h)
	}
	text := string(r) + "\n"
	h.Set("Content-Length", strconv.Itoa(len(text)))
	resp := &http.Response{StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Header: h, ContentLength: int64(len(text)), Body: io.NopCloser(strings.NewReader(text))}
	if resp.Write(c.Conn) == nil && c.CloseWrite() == nil {
		_ = c.Conn.SetReadDeadline(link.DeadlineAfter(lingerTimeout))
		_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes) // the connection is closed in any case
	}
	return io.EOF
}
