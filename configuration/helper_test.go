package configuration

import (
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/contract"
	"github.com/papayasail/papayasail/store"
)

// parseTest is a Parser of the form "SERVICE OWNER"; other text is an error.
func parseTest(_ string, data []byte) (*contract.Document, error) {
	service, owner, ok := strings.Cut(string(data), " ")
	if !ok {
		return nil, errors.New("bad document")
	}
	return &contract.Document{Service: service, Owner: owner}, nil
}

func object(name, document string, version store.Version) store.Object {
	value, err := Envelope{Document: document}.Encode()
	if err != nil {
		panic(err)
	}
	return store.Object{Kind: Kind, Name: name, Version: version, Value: value}
}
