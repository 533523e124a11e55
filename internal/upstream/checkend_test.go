package upstream

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against answers that were cut after their head and look like empty ones.
func TestEmptySuccessNeedsAMarkedEnd(t *testing.T) {
	for name, c := range map[string]struct {
		response string
		complete bool
	}{
		"length 0":                          {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", true},
		"empty chunks":                      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", true},
		"end of connection, a body":         {"HTTP/1.1 200 OK\r\n\r\nx", true},
		"end of connection after the head":  {"HTTP/1.1 200 OK\r\n\r\n", false},
		"the same, HTTP/1.0":                {"HTTP/1.0 200 OK\r\n\r\n", false},
		"a status without a body":           {"HTTP/1.1 204 No Content\r\n\r\n", true},
		"a failure, which is no whole body": {"HTTP/1.1 500 Failed\r\n\r\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(c.response)), &http.Request{Method: http.MethodGet})
			must.NoError(t, err)
			_, err = ReadWhole(resp, 100)
			if c.complete {
				must.NoError(t, err)
			} else {
				must.ErrorIs(t, err, ErrUnknown)
			}
		})
	}
}
