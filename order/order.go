// Package order sends orders to model engines (load a model, unload a model,
// set a role) while this host has the orders lease, and keeps the models that
// service documents name loaded.
package order

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/backend"
	"github.com/papayasail/papayasail/contract"
)

// Engine sends orders to engines and reads their state. *backend.Client
// implements it in production; its errors are *backend.CallError.
type Engine interface {
	Order(ctx context.Context, address string, order backend.OrderRequest) (backend.EngineState, error)
	ReadState(ctx context.Context, address string) (backend.EngineState, error)
}

// Order is one command for an engine.
type Order struct {
	Document *contract.Document // requires the order and allows the link to the server
	Server   contract.BackendServer
	Kind     backend.OrderKind
	Model    string // name@version; for load and unload
	Role     string // for role
}

// String describes the order in audit entries and logs.
func (o Order) String() string {
	if o.Kind == backend.OrderRole {
		return fmt.Sprintf("%s %s", o.Kind, o.Role)
	}
	return fmt.Sprintf("%s %s", o.Kind, o.Model)
}

// SatisfiedBy reports whether the engine's state is the state that the order requires.
func (o Order) SatisfiedBy(state backend.EngineState) bool {
	switch o.Kind {
	case backend.OrderLoad:
		return slices.Contains(state.Models, o.Model)
	case backend.OrderUnload:
		return !slices.Contains(state.Models, o.Model)
	case backend.OrderRole:
		return state.Role == o.Role
	}
	return false
}

var (
	// ErrLinkNotAllowed means that the document does not allow orders from this
	// host's failure domain to the server.
	ErrLinkNotAllowed = errors.New("order: link not allowed by the document")
	// ErrNotHolder means that the lease expires too soon to send an order, or
	// that another host has taken over and recorded an intent.
	ErrNotHolder = errors.New("order: lease not held")
	// ErrOldFence means that the engine has accepted a higher fencing number.
	ErrOldFence = errors.New("order: engine refused the fencing number")
	// ErrRefused means that the engine refused the order and did not run it.
	ErrRefused = errors.New("order: refused by the engine")
	// ErrNotSeen means that the order was sent and its response was lost, and
	// that the engine's state did not show the effect before the timeout.
	ErrNotSeen = errors.New("order: effect not seen")
)

// WaitError means that the order must not be sent yet; retry after For.
type WaitError struct {
	For    time.Duration
	Reason string
}

// Error implements error.
func (e *WaitError) Error() string { return fmt.Sprintf("order: wait %v: %s", e.For, e.Reason) }
