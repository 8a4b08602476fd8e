package peer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/encoding/gzip"
	"google.golang.org/protobuf/proto"

	"github.com/papayasail/papayasail/peer/peerpb"
	"github.com/papayasail/papayasail/store"
)

const (
	// pullPageBytes is the maximum size of a page of a pull; a single object
	// may exceed it.
	pullPageBytes = 2 << 20
	// pullPages is the maximum number of pages of one pull.
	pullPages = 64
	// pullTimeout is the timeout of one page of a pull or one sync.
	pullTimeout = 5 * time.Second

	resultDone    = "done"
	resultFailed  = "failed"
	resultAdopted = "adopted"
	resultNothing = "nothing"
)

func versionOf(m probeMessage) store.Version {
	return store.Version(m.GetConfigurationVersion())
}

// compareConfiguration requests a pull when the other host's configuration
// differs. If its version is newer, and no delivery brings it, the pull is
// immediate. If the versions are
// equal, the other host may have an object that this one lacks because it adopted
// a later one first; such pulls have a lower rate limit. A host with an older
// version pulls from this one, after which the versions are equal.
func (n *Node) compareConfiguration(from Member, m probeMessage) {
	if m.GetConfigurationDigest() == n.options.Configuration.Digest() {
		return
	}
	if n.loading.Load() {
		return
	}
	own, limiter := n.options.Configuration.Version(), n.repairPulls
	switch newest := versionOf(m); {
	case newest < own:
		return
	case newest > own && n.deliversChanges():
		n.pullUnlessDelivered(from, newest)
		return
	case newest > own:
		limiter = n.eagerPulls
	}
	if limiter.Allow() {
		n.requestPull(from)
	}
}

// requestPull queues a pull unless another one is queued; a later probe or delivery
// then requests it again.
func (n *Node) requestPull(from Member) {
	select {
	case n.pulls <- from:
	default:
	}
}

// pullLoop runs the pulls requested by probes and deliveries, one at a time.
func (n *Node) pullLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case from := <-n.pulls:
			if n.answersAgain(ctx, from) {
				_, _ = n.pullFrom(ctx, from.PeerAddress) // counted; a later probe requests it again
			}
		}
	}
}

// answersAgain reports whether a host answers a probe, the second time over a new
// connection. With deliveries pulls are rare and often follow a partition, after
// which an old connection to the host may be silent for the whole pullTimeout.
func (n *Node) answersAgain(ctx context.Context, m Member) bool {
	return !n.deliversChanges() || n.tryExchange(ctx, m) || n.tryExchange(ctx, m)
}

// Pull fetches the objects of a host's configuration that this host lacks and
// returns the number adopted. Errors: ErrUnknownHost, ErrHostGone,
// ErrUnreachable, and those of ConfigurationTable.Adopt.
func (n *Node) Pull(ctx context.Context, host string) (int, error) {
	member, err := n.lookUp(host)
	if err != nil {
		return 0, err
	}
	return n.pullFrom(ctx, member.PeerAddress)
}

func (n *Node) pullFrom(ctx context.Context, address string) (int, error) {
	total := 0
	for range pullPages {
		count, more, err := n.pullOnce(ctx, address)
		total += count
		if err != nil {
			n.counters.pulls.WithLabelValues(resultFailed).Inc()
			n.logger.Debug("pull failed", zap.String("address", address), zap.Error(err))
			return total, err
		}
		if table, ok := n.options.Configuration.(Completeness); ok && !more {
			table.SetComplete()
		}
		if !more || count == 0 {
			break
		}
	}
	if total == 0 {
		n.counters.pulls.WithLabelValues(resultNothing).Inc()
		return 0, nil
	}
	n.counters.pulls.WithLabelValues(resultAdopted).Inc()
	signal(n.pushSignal) // push the change to neighbours
	signal(n.notifySignal)
	return total, nil
}

func (n *Node) pullOnce(ctx context.Context, address string) (count int, more bool, err error) {
	table := n.options.Configuration
	if table.Version() > 0 {
		var gap bool
		count, more, gap, _, err = n.pullObjects(ctx, address, &peerpb.PullRequest{AfterVersion: uint64(table.Version())})
		if err != nil || more || !gap {
			return count, more, err
		}
	}
	rest, more, _, _, err := n.pullObjects(ctx, address, &peerpb.PullRequest{Have: heldVersions(table)})
	return count + rest, more, err
}

// pullObjects requests one page of objects and adopts it. Gap means that this
// host then has the version of the other one, but not the same objects. Digests
// also differ while objects change; in a large fleet that is most of the time.
//
// The other host has all changes up to the version completeTo; zero if it does not know.
func (n *Node) pullObjects(ctx context.Context, address string, request *peerpb.PullRequest) (count int, more, gap bool, completeTo store.Version, err error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	table := n.options.Configuration
	var response *peerpb.PullResponse
	err = n.control.call(address, func(client peerpb.PeerClient) (err error) {
		// Documents are text and most of the bytes of a change; gzip reduces
		// them to a fraction.
		response, err = client.Pull(ctx, request, grpc.UseCompressor(gzip.Name))
		return err
	})
	if err != nil {
		return 0, false, false, 0, errors.Mark(err, ErrUnreachable)
	}
	count, err = table.Adopt(objectsFromProto(response.GetObjects()))
	gap = response.GetVersion() == uint64(table.Version()) && response.GetDigest() != table.Digest()
	return count, response.GetMore(), gap, store.Version(response.GetCompleteVersion()), errors.Wrap(err, "peer: adopt configuration")
}

// heldVersions lists the objects of a table with their versions.
//
// Failure: a host adopts an object before one with a lower version that was
// written through another host, so a pull of "newer than my version" would skip
// that one permanently. The digests then still differ after the pull. A pull by
// object has no gaps. It is used only in this case and while the table is empty,
// since the list of all objects takes most of the bytes of a change.
func heldVersions(table ConfigurationTable) []*peerpb.ObjectVersion {
	objects := table.Since(0)
	list := make([]*peerpb.ObjectVersion, 0, len(objects))
	for _, o := range objects {
		list = append(list, &peerpb.ObjectVersion{Object: hashStrings(o.Kind, o.Name), Version: uint64(o.Version)})
	}
	return list
}

// pullPage returns the objects that the requesting host lacks, up to one page.
func pullPage(table ConfigurationTable, request *peerpb.PullRequest) *peerpb.PullResponse {
	held := make(map[uint64]uint64, len(request.GetHave()))
	for _, o := range request.GetHave() {
		held[o.GetObject()] = o.GetVersion()
	}
	response := &peerpb.PullResponse{Version: uint64(table.Version()), Digest: table.Digest()}
	// While this host is starting its table is incomplete. The requesting host
	// must not conclude that objects missing from this page do not exist.
	if c, ok := table.(Completeness); ok {
		response.More, response.CompleteVersion = !c.Complete(), uint64(c.CompleteTo())
	}
	size := 0
	for _, o := range table.Since(store.Version(request.GetAfterVersion())) {
		if has := store.Version(held[hashStrings(o.Kind, o.Name)]); has >= o.Version && has.Era() == o.Version.Era() {
			continue // of different eras the requesting host may keep either
		}
		p := objectToProto(o)
		size += proto.Size(p)
		if size > pullPageBytes && len(response.Objects) > 0 {
			response.More = true
			break
		}
		response.Objects = append(response.Objects, p)
	}
	return response
}

func objectToProto(o store.Object) *peerpb.ConfigurationObject {
	return &peerpb.ConfigurationObject{Kind: o.Kind, Name: o.Name, Version: uint64(o.Version), Value: o.Value, Deleted: o.Deleted}
}

func objectsFromProto(list []*peerpb.ConfigurationObject) []store.Object {
	objects := make([]store.Object, 0, len(list))
	for _, p := range list {
		objects = append(objects, store.Object{Kind: p.GetKind(), Name: p.GetName(), Version: store.Version(p.GetVersion()), Value: p.GetValue(), Deleted: p.GetDeleted()})
	}
	return objects
}
