// Package failedcalls lets every entry host know which calls have just failed at two
// backend servers, whichever hosts sent them there. One host keeps this for each call,
// its keeper, which all hosts derive from the membership. Nothing depends on it: what is
// lost with a keeper, or not known in time, costs retries that do not help.
package failedcalls

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
	"google.golang.org/grpc"

	"github.com/papayasail/papayasail/domain"
	"github.com/papayasail/papayasail/failedcalls/failedcallspb"
	"github.com/papayasail/papayasail/peer"
	"github.com/papayasail/papayasail/retry"
)

const (
	// messageTimeout bounds a message to a keeper, and so the delay of a retry whose
	// keeper does not answer. A message between failure domains takes 3 ms, on a new
	// connection 9 ms.
	messageTimeout = 40 * time.Millisecond
	// messagesPerSecond and messageBurst limit the messages that a host sends, for the
	// control budget of 2 KB/s: a host gets as many as it sends, and a message with its
	// response takes 372 bytes on a new connection and 85 to 119 on an open one. Calls
	// beyond the limit are retried as if nothing was known.
	messagesPerSecond = 3
	messageBurst      = 20
)

// Peers calls other entry hosts.
type Peers interface {
	Members() []peer.Member
	Call(host string, f func(grpc.ClientConnInterface) error) error
}

// Table holds the calls that have just failed at this host, and those of which it is the
// keeper. It is safe for concurrent use.
type Table struct {
	host  string
	peers Peers
	limit *rate.Limiter

	mu       sync.Mutex // guards failures; no other lock is acquired while it is held
	failures *retry.Failures
}

// New returns the empty table of a host.
func New(host string, peers Peers) *Table {
	return &Table{host: host, peers: peers, limit: rate.NewLimiter(messagesPerSecond, messageBurst), failures: retry.NewFailures()}
}

// Record records that a server has answered a call with an error of its own. It does not
// wait for the call's keeper.
func (t *Table) Record(fingerprint uint64, server string) {
	t.mu.Lock()
	second := t.failures.Record(fingerprint, server, time.Now())
	t.mu.Unlock()
	if !second {
		return
	}
	if keeper := t.remoteKeeper(fingerprint); keeper != "" && t.limit.Allow() {
		go t.tell(keeper, fingerprint)
	}
}

func (t *Table) tell(keeper string, fingerprint uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), messageTimeout)
	defer cancel()
	// If this message is lost, the call is retried once more when its caller repeats it.
	_ = t.peers.Call(keeper, func(conn grpc.ClientConnInterface) error {
		_, err := failedcallspb.NewFailedCallsClient(conn).Record(ctx, &failedcallspb.RecordRequest{Fingerprint: fingerprint})
		return err
	})
}

// FailedTwice reports whether two servers have just answered a call with errors of their
// own, as far as this host or the call's keeper knows. It returns false after
// messageTimeout.
func (t *Table) FailedTwice(ctx context.Context, fingerprint uint64) bool {
	if t.failedTwiceHere(fingerprint) {
		return true
	}
	keeper := t.remoteKeeper(fingerprint)
	if keeper == "" || !t.limit.Allow() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	var response *failedcallspb.QueryResponse
	err := t.peers.Call(keeper, func(conn grpc.ClientConnInterface) (err error) {
		response, err = failedcallspb.NewFailedCallsClient(conn).Query(ctx, &failedcallspb.QueryRequest{Fingerprint: fingerprint})
		return err
	})
	return err == nil && response.GetFailedTwice()
}

func (t *Table) failedTwiceHere(fingerprint uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.failures.Twice(fingerprint, time.Now())
}

// remoteKeeper returns the keeper of a call, or "" if that is this host or there is none.
func (t *Table) remoteKeeper(fingerprint uint64) string {
	if keeper := domain.Keeper(t.peers.Members(), fingerprint); keeper != t.host {
		return keeper
	}
	return ""
}

// Register registers a table as a gRPC service for other entry hosts.
func Register(registrar grpc.ServiceRegistrar, table *Table) {
	failedcallspb.RegisterFailedCallsServer(registrar, &server{table: table})
}

type server struct {
	failedcallspb.UnimplementedFailedCallsServer
	table *Table
}

// Record implements failedcallspb.FailedCallsServer.
func (s *server) Record(_ context.Context, r *failedcallspb.RecordRequest) (*failedcallspb.RecordResponse, error) {
	s.table.mu.Lock()
	defer s.table.mu.Unlock()
	s.table.failures.RecordTwice(r.GetFingerprint(), time.Now())
	return &failedcallspb.RecordResponse{}, nil
}

// Query implements failedcallspb.FailedCallsServer.
func (s *server) Query(_ context.Context, r *failedcallspb.QueryRequest) (*failedcallspb.QueryResponse, error) {
	return &failedcallspb.QueryResponse{FailedTwice: s.table.failedTwiceHere(r.GetFingerprint())}, nil
}
