package ingress

import "io"

// serverBufferBytes is the size of the HTTP server's read buffer. Larger reads go to the buffer of who reads a
// body.
const serverBufferBytes = 4 << 10

// readBody reads from the body, but nothing that follows it.
func (c *conn) readBody(p []byte) (int, error) {
	c.mu.Lock()
	left := c.bodyLeft
	c.mu.Unlock()
	switch {
	case left > 0:
		p = p[:min(int64(len(p)), left)]
	case left == 0 && c.currentPhase() == phaseClosing:
		return 0, io.EOF
	}
	n, err := c.receive(p)
	if left < 0 {
		end := n
		for from := 0; from < n; from = end { // reads larger than the server's buffer are within a chunk
			at, found := c.bodyLines.scan(p[from:n])
			end = from + at
			if found && len(p) <= serverBufferBytes {
				break
			}
		}
		c.putBack(p[end:n])
		n = end
	}
	c.noteReceived(n)
	if left > 0 {
		c.mu.Lock()
		if c.bodyLeft -= int64(n); c.bodyLeft == 0 && c.phase == phaseBody {
			c.enter(phaseServing, c.guard.now())
		}
		c.mu.Unlock()
	}
	return n, err
}
