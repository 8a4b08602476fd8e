package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"golang.org/x/sync/singleflight"

	"github.com/papayasail/papayasail/contract"
)

// Address is the address of an entry host that accepts requests.
type Address struct {
	URL           string `json:"url"`
	Host          string `json:"host"`
	FailureDomain string `json:"failure_domain"`
	// Home is the prefix of the idempotency keys that this entry host answers for.
	Home string `json:"home"`
}

// mintKey returns a new idempotency key whose home is this entry host, or "" if
// the home is unknown.
func (a Address) mintKey() string {
	if a.Home == "" {
		return ""
	}
	return a.Home + "." + uuid.NewString()
}

// Addresses lists the entry hosts to use.
type Addresses struct {
	Addresses   []Address `json:"addresses"`    // best first
	KeepSeconds int       `json:"keep_seconds"` // how long the list may be cached
}

// maxAnswerBytes bounds a response body that the client reads into memory.
const maxAnswerBytes = 64 << 20

// addressBook caches the address list and fetches it again after it has expired.
type addressBook struct {
	fetch func(ctx context.Context, base string) (Addresses, error)
	seeds []string
	// fetches combines concurrent fetches into one. Otherwise every request of a
	// busy client that finds the list expired would fetch it.
	fetches singleflight.Group

	mu      sync.Mutex // guards the fields below
	list    []Address  // best first, failed addresses last
	expires time.Time
}

func newAddressBook(fetch func(context.Context, string) (Addresses, error), seeds []string) *addressBook {
	b := &addressBook{fetch: fetch}
	for _, seed := range seeds {
		b.seeds = append(b.seeds, baseURL(seed))
	}
	return b
}

func baseURL(seed string) string {
	if strings.Contains(seed, "://") {
		return strings.TrimSuffix(seed, "/")
	}
	return "http://" + seed
}

// preferred returns the first address of the list. It fetches the list if it has
// expired or is empty.
func (b *addressBook) preferred(ctx context.Context) (Address, error) {
	b.mu.Lock()
	list, fresh := b.list, time.Now().Before(b.expires)
	b.mu.Unlock()
	if fresh && len(list) > 0 {
		return list[0], nil
	}
	err := b.refresh(ctx)
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.list) == 0 {
		return Address{}, err
	}
	// If the refresh fails, the expired list stays in use: entry hosts that were
	// available recently are better than none.
	return b.list[0], nil
}

// refresh fetches the address list; concurrent callers share one fetch, which
// continues if the caller that started it gives up.
func (b *addressBook) refresh(ctx context.Context) error {
	result := b.fetches.DoChan("addresses", func() (any, error) {
		return nil, b.fetchAny(context.WithoutCancel(ctx))
	})
	select {
	case r := <-result:
		return r.Err
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "caller: addresses")
	}
}

// fetchAny requests the address list from the cached addresses and then from the
// seeds, until one returns addresses or refuses the token.
func (b *addressBook) fetchAny(ctx context.Context) error {
	err := errors.New("caller: no entry host to ask")
	for _, base := range b.bases() {
		var answer Addresses
		answer, err = b.fetch(ctx, base)
		if err == nil && len(answer.Addresses) > 0 {
			b.set(answer)
			return nil
		}
		if refused := (*contract.Refusal)(nil); errors.As(err, &refused) && refused.Reason == contract.ReasonUnauthorized {
			return err
		}
	}
	if err == nil {
		err = contract.NotRun(contract.ReasonHostLeaving, time.Second, "no entry host is in use")
	}
	return err
}

func (b *addressBook) bases() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var bases []string
	for _, address := range b.list {
		bases = append(bases, address.URL)
	}
	for _, seed := range b.seeds {
		if !slices.Contains(bases, seed) {
			bases = append(bases, seed)
		}
	}
	return bases
}

func (b *addressBook) set(answer Addresses) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.list = answer.Addresses
	b.expires = time.Now().Add(time.Duration(answer.KeepSeconds) * time.Second)
}

// demote moves an address to the end of the list. If it is the only one, the list
// expires.
func (b *addressBook) demote(address Address) {
	b.mu.Lock()
	defer b.mu.Unlock()
	rest := make([]Address, 0, len(b.list))
	for _, other := range b.list {
		if other.URL != address.URL {
			rest = append(rest, other)
		}
	}
	if len(rest) == len(b.list) {
		return
	}
	b.list = append(rest, address)
	if len(rest) == 0 {
		b.expires = time.Time{}
	}
}

// expire makes the next request fetch the address list again.
func (b *addressBook) expire() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expires = time.Time{}
}

// Addresses fetches the list of entry hosts to use and returns it. It sends a
// request even if a cached list is still valid.
func (c *Client) Addresses(ctx context.Context) (Addresses, error) {
	if err := c.book.refresh(ctx); err != nil {
		return Addresses{}, err
	}
	c.book.mu.Lock()
	defer c.book.mu.Unlock()
	keep := time.Until(c.book.expires).Round(time.Second)
	return Addresses{Addresses: slices.Clone(c.book.list), KeepSeconds: int(keep / time.Second)}, nil
}

func (c *Client) fetchAddresses(ctx context.Context, base string) (Addresses, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.Attempt)
	defer cancel()
	query := ""
	if c.config.FailureDomain != "" {
		query = "?failure_domain=" + url.QueryEscape(c.config.FailureDomain)
	}
	request, err := c.newRequest(ctx, http.MethodGet, base+"/v1/addresses"+query, nil)
	if err != nil {
		return Addresses{}, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return Addresses{}, errors.Wrap(err, "caller: addresses")
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return Addresses{}, errors.Wrap(err, "caller: addresses")
	}
	if response.StatusCode != http.StatusOK {
		return Addresses{}, refusalOf(response, body)
	}
	var answer Addresses
	if err := json.Unmarshal(body, &answer); err != nil {
		return Addresses{}, errors.Wrap(err, "caller: addresses")
	}
	return answer, nil
}

func bodyReader(body []byte) io.Reader {
	if body == nil {
		return http.NoBody
	}
	return bytes.NewReader(body)
}
