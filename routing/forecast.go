package routing

import "math"

// forecast is the expected memory of a set of generations at each horizon and
// its variance, in tokens and tokens squared. Generations are assumed to end
// independently, so forecasts can be added.
type forecast struct {
	mean     [horizonCount]float64
	variance [horizonCount]float64
}

// add adds another forecast, multiplied by factor.
func (f *forecast) add(other *forecast, factor float64) {
	for k := range f.mean {
		f.mean[k] += factor * other.mean[k]
		f.variance[k] += factor * other.variance[k]
	}
}

// clamp limits the mean to capacity and the variance to its maximum on
// [0, capacity].
func (f *forecast) clamp(capacity float64) {
	for k := range f.mean {
		f.mean[k] = min(f.mean[k], capacity)
		f.variance[k] = min(f.variance[k], capacity*capacity/4)
	}
}

// generationForecast returns the forecast of one generation with the given
// numbers of prompt tokens and of tokens produced so far. The generation ends at
// maxTokens at the latest (0: no limit).
func generationForecast(table *survival, prompt, produced, maxTokens int) forecast {
	var f forecast
	reached := 1.0
	if produced > 0 {
		reached = table.longerThan(float64(produced))
	}
	for k, horizon := range horizons {
		total := produced + horizon
		chance := 0.0
		switch {
		case horizon == 0:
			chance = 1
		case maxTokens > 0 && total >= maxTokens:
		case produced == 0:
			chance = table.fromStart[k] // precomputed, because each decision needs it and it takes a logarithm
		case reached > 0:
			chance = table.longerThan(float64(total)) / reached
		}
		size := float64(prompt + total)
		f.mean[k] = size * chance
		f.variance[k] = size * size * chance * (1 - chance)
	}
	return f
}

// otherHostsForecast returns the forecast of the generations that other hosts run
// on a server. Reports contain their number and total memory, but not the
// progress of each one.
func otherHostsForecast(table *survival, running, held float64) forecast {
	var f forecast
	if running <= 0 {
		f.mean[0] = held
		return f
	}
	average := held / running
	for k, horizon := range horizons {
		chance := table.residual[k]
		size := average + float64(horizon)
		f.mean[k] = running * size * chance
		f.variance[k] = running * size * size * chance * (1 - chance)
	}
	return f
}

// fits reports whether the mean plus z standard deviations stays within capacity
// at each horizon. spare is the share of the capacity that remains at the
// tightest horizon.
func (f *forecast) fits(capacity, z float64) (spare float64, ok bool) {
	// Forecasts are removed by subtraction, and rounding can leave a variance
	// just below zero. Its square root would be NaN and nothing would fit.
	tightest := math.Inf(1)
	for k, mean := range f.mean {
		tightest = min(tightest, capacity-mean-z*math.Sqrt(max(0, f.variance[k])))
	}
	return tightest / capacity, tightest >= 0
}

// quantile returns the number of standard deviations that a normally distributed
// value exceeds with probability risk. risk is limited to 1e-6 to 0.5.
func quantile(risk float64) float64 {
	const minRisk, maxRisk = 1e-6, 0.5
	return math.Sqrt2 * math.Erfinv(1-2*min(maxRisk, max(minRisk, risk)))
}
