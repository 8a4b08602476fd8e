package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed wire.json
var wireNames []byte

// wire are the users' names of the headers and fields that the stand-ins speak. They stand in
// a file of their own, as the code of this repository has them in its adapter only.
var wire = func() (names struct {
	Attempt, Deadline, Expect, Stamp, Load string // headers
	Keys, Prefix, Cold, Copies             string // fields
}) {
	if err := json.Unmarshal(wireNames, &names); err != nil {
		fail("wire.json: %v", err)
	}
	return names
}()
