package gatewayhost

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/papayasail/papayasail/domain"
	"github.com/papayasail/papayasail/internal/sleep"
	"github.com/papayasail/papayasail/quarantine"
	"github.com/papayasail/papayasail/store"
)

const (
	msgQuarantineStored     = "quarantined requests stored"
	msgQuarantineNotStored  = "quarantined requests not stored; tried again"
	msgQuarantineUnreadable = "stored quarantined requests cannot be read"

	// quarantineName is the name of the single object of its kind.
	quarantineName   = "requests"
	quarantineSource = "store"
	// maxStoredRequests bounds the number of records in the object; parts of prompts, then
	// requests whose quarantine ends last are kept.
	maxStoredRequests = 512
	// quarantineRereadDelay is the delay after which a started host reads the
	// object again: the first read may have returned data that is some seconds
	// old.
	quarantineRereadDelay = 4 * time.Second
	// quarantineTimeout bounds one attempt to update the object: a read and a
	// write.
	quarantineTimeout = 2 * time.Second
)

// storedQuarantine is the content of the quarantine object.
type storedQuarantine struct {
	Requests []storedRequest `json:"requests"`
}

type storedRequest struct {
	Fingerprint string `json:"fingerprint"` // hexadecimal
	Part        bool   `json:"part,omitempty"`
	Epoch       uint32 `json:"epoch"`
	Crashes     uint32 `json:"crashes"`
	Weak        uint32 `json:"weak,omitempty"`
	UntilMs     int64  `json:"until_unix_ms"`
}

func encodeQuarantine(records []quarantine.Record, now time.Time) ([]byte, error) {
	slices.SortFunc(records, func(a, b quarantine.Record) int {
		switch {
		case a.Part && !b.Part:
			return -1
		case b.Part && !a.Part:
			return 1
		}
		return cmp.Compare(b.Remaining, a.Remaining)
	})
	records = records[:min(len(records), maxStoredRequests)]
	content := storedQuarantine{Requests: make([]storedRequest, 0, len(records))}
	for _, r := range records {
		content.Requests = append(content.Requests, storedRequest{
			Fingerprint: strconv.FormatUint(r.Fingerprint, 16), Part: r.Part, Epoch: r.Epoch, Crashes: r.Crashes, Weak: r.Weak, UntilMs: now.Add(r.Remaining).UnixMilli(),
		})
	}
	return json.Marshal(content)
}

func decodeQuarantine(data []byte, now time.Time) ([]quarantine.Record, error) {
	var content storedQuarantine
	if err := json.Unmarshal(data, &content); err != nil {
		return nil, errors.Wrap(err, "gatewayhost: decode quarantined requests")
	}
	var records []quarantine.Record
	for _, r := range content.Requests {
		fingerprint, err := strconv.ParseUint(r.Fingerprint, 16, 64)
		if err != nil {
			return nil, errors.Wrap(err, "gatewayhost: decode fingerprint of a quarantined request")
		}
		records = append(records, quarantine.Record{
			Fingerprint: fingerprint, Part: r.Part, Epoch: r.Epoch, Crashes: r.Crashes, Weak: r.Weak, Remaining: time.UnixMilli(r.UntilMs).Sub(now),
		})
	}
	return records, nil
}

// syncQuarantine synchronises the quarantine with the store until ctx ends: it
// reads the stored object at startup and again after quarantineRereadDelay,
// repeats the second read until the store answers, and updates the object when
// this host's quarantine changes. Running hosts receive changes by gossip; the
// stored object is for hosts that start while no peer is alive, and for those that
// are cut off from their peers and therefore watch the store.
func (h *Host) syncQuarantine(ctx context.Context) error {
	h.readQuarantine(ctx)
	reread := time.NewTimer(quarantineRereadDelay)
	defer reread.Stop()
	backoff := store.Backoff{Initial: storeBackoff, Max: storeBackoffMax}
	for {
		var err error
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-reread.C:
			if !h.readQuarantine(ctx) {
				reread.Reset(quarantineRereadDelay)
			}
			continue
		case <-h.quarantineDirty:
			err = h.storeQuarantine(ctx)
		}
		if err == nil {
			backoff.Reset()
			continue
		}
		h.logger.Warn(msgQuarantineNotStored, zap.Error(err))
		h.scheduleQuarantineWrite()
		if err := sleep.For(ctx, backoff.Next()); err != nil {
			return err
		}
	}
}

// isTrialHost reports whether this host tries requests with a quarantined or suspected part.
// A host that has not met its peers yet would be the one for every part.
func (h *Host) isTrialHost(part uint64) bool {
	return !h.fleet.Sharers().Joining() && domain.TrialHost(h.Members(), part) == h.options.Name
}

// scheduleQuarantineWrite schedules a write of the quarantine to the store.
func (h *Host) scheduleQuarantineWrite() {
	select {
	case h.quarantineDirty <- struct{}{}:
	default:
	}
}

// readQuarantine merges the stored quarantine, from a read that may be some
// seconds old, and reports whether the store answered.
func (h *Host) readQuarantine(ctx context.Context) bool {
	objects, _, _, err := h.listStale(ctx, h.options.Objects.Quarantine, 0)
	for _, object := range objects {
		h.mergeQuarantine(object)
	}
	return err == nil
}

// mergeQuarantine merges a stored object and returns its records. One that cannot be
// decoded is ignored, as another writer may have overwritten it.
func (h *Host) mergeQuarantine(object store.Object) []quarantine.Record {
	records, err := decodeQuarantine(object.Value, time.Now())
	if err != nil {
		h.logger.Warn(msgQuarantineUnreadable, zap.Uint64("revision", uint64(object.Version)), zap.Error(err))
		return nil
	}
	h.quarantine.Merge(records, quarantineSource)
	return records
}

// sameRecords reports whether two lists have the same records, regardless of their
// order and of the time that remains.
func sameRecords(a, b []quarantine.Record) bool {
	set := func(records []quarantine.Record) map[quarantine.Record]bool {
		all := make(map[quarantine.Record]bool, len(records))
		for _, r := range records {
			r.Remaining = 0
			all[r] = true
		}
		return all
	}
	return maps.Equal(set(a), set(b))
}

// storeQuarantine merges the stored object with this host's quarantine and
// writes the result.
func (h *Host) storeQuarantine(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, quarantineTimeout)
	defer cancel()
	kind := h.options.Objects.Quarantine
	object, err := h.options.Store.Get(ctx, kind, quarantineName)
	if err != nil && !errors.Is(err, store.ErrNoObject) {
		return err
	}
	var stored []quarantine.Record
	if err == nil {
		stored = h.mergeQuarantine(object)
	}
	current := h.quarantine.All()
	if sameRecords(stored, current) {
		return nil // another host has stored the same change
	}
	value, err := encodeQuarantine(current, time.Now())
	if err != nil {
		return err
	}
	revision, err := h.options.Store.Put(ctx, kind, quarantineName, value, object.Version)
	if err != nil {
		return err
	}
	h.logger.Info(msgQuarantineStored, zap.Uint64("revision", uint64(revision)), zap.Int("bytes", len(value)))
	return nil
}
