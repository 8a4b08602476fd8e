package record

import (
	"context"
	"sync"
	"time"

	"github.com/papayasail/papayasail/contract"
)

const entryOverheadBytes = 400 // map slot, entry and key, rounded up

// Defaults of Options.
const (
	DefaultEpoch        = 5 * time.Minute
	DefaultRetainEpochs = 6
	DefaultMaxBytes     = 16 << 20
)

// Fingerprint identifies the content of a request. It serves to detect a key that
// is reused for another request.
type Fingerprint [32]byte

// Options configure a Ledger. Zero values select the defaults.
type Options struct {
	Host        string
	Incarnation uint64
	// EpochLength is the length of an epoch, during which a home returned with the
	// addresses stays current. A key may start a request during the epoch of its
	// home and the following one.
	EpochLength time.Duration
	// RetainEpochs is the number of epochs for which a record is kept after the
	// last moment at which its key could start a request. If the ledger is full, a
	// record may be dropped as soon as its key can no longer start a request.
	RetainEpochs uint64
	// MaxBytes bounds the memory of records, in bytes. MaxRecords bounds their
	// number; zero means that only MaxBytes applies. Records of other hosts are
	// adopted even above both bounds, but above MaxBytes without their answers.
	MaxBytes   int
	MaxRecords int
}

// Ledger holds the records of one incarnation of an entry host, and the records
// that stopping hosts handed over to it. It is safe for concurrent use.
//
// Guards against running a request twice: a key runs only in the process that is
// its home, and only while its record cannot have been evicted. A key older than
// the previous epoch is never started, so the eviction of its record cannot lead
// to a second run; its outcome is then "unknown".
type Ledger struct {
	options Options
	start   time.Time // creation time, with wall and monotonic clock readings

	mu             sync.Mutex           // guards all below
	entries        map[recordKey]*Entry // own and adopted
	adoptions      map[string]*adoption // hand-overs received from other hosts, by Home.IncarnationID
	bytes          int                  // sum of Entry.bytes
	closed         bool                 // set by Close: no new request starts
	running        int                  // entries begun and not finished
	idle           chan struct{}        // closed once closed is set and running is zero
	entriesByEpoch map[uint64][]*Entry  // own entries by the epoch of their key, for eviction
	oldestEpoch    uint64               // lowest epoch that may still be in entriesByEpoch
}

type recordKey struct {
	organisation string
	key          string
}

// adoption is the hand-over of one incarnation of a stopped host.
type adoption struct {
	home     Home      // its epoch is that of the first page, or the maximum if a record could not be decoded
	complete bool      // the last page has arrived
	expires  time.Time // when the entries are evicted
	entries  []*Entry
}

// Entry is the record of one request.
type Entry struct {
	ledger      *Ledger
	id          recordKey
	key         Key
	fingerprint Fingerprint
	done        chan struct{} // closed once answer is set
	answer      Answer        // guarded by Ledger.mu; valid after done is closed
	bytes       int           // guarded by Ledger.mu
}

// NewLedger returns an empty ledger.
func NewLedger(options Options) *Ledger {
	if options.EpochLength <= 0 {
		options.EpochLength = DefaultEpoch
	}
	if options.RetainEpochs == 0 {
		options.RetainEpochs = DefaultRetainEpochs
	}
	if options.MaxBytes <= 0 {
		options.MaxBytes = DefaultMaxBytes
	}
	start := time.Now()
	return &Ledger{
		options:        options,
		start:          start,
		oldestEpoch:    EpochAt(start, options.EpochLength) - 1,
		entries:        make(map[recordKey]*Entry),
		adoptions:      make(map[string]*adoption),
		entriesByEpoch: make(map[uint64][]*Entry),
		idle:           make(chan struct{}),
	}
}

// Home returns this ledger's home in the current epoch. New keys use it.
func (l *Ledger) Home() Home {
	return Home{Host: l.options.Host, Incarnation: l.options.Incarnation, Epoch: l.epoch()}
}

// EpochLength returns the length of an epoch.
func (l *Ledger) EpochLength() time.Duration { return l.options.EpochLength }

// epoch returns the current epoch. It starts from the wall clock, so that other
// entry hosts can compute it, and advances by the monotonic clock: a wall clock
// that is set back must not return to an epoch whose records were evicted.
func (l *Ledger) epoch() uint64 {
	return EpochAt(l.start.Add(time.Since(l.start)), l.options.EpochLength)
}

// EpochAt returns the number of the epoch at now for epochs of the given length.
// It relies on a correct wall clock.
func EpochAt(now time.Time, length time.Duration) uint64 {
	return uint64(now.UnixNano() / int64(length))
}

// AnswersFor reports whether this ledger answers for keys of the home: keys of its own
// incarnation or of an adopted one.
func (l *Ledger) AnswersFor(home Home) bool {
	if home.SameIncarnation(l.Home()) {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.adoptions[home.IncarnationID()] != nil
}

// NeverRan reports whether it is certain that the request of a key did not run:
// this ledger answers for the key's home, has no record of the key, and cannot
// have evicted one.
func (l *Ledger) NeverRan(organisation string, key Key) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.entries[recordKey{organisation: organisation, key: key.String()}] != nil {
		return false
	}
	refusal := l.checkStart(key)
	return refusal == nil || refusal.Outcome == contract.OutcomeNotRun
}

// Begin looks up a key and creates an entry if there is none. It returns the
// entry and whether it is new. The caller must run the request of a new entry and
// call Finish; for an existing entry, Wait returns the answer. A refusal means
// that no entry was created.
func (l *Ledger) Begin(organisation string, key Key, fingerprint Fingerprint) (*Entry, bool, *contract.Refusal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	id := recordKey{organisation: organisation, key: key.String()}
	if entry := l.entries[id]; entry != nil {
		if entry.fingerprint != fingerprint {
			return nil, false, contract.NotRun(contract.ReasonKeyReused, 0, "the key was used for another request; this one did not run").WithStatus(422)
		}
		return entry, false, nil
	}
	if refusal := l.checkStart(key); refusal != nil {
		return nil, false, refusal
	}
	l.evict(l.epoch())
	if l.full() {
		return nil, false, contract.NotRun(contract.ReasonRecordsFull, l.untilNextEpoch(), "too many recent non-idempotent requests")
	}
	entry := &Entry{ledger: l, id: id, key: key, fingerprint: fingerprint, done: make(chan struct{}), bytes: entryOverheadBytes}
	l.entries[id] = entry
	l.entriesByEpoch[key.Home.Epoch] = append(l.entriesByEpoch[key.Home.Epoch], entry)
	l.bytes += entry.bytes
	l.running++
	return entry, true, nil
}

// checkStart returns nil if a key without a record may start a request, else the
// refusal. Callers hold mu.
func (l *Ledger) checkStart(key Key) *contract.Refusal {
	if !key.Home.SameIncarnation(l.Home()) {
		return l.refuseAdopted(key)
	}
	now := l.epoch()
	switch {
	case key.Home.Epoch > now+1: // not begun; the next epoch may come from a host whose clock is ahead
		return contract.NotRun(contract.ReasonKeyInvalid, 0, "the key's home was never handed out").WithStatus(400)
	case key.Home.Epoch+1 < now:
		// The record of this key may have been evicted, so it may have run.
		return contract.Unknown(contract.ReasonHomeGone, 0, "the key is too old to tell whether it ran").WithStatus(410)
	case l.closed:
		return contract.NotRun(contract.ReasonKeyUnused, time.Second, "the entry host is stopping; ask for addresses and use a new key")
	}
	return nil
}

// refuseAdopted returns the refusal of a key of another incarnation that has no
// record here. Callers hold mu.
func (l *Ledger) refuseAdopted(key Key) *contract.Refusal {
	adopted := l.adoptions[key.Home.IncarnationID()]
	if adopted == nil || !adopted.complete || key.Home.Epoch+1 < adopted.home.Epoch {
		return contract.Unknown(contract.ReasonHomeGone, 0, "the entry host that could tell is gone").WithStatus(410)
	}
	// The host closed its ledger before the hand-over, and the hand-over includes
	// the records of its last two epochs. A key of these or later epochs that has no
	// record did not run.
	return contract.NotRun(contract.ReasonKeyUnused, time.Second, "the key's entry host has stopped and had not run it; ask for addresses and use a new key")
}

func (l *Ledger) untilNextEpoch() time.Duration {
	now := l.start.Add(time.Since(l.start))
	return l.options.EpochLength - time.Duration(now.UnixNano()%int64(l.options.EpochLength))
}

// evict drops the records of epochs past retention and of expired hand-overs. If
// the ledger is full, it also drops records within retention whose keys can no
// longer start a request, oldest epoch first. Callers hold mu.
func (l *Ledger) evict(now uint64) {
	for ; l.oldestEpoch+1 < now; l.oldestEpoch++ {
		kept := l.oldestEpoch+1+l.options.RetainEpochs >= now
		if kept && !l.full() {
			break
		}
		for _, entry := range l.entriesByEpoch[l.oldestEpoch] {
			l.drop(entry)
		}
		delete(l.entriesByEpoch, l.oldestEpoch)
	}
	for incarnationID, adopted := range l.adoptions {
		if time.Now().After(adopted.expires) {
			for _, entry := range adopted.entries {
				l.drop(entry)
			}
			delete(l.adoptions, incarnationID)
		}
	}
}

// full reports whether one more record would exceed a bound. Callers hold mu.
func (l *Ledger) full() bool {
	return l.bytes+entryOverheadBytes > l.options.MaxBytes ||
		(l.options.MaxRecords > 0 && len(l.entries) >= l.options.MaxRecords)
}

func (l *Ledger) drop(entry *Entry) {
	if l.entries[entry.id] != entry {
		return
	}
	delete(l.entries, entry.id)
	l.bytes -= entry.bytes
}

// Finish sets the answer that all callers of Wait get. If it does not fit in memory,
// all of them, the first included, get "unknown" instead. An entry whose answer is
// "not run" is then removed, so that the same key may start the request again.
func (e *Entry) Finish(answer Answer) {
	l := e.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	e.answer = answer
	close(e.done)
	l.running--
	if answer.Refusal != nil && answer.Refusal.Outcome == contract.OutcomeNotRun {
		l.drop(e)
	} else if l.entries[e.id] == e {
		e.accountMemory()
	}
	l.signalIdle()
}

// accountMemory adds the answer's size to the ledger's memory use. An answer that
// would exceed the bound is replaced by "unknown". The entry stays, so the request
// still cannot run twice. Callers hold Ledger.mu.
func (e *Entry) accountMemory() {
	l := e.ledger
	size := e.answer.size()
	if l.bytes-e.bytes+size > l.options.MaxBytes {
		e.answer = Answer{Refusal: contract.Unknown(contract.ReasonRecordsFull, 0, "the request ran; its answer was too large to keep")}
		size = e.answer.size()
	}
	l.bytes += size - e.bytes
	e.bytes = size
}

// Wait waits for the answer and returns it, or the error of ctx if that ends
// first.
func (e *Entry) Wait(ctx context.Context) (Answer, error) {
	select {
	case <-e.done:
		e.ledger.mu.Lock()
		defer e.ledger.mu.Unlock()
		return e.answer, nil
	case <-ctx.Done():
		return Answer{}, ctx.Err()
	}
}

// Close stops the ledger from starting new requests. Running requests continue.
func (l *Ledger) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.signalIdle()
}

// Idle returns a channel that is closed once the ledger is closed and no request
// runs.
func (l *Ledger) Idle() <-chan struct{} { return l.idle }

func (l *Ledger) signalIdle() {
	if !l.closed || l.running > 0 {
		return
	}
	select {
	case <-l.idle:
	default:
		close(l.idle)
	}
}
