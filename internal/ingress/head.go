package ingress

const (
	// headBlockBytes is the size of the buffers that hold an incomplete head.
	headBlockBytes = 2 << 10
	// headBytesFactor and headLineBytes are the memory of a parsed head, in the request and in its copy for the
	// upstream: for each byte, and for each line.
	headBytesFactor = 2
	headLineBytes   = 256
	// unaccountedHeadBytes is the memory of a parsed head that counts as part of its connection's.
	unaccountedHeadBytes = 8 << 10
	// headBytesSlack is by how much a head may exceed its limit, which may be counted without the request
	// line.
	headBytesSlack = 4 << 10
)

// readHead keeps what it reads until a head is complete, and then hands it out.
func (c *conn) readHead(p []byte) (int, error) {
	if c.handedOut && len(p) == 1 {
		return c.receive(p) // the server has parsed the head and watches for the end of the connection
	}
	for len(c.complete) == 0 {
		n, err := c.receive(p)
		end, complete := c.head.scan(p[:n])
		c.putBack(p[end:n])
		c.headBytes += end
		c.noteReceived(end)
		if refusal := c.checkHead(complete); refusal != "" {
			return 0, c.refuse(refusal)
		}
		if complete && len(c.blocks) == 0 {
			c.handedOut = true
			return end, nil
		}
		if !c.keep(p[:end]) {
			return 0, c.refuse(reasonNoMemory)
		}
		if complete {
			c.complete, c.blocks = c.blocks, nil
		} else if err != nil {
			return 0, c.headFailed(err)
		}
	}
	n := copy(p, c.complete[0])
	if c.complete[0] = c.complete[0][n:]; len(c.complete[0]) == 0 {
		c.complete = c.complete[1:]
	}
	c.handedOut = len(c.complete) == 0
	return n, nil
}

// checkHead returns why the current head is refused, empty if it is not.
func (c *conn) checkHead(complete bool) reason {
	limit := c.guard.options.Limits().HeadBytes
	switch {
	case c.headBytes > limit+headBytesSlack:
		return reasonHeadTooLarge
	case complete && !c.take(headBytesFactor*c.headBytes+headLineBytes*c.head.lines-unaccountedHeadBytes):
		return reasonNoMemory
	}
	return ""
}

// take accounts memory of a head. It returns false if there is no room for it, or the head was ended to
// make room for others.
func (c *conn) take(n int) bool {
	if n <= 0 || c.guard.options.Memory == nil {
		return true
	}
	now := c.guard.now()
	c.mu.Lock()
	if c.upload == nil {
		c.upload = c.guard.options.Memory.NewUpload(now, func() { c.end(reasonNoMemory) })
	}
	upload := c.upload
	c.mu.Unlock()
	return upload.Grow(n, now) // may end other connections
}

// release releases the memory of the head.
func (c *conn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.upload.Release()
	c.upload = nil
}

// keep keeps a part of a head. It returns false if there is no room for it.
func (c *conn) keep(p []byte) bool {
	for len(p) > 0 {
		last := len(c.blocks) - 1
		if last < 0 || len(c.blocks[last]) == headBlockBytes {
			if !c.take(headBlockBytes) {
				return false
			}
			c.blocks = append(c.blocks, make([]byte, 0, headBlockBytes))
			last++
		}
		n := min(len(p), headBlockBytes-len(c.blocks[last]))
		c.blocks[last] = append(c.blocks[last], p[:n]...)
		p = p[n:]
	}
	return true
}

// headFailed returns the error of a read in a head. A head that was ended is refused first.
func (c *conn) headFailed(err error) error {
	c.mu.Lock()
	inHead, ended := c.phase == phaseHead, c.ended
	c.mu.Unlock()
	if inHead && ended != "" {
		return c.refuse(ended)
	}
	return err
}
