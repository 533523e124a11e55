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
		if err == nil || !LacksResources(err) && !errors.Is(err, syscall.ECONNABORTED) {
			return conn, err
		}
		time.Sleep(acceptPause)
	}
}

// LacksResources reports whether an error of accept or connect comes from a lack of descriptors, buffers or
// local ports. It says nothing about the peer.
func LacksResources(err error) bool {
	for _, lack := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, lack) {
			return true
		}
	}
	return false
}
