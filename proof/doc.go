// Package proof runs complete entry hosts, with their relay, records, peers and
// configuration, against simulated backend servers over an in-memory network.
// A simple oracle checks the responses that callers received and the runs that
// the backend servers executed. docs/PROOF.md lists the test for each
// guarantee. All code in this package has to run inside a testing/synctest
// bubble, that is, in virtual time.
package proof
