package upstream

import (
	"bytes"
	"net/http"
	"strconv"
	"time"

	"pearlanding/internal/link"
)

// Writing of requests.
const (
	// maxWholeRequest is the size up to which a request is written at once. A connection without unsent
	// bytes takes that many without waiting. The body of a larger request is not copied.
	maxWholeRequest = 16 << 10
	// A larger request may take writeTimeout and a further writeTimePerMB for each MB. A replica that
	// reads requests reads them at the rate of its link.
	writeTimeout   = 2 * time.Second
	writeTimePerMB = time.Second
	// headRoom is the memory in bytes that is reserved for the request line and headers, which fit as a rule.
	headRoom = 512
)

// writeRequest writes the request within its time limit. A request of at most maxWholeRequest has none, as
// its write does not wait. After an error a part of the request may have been sent.
func (c *pooledConn) writeRequest(call *Call) error {
	if len(call.Body) <= maxWholeRequest {
		_, err := c.Write(append(encodeHead(call), call.Body...))
		return err
	}
	limit := writeTimeout + time.Duration(float64(len(call.Body))/(1<<20)*float64(writeTimePerMB))
	if err := c.SetWriteDeadline(link.DeadlineAfter(limit)); err != nil {
		return err
	}
	if _, err := c.Write(encodeHead(call)); err != nil {
		return err
	}
	if _, err := c.Write(call.Body); err != nil {
		return err
	}
	return c.SetWriteDeadline(time.Time{})
}

// encodeHead returns the request line and the headers of the request. A short body fits behind them.
func encodeHead(call *Call) []byte {
	var b bytes.Buffer
	room := headRoom
	if len(call.Body) <= maxWholeRequest {
		room += len(call.Body)
	}
	b.Grow(room)
	b.WriteString(call.Method + " " + call.RequestTarget + " HTTP/1.1\r\nHost: " + call.Host + "\r\n")
	for name, values := range call.Header {
		for _, v := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(v)
			b.WriteString("\r\n")
		}
	}
	if len(call.Body) > 0 || call.Method != http.MethodGet && call.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(call.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}
