package bytebudget

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

type zeros struct{ read int64 }

func (z *zeros) Read(p []byte) (int, error) {
	clear(p)
	z.read += int64(len(p))
	return len(p), nil
}

// Guards against several bodies without an end that use up the memory of the process, or
// that keep small bodies from being read.
func TestEndlessBodiesLeaveRoomForOthers(t *testing.T) {
	is := is.New(t)
	const total, limit = 24 << 20, 8 << 20
	budget := New(total)
	var accounts []*Account
	var read int64
	for range 50 { // each keeps what it holds, as if it were still being read
		account, body := budget.NewAccount(), &zeros{}
		_, err := account.ReadAll(body, limit)
		is.True(errors.Is(err, ErrTooLarge) || errors.Is(err, ErrExhausted))
		accounts, read = append(accounts, account), read+account.held
	}
	is.Equal(read+budget.Free(), int64(total))
	small := budget.NewAccount()
	body, err := small.ReadAll(strings.NewReader(strings.Repeat("a", FreeBytes-1)), limit)
	is.NoErr(err)
	is.Equal(len(body), FreeBytes-1)
	for _, account := range append(accounts, small) {
		account.Release()
	}
	is.Equal(budget.Free(), int64(total))
}

// Guards against a body that is cut or refused although it is within its limit.
func TestBodiesUpToTheLimitAreWhole(t *testing.T) {
	const limit = 100_000
	for _, size := range []int{0, 1, firstBytes, FreeBytes, FreeBytes + 1, limit - 1, limit, limit + 1} {
		is := is.New(t)
		budget, content := New(1<<20), bytes.Repeat([]byte("a"), size)
		account := budget.NewAccount()
		body, err := account.ReadAll(shortReads{bytes.NewReader(content)}, limit)
		if size > limit {
			is.True(errors.Is(err, ErrTooLarge))
		} else {
			is.NoErr(err)
			is.True(bytes.Equal(body, content))
		}
		account.Release()
		is.Equal(budget.Free(), int64(1<<20))
	}
}

// shortReads returns less than is asked for, as connections do.
type shortReads struct{ io.Reader }

func (r shortReads) Read(p []byte) (int, error) { return r.Reader.Read(p[:max(1, len(p)-1)]) }

// Guards against an error in the middle of a body that leaves memory reserved.
func TestBrokenBodyIsReleased(t *testing.T) {
	is := is.New(t)
	budget := New(1 << 20)
	account := budget.NewAccount()
	_, err := account.ReadAll(io.MultiReader(strings.NewReader(strings.Repeat("a", 2*FreeBytes)), brokenReader{}), 1<<20)
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
	is.True(budget.Free() < 1<<20)
	account.Release()
	is.Equal(budget.Free(), int64(1<<20))
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// Guards against a holder that goes on reserving after it was told to end, and against memory
// that is returned twice.
func TestRevokedAccountReservesNoMore(t *testing.T) {
	is := is.New(t)
	budget := New(1 << 20)
	heavy, modest := budget.NewAccount(), budget.NewAccount()
	is.NoErr(heavy.Reserve(400 << 10))
	budget.MakeRoom = func(account *Account, _ int64) bool {
		if account != modest || heavy.Held() == 0 {
			return false
		}
		heavy.Revoke()
		is.True(heavy.Reserve(1) != nil)
		heavy.Release()
		return true
	}
	is.NoErr(modest.Reserve(450 << 10))
	_, err := heavy.Append(nil, make([]byte, 2*FreeBytes))
	is.True(errors.Is(err, ErrExhausted))
	heavy.Release()
	is.Equal(budget.Free(), int64(1<<20-450<<10))
	heavy.Restore()
	is.NoErr(heavy.Reserve(1))
}
