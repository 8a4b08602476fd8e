package relay

import "github.com/cespare/xxhash/v2"

// prefixBytes are the lengths of the prefixes of a prompt that other requests may share.
// Each is at most half as long again as the previous one, so that a shared beginning
// contains a prefix that covers most of it.
var prefixBytes = []int{
	64, 96, 128, 192, 256, 384, 512, 768, 1 << 10, 1536, 2 << 10, 3 << 10, 4 << 10, 6 << 10, 8 << 10, 12 << 10,
	16 << 10, 24 << 10, 32 << 10, 48 << 10, 64 << 10,
}

// promptParts returns the identities of the prefixes of a prompt at a service, in
// ascending order, without the prompt itself.
func promptParts(service, prompt string) []uint64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(service)
	_, _ = hash.Write([]byte{0})
	var parts []uint64
	hashed := 0
	for _, end := range prefixBytes {
		if end >= len(prompt) {
			break
		}
		_, _ = hash.WriteString(prompt[hashed:end])
		hashed = end
		parts = append(parts, hash.Sum64())
	}
	return parts
}
