package peer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/encoding/gzip"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"github.com/papayasail/papayasail/internal/sleep"
	"github.com/papayasail/papayasail/peer/peerpb"
	"github.com/papayasail/papayasail/store"
)

const (
	// pullPageBytes ends a page of a pull; one object may exceed it.
	pullPageBytes = 2 << 20
	// pullPages bounds the pages of one pull.
	pullPages = 64
	// newsTime is how long news takes to reach all hosts, in probe intervals.
	newsTime = 4
	// otherDigestsHeld bounds the digests of others that are remembered.
	otherDigestsHeld = 64
	// joinSeeds is how many seeds that answer are asked on joining.
	joinSeeds = 3
	// witnessTime is for how long hearing a host counts, in probe intervals:
	// two rounds of the scope.
	witnessTime = 30
	// pullTimeout is for one page.
	pullTimeout = 5 * time.Second

	resultDone    = "done"
	resultFailed  = "failed"
	resultAdopted = "adopted"
	resultNothing = "nothing"
)

func versionOf(m probeMessage) store.Version {
	return store.Version(m.GetConfigurationVersion())
}

// compareConfiguration asks for a pull when the other host holds something
// else. A host that is ahead is asked at once. One that is not ahead may
// still hold an object that we lack, because we took in a later one first; it
// is asked at a low rate.
func (n *Node) compareConfiguration(from Member, m probeMessage) {
	if m.GetConfigurationDigest() == n.options.Configuration.Digest() {
		return
	}
	limiter := n.repairPulls
	if versionOf(m) > n.options.Configuration.Version() {
		limiter = n.eagerPulls
	}
	if !limiter.Allow() {
		return
	}
	select {
	case n.pulls <- from:
	default: // one is waiting already; the next probe asks again
	}
}

// pullLoop does the pulls and swaps that probes asked for, one at a time.
func (n *Node) pullLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case from := <-n.pulls:
			_, _ = n.pullFrom(ctx, from.PeerAddress)
		case from := <-n.syncs:
			n.syncWith(ctx, from.PeerAddress)
		}
	}
}

// Pull fetches what a host's configuration has newer than ours and returns
// how many objects were adopted. Errors: ErrUnknownHost, ErrHostGone,
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
	signal(n.kick) // pass it on
	signal(n.notices)
	return total, nil
}

func (n *Node) pullOnce(ctx context.Context, address string) (count int, more bool, err error) {
	table := n.options.Configuration
	if table.Version() > 0 {
		var same bool
		count, more, same, err = n.ask(ctx, address, &peerpb.PullRequest{AfterVersion: uint64(table.Version())})
		if err != nil || more || same {
			return count, more, err
		}
	}
	rest, more, _, err := n.ask(ctx, address, &peerpb.PullRequest{Have: have(table)})
	return count + rest, more, err
}

// ask makes one request for objects and adopts the answer. Same says that both
// hosts then have the same.
func (n *Node) ask(ctx context.Context, address string, request *peerpb.PullRequest) (count int, more, same bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	table := n.options.Configuration
	var response *peerpb.PullResponse
	err = n.control.call(address, func(client peerpb.PeerClient) (err error) {
		// Documents are text: compressed they take a fraction of the bytes,
		// and they are most of what a change costs.
		response, err = client.Pull(ctx, request, grpc.UseCompressor(gzip.Name))
		return err
	})
	if err != nil {
		return 0, false, false, errors.Mark(err, ErrUnreachable)
	}
	count, err = table.Adopt(objectsFromProto(response.GetObjects()))
	return count, response.GetMore(), response.GetDigest() == table.Digest(), errors.Wrap(err, "peer: adopt configuration")
}

// have names what a table holds.
//
// Failure: a host takes in an object before an earlier one written elsewhere,
// so "newer than my version" would skip the earlier one for good. It shows as
// digests that still differ after such an answer. Asking object by object has
// no gaps, and is done only then: the names of all objects are most of the bytes
// of a change.
func have(table ConfigurationTable) []*peerpb.ObjectVersion {
	objects := table.Since(0)
	list := make([]*peerpb.ObjectVersion, 0, len(objects))
	for _, o := range objects {
		list = append(list, &peerpb.ObjectVersion{Object: hashStrings(o.Kind, o.Name), Version: uint64(o.Version)})
	}
	return list
}

// pullPage returns what the asking host lacks, up to a page.
func pullPage(table ConfigurationTable, request *peerpb.PullRequest) *peerpb.PullResponse {
	held := make(map[uint64]uint64, len(request.GetHave()))
	for _, o := range request.GetHave() {
		held[o.GetObject()] = o.GetVersion()
	}
	response := &peerpb.PullResponse{Version: uint64(table.Version()), Digest: table.Digest()}
	// A host that is still starting has more to come, whatever this page holds:
	// who pulls from it must not take the rest for not existing.
	if c, ok := table.(Completeness); ok {
		response.More = !c.Complete()
	}
	size := 0
	for _, o := range table.Since(store.Version(request.GetAfterVersion())) {
		if held[hashStrings(o.Kind, o.Name)] >= uint64(o.Version) {
			continue
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

// compareMembership asks for the whole membership when a digest goes on
// differing. News is passed on a bounded number of times and may miss a host;
// this heals it. While news is under way digests differ for a few seconds.
func (n *Node) compareMembership(from Member, digest uint64) {
	_, mine, _ := n.table.state()
	if !n.goesOnDiffering(mine, digest) || from.PeerAddress == "" || !n.syncLimit.Allow() {
		return
	}
	select {
	case n.syncs <- from:
	default: // one is waiting already
	}
}

// goesOnDiffering notes a digest heard, and reports whether it was heard first
// longer ago than news takes while our own has stayed the same.
//
// Failure: several hosts missed the same news. Their digests match each other,
// so counting from the last match would never let them ask the rest.
func (n *Node) goesOnDiffering(mine, heard uint64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.differed = mine != heard
	if n.digest != mine || len(n.otherDigests) > otherDigestsHeld {
		n.digest = mine
		clear(n.otherDigests)
	}
	if !n.differed {
		return false
	}
	first, known := n.otherDigests[heard]
	if !known {
		n.otherDigests[heard] = time.Now()
		return false
	}
	return time.Since(first) >= newsTime*n.options.ProbeInterval
}

// mismatched reports whether the last digest heard differed.
func (n *Node) mismatched() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.differed
}

// lacking returns the records that a host with these hashes lacks.
func (n *Node) lacking(have []uint64) []Member {
	held := make(map[uint64]bool, len(have))
	for _, hash := range have {
		held[hash] = true
	}
	var lacking []Member
	members, hashes := n.table.all()
	for i, m := range members {
		if !held[hashes[i]] {
			lacking = append(lacking, m)
		}
	}
	return lacking
}

// syncWith fetches the membership that the host at address has beyond ours.
func (n *Node) syncWith(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	_, hashes := n.table.all()
	request := &peerpb.SyncRequest{
		From: n.table.me().toProto(), Have: hashes, Leaving: leavingToProto(n.leaving.list(time.Now())),
		Suspects: suspectsToProto(n.options.Suspects.All()),
	}
	var response *peerpb.SyncResponse
	err := n.control.call(address, func(client peerpb.PeerClient) (err error) {
		response, err = client.Sync(ctx, request)
		return err
	})
	if err != nil {
		n.counters.syncs.WithLabelValues(resultFailed).Inc()
		return false
	}
	members := append(membersFromProto(response.GetMembers()), memberFromProto(response.GetFrom()))
	n.take(members)
	n.table.quiet(members)
	n.takeLeaving(response.GetLeaving())
	n.takeSuspects(response.GetSuspects())
	n.counters.syncs.WithLabelValues(resultDone).Inc()
	return true
}

// joinLoop asks the seeds, in random order, until some answer; from the first
// it pulls the whole configuration, so that a host that boots while the
// platform is away starts from its peers.
//
// Failure: hosts that start together join by different seeds and form parts
// that meet only by chance later. More than one seed is therefore asked.
func (n *Node) joinLoop(ctx context.Context) error {
	for {
		answered := 0
		for _, seed := range n.shuffledSeeds() {
			if answered == joinSeeds || !n.syncWith(ctx, seed) {
				continue
			}
			answered++
			n.joinedOnce.Do(func() {
				_, _ = n.pullFrom(ctx, seed)
				close(n.joined)
			})
		}
		if answered > 0 {
			signal(n.kick) // introduce this host
			return n.joinAgain(ctx)
		}
		if err := sleep.For(ctx, n.options.ProbeInterval); err != nil {
			return err
		}
	}
}

// joinAgain fetches the membership once more from a seed.
//
// Failure: a fleet starts together. Each host asks its seeds before these know
// the others, and the news of one of them misses a host. Until digests have
// differed for long enough, some seconds, it took duties for its own that were
// another's: one host in a thousand watched the store beside the three that do.
func (n *Node) joinAgain(ctx context.Context) error {
	if err := sleep.For(ctx, newsTime*n.options.ProbeInterval); err != nil {
		return err
	}
	for _, seed := range n.shuffledSeeds() {
		if n.syncWith(ctx, seed) {
			break
		}
	}
	return nil
}

func (n *Node) shuffledSeeds() []string {
	var seeds []string
	for _, seed := range n.options.Seeds {
		if seed != n.options.Self.PeerAddress {
			seeds = append(seeds, seed)
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.random.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	return seeds
}

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

// Call calls another service of a host, on the connections for requests and
// records. Errors: ErrUnknownHost, ErrHostGone, and those of f.
func (n *Node) Call(host string, f func(grpc.ClientConnInterface) error) error {
	member, err := n.lookUp(host)
	if err != nil {
		return err
	}
	return n.data.callConn(member.PeerAddress, func(c *pooledConn) error { return f(c.conn) })
}

// callData calls a host on the connections for requests and records.
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
