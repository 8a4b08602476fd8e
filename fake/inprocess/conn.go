// Package inprocess calls gRPC services in the same process, without a network, so
// that tests run in virtual time.
package inprocess

import (
	"context"
	"sync/atomic"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
)

// Conn is a connection to the services that are registered with it.
type Conn struct {
	methods map[string]method
	silent  atomic.Bool
}

type method struct {
	handler grpc.MethodHandler
	service any
}

// New returns a connection without services.
func New() *Conn { return &Conn{methods: map[string]method{}} }

// SetSilent makes calls, also those in progress, get no answer.
func (c *Conn) SetSilent(silent bool) { c.silent.Store(silent) }

// RegisterService implements grpc.ServiceRegistrar. It must not be called after Invoke.
func (c *Conn) RegisterService(desc *grpc.ServiceDesc, service any) {
	for _, m := range desc.Methods {
		c.methods["/"+desc.ServiceName+"/"+m.MethodName] = method{handler: m.Handler, service: service}
	}
}

// Invoke implements grpc.ClientConnInterface.
func (c *Conn) Invoke(ctx context.Context, name string, request, response any, _ ...grpc.CallOption) error {
	called, found := c.methods[name]
	if !found {
		return status.Error(codes.Unimplemented, name)
	}
	if !c.silent.Load() {
		result, err := called.handler(called.service, ctx, func(target any) error {
			proto.Merge(target.(proto.Message), request.(proto.Message))
			return nil
		}, nil)
		switch {
		case c.silent.Load():
		case err != nil:
			return err
		default:
			proto.Merge(response.(proto.Message), result.(proto.Message))
			return nil
		}
	}
	<-ctx.Done()
	return status.FromContextError(ctx.Err()).Err()
}

// NewStream implements grpc.ClientConnInterface.
func (*Conn) NewStream(context.Context, *grpc.StreamDesc, string, ...grpc.CallOption) (grpc.ClientStream, error) {
	return nil, status.Error(codes.Unimplemented, "stream")
}
