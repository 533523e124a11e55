package link

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// acceptPause is how long Accept waits after an error that ends by itself.
const acceptPause = 10 * time.Millisecond

// Accept accepts a connection. Errors that say nothing about the listener, such as a lack of descriptors, do
// not end it: Accept tries again.
func Accept(l net.Listener) (net.Conn, error) {
	for {
		conn, err := l.Accept()
		if err == nil || !isTemporary(err) {
			return conn, err
		}
		time.Sleep(acceptPause)
	}
}

// isTemporary reports whether an error of accept ends by itself.
func isTemporary(err error) bool {
	for _, temporary := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, temporary) {
			return true
		}
	}
	return false
}
