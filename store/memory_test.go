package store_test

import (
	"testing"

	"github.com/papayasail/papayasail/store"
	"github.com/papayasail/papayasail/store/storetest"
)

func TestMemoryConformance(t *testing.T) {
	storetest.Conformance(t, func(*testing.T) storetest.Subject {
		memory := store.NewMemory()
		return storetest.Subject{Store: memory, Memory: memory}
	})
}
