package link

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// lastWriteTimeout bounds the time that a Write in progress gets after the remote end has
// closed its direction: a remote end that reads the rest takes less.
const lastWriteTimeout = 500 * time.Millisecond

var errNotTaken = errors.New("link: connection ended before the remote end took what was written")

// tcpConn is a connection on which Read returns io.EOF only if the remote end closed it in
// order and took what was written until then.
//
// Failure: a connection is reset while one goroutine writes and another reads. The kernel
// reports the reset once. If the Write gets it, the next Read returns io.EOF, and a part of a
// close-delimited answer looks whole.
type tcpConn struct {
	net.Conn // not *net.TCPConn, whose ReadFrom and WriteTo would bypass Write and Read

	writing  sync.Mutex // held during a Write; guards writeErr
	writeErr error      // of the first Write that failed
}

// Write implements net.Conn.
func (c *tcpConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn.
func (c *tcpConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if failure := c.finishWrite(); failure != nil {
		// As the primary error, a timeout of the Write would look like one of the Read.
		return n, errors.WithSecondaryError(errNotTaken, failure)
	}
	return n, err
}

// finishWrite waits for a Write in progress, for lastWriteTimeout at most, and returns the
// error of the first Write that failed.
func (c *tcpConn) finishWrite() error {
	if !c.writing.TryLock() {
		_ = c.SetWriteDeadline(time.Now().Add(lastWriteTimeout)) // fails only if this end is closed, which ends the Write too
		c.writing.Lock()
	}
	defer c.writing.Unlock()
	return c.writeErr
}

// SyscallConn implements syscall.Conn.
func (c *tcpConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}
