package link

import (
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"
)

// failingListener fails with each of its errors once, and then accepts a connection.
type failingListener struct {
	net.Listener
	errors []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errors) == 0 {
		return &net.TCPConn{}, nil
	}
	err := l.errors[0]
	l.errors = l.errors[1:]
	return nil, err
}

// Guards against a process that ends, or serves an address no more, because it had no descriptor for a moment.
func TestLackOfDescriptorsEndsNoListener(t *testing.T) {
	lack := &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	conn, err := Accept(&failingListener{errors: []error{lack, lack, syscall.ECONNABORTED}})
	must.NoError(t, err)
	must.NotNil(t, conn)
	_, err = Accept(&failingListener{errors: []error{net.ErrClosed}})
	must.ErrorIs(t, err, net.ErrClosed)
}
