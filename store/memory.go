package store

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/internal/sleep"
)

// Memory is an in-memory Store with fault injection. It simulates the platform's
// metadata store in tests and stand-ins.
type Memory struct {
	// WatchLimit is how long Watch waits for a change. Set it before first use.
	WatchLimit time.Duration
	// KeepEvents is how many changes are kept for Watch. Set it before first use.
	KeepEvents int

	mu        sync.Mutex // guards all below
	objects   map[objectKey]Object
	revision  Version
	events    []Object      // the last changes, in order
	compacted Version       // changes up to this version are no longer in events
	changed   chan struct{} // closed and replaced at each change of objects, history or faults
	faults    Faults
	calls     uint64
}

type objectKey struct{ kind, name string }

// Faults are the failures injected into a simulated store.
type Faults struct {
	// Outage refuses every call; nothing is written.
	Outage bool `json:"outage"`
	// Silent accepts every call and answers none; pending watches end.
	Silent bool `json:"silent"`
	// Slow delays every call, including watches.
	Slow time.Duration `json:"slow_ns"`
	// LoseAnswers is how many of the next calls of Put are executed but answered
	// with ErrOutcomeUnknown.
	LoseAnswers int `json:"lose_answers"`
	// LoseRequests is how many of the next calls of Put have no effect and are
	// answered with ErrOutcomeUnknown; the caller cannot distinguish them from
	// lost answers.
	LoseRequests int `json:"lose_requests"`
}

const (
	defaultWatchLimit = 30 * time.Second
	defaultKeepEvents = 4096
)

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{
		WatchLimit: defaultWatchLimit,
		KeepEvents: defaultKeepEvents,
		objects:    map[objectKey]Object{},
		changed:    make(chan struct{}),
	}
}

// SetFaults replaces the injected faults. Outage and Silent end pending watches.
func (m *Memory) SetFaults(faults Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = faults
	m.wakeWatches()
}

// Faults returns the faults that are currently injected.
func (m *Memory) Faults() Faults {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faults
}

// Calls returns how many calls arrived; a long-poll watch counts as one.
func (m *Memory) Calls() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

// Get implements Store.
func (m *Memory) Get(ctx context.Context, kind, name string) (Object, error) {
	if err := m.beginCall(ctx); err != nil {
		return Object{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	object, ok := m.objects[objectKey{kind, name}]
	if !ok {
		return Object{}, ErrNoObject
	}
	return clone(object), nil
}

// Set writes an object regardless of its version and of the faults. It simulates
// writes by the platform's operators and servers.
func (m *Memory) Set(kind, name string, value []byte) Version {
	return m.overwrite(Object{Kind: kind, Name: name, Value: value})
}

// Remove deletes an object regardless of its version and of the faults.
func (m *Memory) Remove(kind, name string) {
	m.overwrite(Object{Kind: kind, Name: name, Deleted: true})
}

func (m *Memory) overwrite(object Object) Version {
	m.mu.Lock()
	defer m.mu.Unlock()
	current := m.objects[objectKey{object.Kind, object.Name}].Version
	if object.Deleted && current == 0 {
		return 0
	}
	version, err := m.write(object, current)
	if err != nil {
		panic(err) // the version is the current one, as mu is held
	}
	return version
}

// Compact discards the whole history of changes, as the platform occasionally does.
func (m *Memory) Compact() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.events, m.compacted = nil, m.revision
	m.wakeWatches()
}

// Copy is the content of a Memory at some moment.
type Copy struct {
	objects  map[objectKey]Object
	revision Version
}

// Copy returns a copy of the content.
func (m *Memory) Copy() *Copy {
	m.mu.Lock()
	defer m.mu.Unlock()
	return &Copy{maps.Clone(m.objects), m.revision}
}

// Restore replaces the content by an older copy and begins a new era: everything
// written since is gone, and revisions go back to that of the copy.
func (m *Memory) Restore(c *Copy) {
	m.mu.Lock()
	defer m.mu.Unlock()
	era := m.revision.Era() + 1
	m.revision = NewVersion(era, c.revision.Revision())
	m.objects = make(map[objectKey]Object, len(c.objects))
	for key, object := range c.objects {
		object.Version = NewVersion(era, object.Version.Revision())
		m.objects[key] = object
	}
	m.events, m.compacted = nil, m.revision
	m.wakeWatches()
}

// Era returns how often Restore was called.
func (m *Memory) Era() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision.Era()
}

// Put implements Store. With Slow set, a write takes effect even if its caller has
// given up in the meantime.
func (m *Memory) Put(ctx context.Context, kind, name string, value []byte, expect Version) (Version, error) {
	if len(value) > MaxValueBytes {
		return 0, errors.Newf("platform: value of %d bytes is over the limit of %d", len(value), MaxValueBytes)
	}
	slow := m.countCall()
	if m.Faults().Silent {
		<-ctx.Done()
		return 0, errors.Mark(ctx.Err(), ErrOutcomeUnknown)
	}
	object := Object{Kind: kind, Name: name, Value: slices.Clone(value)}
	if slow == 0 {
		return m.put(object, expect)
	}
	type answer struct {
		version Version
		err     error
	}
	answers := make(chan answer, 1)
	go func() {
		time.Sleep(slow)
		version, err := m.put(object, expect)
		answers <- answer{version, err}
	}()
	select {
	case a := <-answers:
		return a.version, a.err
	case <-ctx.Done():
		return 0, errors.Mark(ctx.Err(), ErrOutcomeUnknown)
	}
}

// put applies a conditional write, subject to the faults.
func (m *Memory) put(object Object, expect Version) (Version, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.Outage {
		return 0, ErrUnavailable
	}
	if m.faults.LoseRequests > 0 {
		m.faults.LoseRequests--
		return 0, ErrOutcomeUnknown
	}
	version, err := m.write(object, expect)
	if m.faults.LoseAnswers > 0 {
		m.faults.LoseAnswers--
		return 0, ErrOutcomeUnknown
	}
	return version, err
}

// Delete removes an object if its version is expect, and leaves a watch event.
// It is not part of Store, because only the platform's operators delete objects.
func (m *Memory) Delete(ctx context.Context, kind, name string, expect Version) (Version, error) {
	if err := m.beginCall(ctx); err != nil {
		return 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.write(Object{Kind: kind, Name: name, Deleted: true}, expect)
}

// List implements Store.
func (m *Memory) List(ctx context.Context, kind string) ([]Object, Version, error) {
	if err := m.beginCall(ctx); err != nil {
		return nil, 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var objects []Object
	for key, object := range m.objects {
		if key.kind == kind {
			objects = append(objects, clone(object))
		}
	}
	slices.SortFunc(objects, func(a, b Object) int { return strings.Compare(a.Name, b.Name) })
	return objects, m.revision, nil
}

// Watch implements Store.
func (m *Memory) Watch(ctx context.Context, kind string, after Version) ([]Object, Version, error) {
	if err := m.beginCall(ctx); err != nil {
		return nil, 0, err
	}
	limit := time.NewTimer(m.WatchLimit)
	defer limit.Stop()
	for {
		objects, revision, changed, err := m.eventsAfter(kind, after)
		if err != nil || len(objects) > 0 {
			return objects, revision, err
		}
		select {
		case <-changed:
		case <-limit.C:
			return nil, revision, nil
		case <-ctx.Done():
			return nil, 0, errors.Mark(ctx.Err(), ErrUnavailable)
		}
	}
}

// Changes implements Checker.
func (m *Memory) Changes(ctx context.Context, kind string, after Version) ([]Object, Version, error) {
	if err := m.beginCall(ctx); err != nil {
		return nil, 0, err
	}
	objects, revision, _, err := m.eventsAfter(kind, after)
	return objects, revision, err
}

// eventsAfter returns the changes of a kind after a revision, the revision that
// they reach, and the channel that is closed at the next change.
func (m *Memory) eventsAfter(kind string, after Version) ([]Object, Version, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.Outage || m.faults.Silent {
		return nil, 0, nil, ErrUnavailable
	}
	if after < m.compacted || after > m.revision {
		return nil, 0, nil, ErrCompacted
	}
	var objects []Object
	for _, event := range m.events {
		if event.Kind == kind && event.Version > after {
			objects = append(objects, clone(event))
		}
	}
	return objects, m.revision, m.changed, nil
}

// countCall counts a call and returns the injected delay.
func (m *Memory) countCall() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	return m.faults.Slow
}

// beginCall counts a call and applies the faults Slow, Silent and Outage.
func (m *Memory) beginCall(ctx context.Context) error {
	if err := sleep.For(ctx, m.countCall()); err != nil {
		return errors.Mark(err, ErrUnavailable)
	}
	if m.Faults().Silent {
		<-ctx.Done()
		return errors.Mark(ctx.Err(), ErrUnavailable)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.Outage {
		return ErrUnavailable
	}
	return nil
}

// write applies a conditional write. The caller holds mu.
func (m *Memory) write(object Object, expect Version) (Version, error) {
	key := objectKey{object.Kind, object.Name}
	if current := m.objects[key].Version; current != expect {
		return 0, &VersionError{Current: current}
	}
	m.revision++
	object.Version = m.revision
	object.Value = slices.Clone(object.Value)
	if object.Deleted {
		delete(m.objects, key)
	} else {
		m.objects[key] = object
	}
	m.events = append(m.events, object)
	if extra := len(m.events) - m.KeepEvents; extra > 0 {
		m.compacted = m.events[extra-1].Version
		m.events = slices.Delete(m.events, 0, extra)
	}
	m.wakeWatches()
	return object.Version, nil
}

// wakeWatches makes pending watches check for changes and faults. The caller
// holds mu.
func (m *Memory) wakeWatches() {
	close(m.changed)
	m.changed = make(chan struct{})
}

func clone(object Object) Object {
	object.Value = slices.Clone(object.Value)
	return object
}
