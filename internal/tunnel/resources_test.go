package tunnel

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"pearlanding/internal/steady"
)

// Guards against a daemon that takes its paths to all instances for lost, and tells others so, because it has
// no descriptor left for a connection.
func TestLackOfDescriptorsIsNoLostPath(t *testing.T) {
	for err, usable := range map[syscall.Errno]bool{syscall.EMFILE: true, syscall.ENETUNREACH: false} {
		d := NewDirect(func(context.Context, string, string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", err)}
		}, steady.NewRunClock(nil), zap.NewNop())
		for _, address := range []string{"a", "b", "c", "d"} {
			_, got := d.DialContext(t.Context(), "tcp", address)
			must.ErrorIs(t, got, err)
		}
		must.Eq(t, usable, d.Usable())
	}
}
