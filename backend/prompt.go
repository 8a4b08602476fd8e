package backend

import "github.com/cespare/xxhash/v2"

const (
	// PrefixBytes is the number of bytes of a prompt that its prefix hash covers.
	PrefixBytes   = 256
	bytesPerToken = 4
)

// PromptTokens estimates the number of tokens of a prompt: its bytes divided by
// four, rounded up.
func PromptTokens(prompt string) int { return (len(prompt) + bytesPerToken - 1) / bytesPerToken }

// PrefixHash returns the hash that identifies a prompt's prefix in cache events:
// xxhash64 of its first PrefixBytes bytes.
func PrefixHash(prompt string) uint64 {
	return xxhash.Sum64String(prompt[:min(len(prompt), PrefixBytes)])
}
