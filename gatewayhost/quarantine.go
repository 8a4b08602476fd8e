package gatewayhost

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/papayasail/papayasail/internal/sleep"
	"github.com/papayasail/papayasail/quarantine"
	"github.com/papayasail/papayasail/store"
)

const (
	msgQuarantineStored     = "quarantined requests stored"
	msgQuarantineNotStored  = "quarantined requests not stored; tried again"
	msgQuarantineUnreadable = "stored quarantined requests cannot be read"

	// nameOfQuarantine is the one object of its kind.
	nameOfQuarantine   = "requests"
	sourceOfQuarantine = "store"
	// mostStored bounds the object; those that end last are kept.
	mostStored = 512
	// staleness is how much later a host that has started reads the object
	// again: what it read at first may be some seconds old.
	staleness = 4 * time.Second
	// quarantineTimeout bounds one try to read or write the object.
	quarantineTimeout = 2 * time.Second
)

// storedQuarantine is the object's content.
type storedQuarantine struct {
	Requests []storedRequest `json:"requests"`
}

type storedRequest struct {
	Fingerprint string `json:"fingerprint"` // hexadecimal
	Epoch       uint32 `json:"epoch"`
	Crashes     uint32 `json:"crashes"`
	UntilMs     int64  `json:"until_unix_ms"`
}

func encodeQuarantine(records []quarantine.Record, now time.Time) ([]byte, error) {
	slices.SortFunc(records, func(a, b quarantine.Record) int { return cmp.Compare(b.Left, a.Left) })
	records = records[:min(len(records), mostStored)]
	content := storedQuarantine{Requests: make([]storedRequest, 0, len(records))}
	for _, r := range records {
		content.Requests = append(content.Requests, storedRequest{
			Fingerprint: strconv.FormatUint(r.Fingerprint, 16), Epoch: r.Epoch, Crashes: r.Crashes, UntilMs: now.Add(r.Left).UnixMilli(),
		})
	}
	return json.Marshal(content)
}

func decodeQuarantine(data []byte, now time.Time) ([]quarantine.Record, error) {
	var content storedQuarantine
	if err := json.Unmarshal(data, &content); err != nil {
		return nil, errors.Wrap(err, "gatewayhost: quarantined requests")
	}
	var records []quarantine.Record
	for _, r := range content.Requests {
		fingerprint, err := strconv.ParseUint(r.Fingerprint, 16, 64)
		if err != nil {
			return nil, errors.Wrap(err, "gatewayhost: fingerprint of a quarantined request")
		}
		records = append(records, quarantine.Record{
			Fingerprint: fingerprint, Epoch: r.Epoch, Crashes: r.Crashes, Left: time.UnixMilli(r.UntilMs).Sub(now),
		})
	}
	return records, nil
}

// keepQuarantine reads what the store has, twice, and writes what this host
// quarantines, until ctx ends. Other hosts hear of it from their peers; the
// store is for hosts that start while no peer lives.
func (h *Host) keepQuarantine(ctx context.Context) error {
	h.readQuarantine(ctx)
	reread := time.NewTimer(staleness)
	defer reread.Stop()
	backoff := store.Backoff{Initial: storeBackoff, Max: storeBackoffMax}
	for {
		var err error
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-reread.C:
			if !h.readQuarantine(ctx) {
				reread.Reset(staleness)
			}
			continue
		case <-h.quarantined:
			err = h.storeQuarantine(ctx)
		}
		if err == nil {
			backoff.Reset()
			continue
		}
		h.logger.Warn(msgQuarantineNotStored, zap.Error(err))
		h.noteQuarantined()
		if err := sleep.For(ctx, backoff.Next()); err != nil {
			return err
		}
	}
}

// noteQuarantined has what is quarantined written to the store soon.
func (h *Host) noteQuarantined() {
	select {
	case h.quarantined <- struct{}{}:
	default:
	}
}

// readQuarantine takes in what the store has, which may be some seconds old,
// and reports whether the store answered.
func (h *Host) readQuarantine(ctx context.Context) bool {
	objects, _, answered := h.listStale(ctx, h.options.Objects.Quarantine)
	for _, object := range objects {
		h.adoptQuarantine(object)
	}
	return answered
}

// adoptQuarantine takes in a stored object. One that cannot be read says
// nothing: anybody may have written it.
func (h *Host) adoptQuarantine(object store.Object) {
	records, err := decodeQuarantine(object.Value, time.Now())
	if err != nil {
		h.logger.Warn(msgQuarantineUnreadable, zap.Uint64("revision", uint64(object.Version)), zap.Error(err))
		return
	}
	h.quarantine.Merge(records, sourceOfQuarantine)
}

// storeQuarantine adds to the stored object what this host knows.
func (h *Host) storeQuarantine(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, quarantineTimeout)
	defer cancel()
	kind := h.options.Objects.Quarantine
	object, err := h.options.Store.Get(ctx, kind, nameOfQuarantine)
	if err != nil && !errors.Is(err, store.ErrNoObject) {
		return err
	}
	if err == nil {
		h.adoptQuarantine(object)
	}
	value, err := encodeQuarantine(h.quarantine.All(), time.Now())
	if err != nil {
		return err
	}
	revision, err := h.options.Store.Put(ctx, kind, nameOfQuarantine, value, object.Version)
	if err != nil {
		return err
	}
	h.logger.Info(msgQuarantineStored, zap.Uint64("revision", uint64(revision)), zap.Int("bytes", len(value)))
	return nil
}
