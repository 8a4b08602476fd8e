package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed wire.json
var wireNames []byte

// wire are the users' names of headers and fields. They stand in a file of their own, since
// the code of this repository has them in its adapter only.
var wire = func() (names struct {
	Attempt, Deadline, Tokens, Parts, Stamp, Expect, NotRun, Load, Organisation string // headers
	Prefix, Keys, Cold, Copies                                                  string // fields
}) {
	if err := json.Unmarshal(wireNames, &names); err != nil {
		panic(err) // the file is part of the program
	}
	return names
}()
