package engine

import (
	"math"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// drawLength draws an output length in tokens from a log-normal distribution: most
// generations are short, a few are very long. The same seed and id give the same
// length.
func drawLength(config Config, generationID string) int {
	random := rand.New(rand.NewPCG(config.Seed, xxhash.Sum64String(generationID)))
	tokens := float64(config.MedianTokens) * math.Exp(config.LengthSigma*random.NormFloat64())
	return max(1, min(int(tokens), config.MaxTokens))
}
