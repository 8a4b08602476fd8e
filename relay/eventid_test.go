package relay

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

var testRef = GenerationRef{Organisation: "dsi", Service: "outlook", Server: "10.0.1.1:8000", Generation: "g"}

// Guards against a changed or forged event id: to resume from it would reveal
// another organisation's generation or skip tokens.
func FuzzParseEventID(f *testing.F) {
	signer := NewSigner([]byte("key"), []byte("old key"))
	valid := signer.ForGeneration(testRef).EventIDAt(7)
	f.Add(valid)
	f.Add("1..0.")
	f.Add("")
	f.Add(strings.Replace(valid, ".7.", ".8.", 1))
	f.Fuzz(func(t *testing.T, id string) {
		parsed, err := signer.Parse(id)
		if err != nil {
			return
		}
		if signer.ForGeneration(parsed.GenerationRef).EventIDAt(parsed.Next) != id && NewSigner([]byte("old key")).ForGeneration(parsed.GenerationRef).EventIDAt(parsed.Next) != id {
			t.Fatalf("accepted %q, which was never signed", id)
		}
	})
}

func TestEventIDRoundTrip(t *testing.T) {
	is := is.New(t)
	for _, next := range []int{0, 1, 35, 36, 1 << 20} {
		id, err := NewSigner([]byte("new"), []byte("key")).Parse(NewSigner([]byte("key")).ForGeneration(testRef).EventIDAt(next))
		is.NoErr(err) // signed by a host that does not have the new key yet
		is.Equal(id, EventID{GenerationRef: testRef, Next: next})
	}
}

func TestParseRefusesForgedOrChangedEventID(t *testing.T) {
	is := is.New(t)
	signer := NewSigner([]byte("key"))
	id := signer.ForGeneration(testRef).EventIDAt(7)
	for at := range id {
		changed := []byte(id)
		changed[at] ^= 1
		_, err := signer.Parse(string(changed))
		is.Equal(err, ErrEventID)
	}
	_, err := NewSigner([]byte("other")).Parse(id)
	is.Equal(err, ErrEventID)
}
