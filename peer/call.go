package peer

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"github.com/papayasail/papayasail/peer/peerpb"
)

func (n *Node) lookUp(host string) (Member, error) {
	member, ok := n.table.member(host)
	if !ok {
		return Member{}, errors.Wrapf(ErrUnknownHost, "host %q", host)
	}
	if member.State == StateGone {
		return member, errors.Wrapf(ErrHostGone, "host %q", host)
	}
	return member, nil
}

// Call calls another gRPC service of a host over the data connections. Errors:
// ErrUnknownHost, ErrHostGone, and those of f.
func (n *Node) Call(host string, f func(grpc.ClientConnInterface) error) error {
	member, err := n.lookUp(host)
	if err != nil {
		return err
	}
	return n.data.callConn(member.PeerAddress, func(c *pooledConn) error { return f(c.conn) })
}

// callData calls a host over the data connections.
func (n *Node) callData(host string, request proto.Message, f func(peerpb.PeerClient) error) error {
	member, err := n.lookUp(host)
	if err != nil {
		return err
	}
	n.countForward("out", request)
	err = n.data.call(member.PeerAddress, f)
	switch {
	case err == nil:
		return nil
	case status.Code(err) == codes.FailedPrecondition:
		return errors.Mark(errors.Wrapf(err, "peer: host %q", host), ErrRefused)
	}
	return errors.Mark(errors.Wrapf(err, "peer: host %q", host), ErrUnreachable)
}
