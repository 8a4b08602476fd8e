// Package bytebudget bounds the memory that a process uses at a time for what others send
// to it.
package bytebudget

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	// FreeBytes is what each holder may use without a reservation.
	FreeBytes = 4 << 10
	// firstBytes is the size of the first buffer of ReadAll.
	firstBytes = 512
)

var (
	// ErrTooLarge means that a body is over its own limit.
	ErrTooLarge = errors.New("bytebudget: body is too large")
	// ErrExhausted means that a body is over its share of what the others leave.
	ErrExhausted = errors.New("bytebudget: body is over its share of the memory for bodies")
)

// Budget is memory shared by the holders of accounts. All methods may be called from
// any goroutine.
//
// An account may hold at most as much as remains unreserved. So a few bodies without an
// end use up their shares and fail, while smaller ones are still read.
type Budget struct {
	// MakeRoom is called if an account cannot reserve bytes. It reports whether another
	// holder has returned memory, so that the reservation is tried again; nil: none does. It
	// may wait. It must be set before the first reservation.
	MakeRoom func(account *Account, bytes int64) bool

	total int64
	mu    sync.Mutex // guards free, and the fields of accounts
	free  int64
}

// New returns a budget of the given number of bytes.
func New(bytes int64) *Budget { return &Budget{total: bytes, free: bytes} }

// Total returns the size of the budget in bytes.
func (b *Budget) Total() int64 { return b.total }

// Free returns the bytes that are not reserved; negative after Overdraw: so many are missing.
func (b *Budget) Free() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.free
}

// Account is what one holder has reserved of a budget. Only Held, Release and Revoke may be
// called while another method runs. The zero value is not valid.
type Account struct {
	budget  *Budget
	held    int64 // bytes
	revoked bool
}

// NewAccount returns an account without a reservation. Its holder must call Release.
func (b *Budget) NewAccount() *Account { return &Account{budget: b} }

// Reserve reserves more bytes. It returns ErrExhausted if the account would then hold
// more than remains, or if it was revoked.
func (a *Account) Reserve(bytes int64) error {
	for {
		reserved, revoked := a.tryReserve(bytes)
		if reserved {
			return nil
		}
		if revoked || a.budget.MakeRoom == nil || !a.budget.MakeRoom(a, bytes) {
			return ErrExhausted
		}
	}
}

// Overdraw reserves bytes whether they remain or not, without MakeRoom.
func (a *Account) Overdraw(bytes int64) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.budget.free -= bytes
	a.held += bytes
}

func (a *Account) tryReserve(bytes int64) (reserved, revoked bool) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.revoked || a.held+bytes > a.budget.free-bytes {
		return false, a.revoked
	}
	a.budget.free -= bytes
	a.held += bytes
	return true, false
}

// Held returns the bytes that the account has reserved.
func (a *Account) Held() int64 {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.held
}

// Revoke lets the account reserve no more until Restore. It keeps what it holds.
func (a *Account) Revoke() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.revoked = true
}

// Restore lets the account reserve again after Revoke.
func (a *Account) Restore() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.revoked = false
}

// Release returns what the account holds to the budget.
func (a *Account) Release() { a.ReleaseTo(0) }

// ReleaseTo returns what the account holds over the given number of bytes to the budget.
func (a *Account) ReleaseTo(bytes int64) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if surplus := a.held - bytes; surplus > 0 {
		a.held -= surplus
		a.budget.free += surplus
	}
}

// giveBack returns bytes to the budget, unless Release has returned them.
func (a *Account) giveBack(bytes int64) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	bytes = min(bytes, a.held)
	a.budget.free += bytes
	a.held -= bytes
}

// ReadAll reads a body of at most limit bytes to its end. Errors: that of the reader,
// ErrTooLarge, ErrExhausted. The account holds the memory of the body, also after an
// error, until Release.
func (a *Account) ReadAll(body io.Reader, limit int64) ([]byte, error) {
	buffer := make([]byte, 0, min(firstBytes, limit+1))
	for {
		if len(buffer) == cap(buffer) {
			capacity := 2 * int64(cap(buffer))
			if capacity >= limit {
				capacity = limit + 1 // one byte more shows that the body is too large
			}
			larger, err := a.grow(buffer, capacity)
			if err != nil {
				return nil, err
			}
			buffer = larger
		}
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		switch {
		case int64(len(buffer)) > limit:
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF):
			return buffer, nil
		case err != nil:
			return nil, err
		}
	}
}

// Append appends data to a buffer, which it replaces if it is full. Only a buffer that
// Append returned, or nil, may be passed. Errors: ErrExhausted.
func (a *Account) Append(buffer, data []byte) ([]byte, error) {
	if needed := len(buffer) + len(data); needed > cap(buffer) {
		larger, err := a.grow(buffer, int64(max(needed, 2*cap(buffer), firstBytes)))
		if err != nil {
			return nil, err
		}
		buffer = larger
	}
	return append(buffer, data...), nil
}

// Discard returns the memory of a buffer that Append returned and that is no longer used.
func (a *Account) Discard(buffer []byte) {
	if held := int64(cap(buffer)); held > FreeBytes {
		a.giveBack(held)
	}
}

// grow returns a copy of a buffer with the given capacity, in place of which it is used.
func (a *Account) grow(buffer []byte, capacity int64) ([]byte, error) {
	if capacity > FreeBytes {
		if err := a.Reserve(capacity); err != nil {
			return nil, err
		}
	}
	larger := append(make([]byte, 0, capacity), buffer...)
	a.Discard(buffer)
	return larger, nil
}
