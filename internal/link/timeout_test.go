package link

import (
	"io"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a connection that ended because its peer did not acknowledge or take what was sent, and reads like
// one that the peer has closed, because a write took the error.
func TestTimeoutThatFailsAWriteFailsReadsToo(t *testing.T) {
	t.Parallel()
	dialed, accepted := dialPair(t, listen(t))
	_, err := io.WriteString(accepted, "answer")
	must.NoError(t, err)
	_, err = dialed.Write(make([]byte, 16<<20)) // does not fit into socket buffers
	must.ErrorIs(t, err, syscall.ETIMEDOUT)
	text, err := readToEnd(dialed)
	must.Eq(t, "answer", text)
	must.ErrorIs(t, err, syscall.ETIMEDOUT)
}
