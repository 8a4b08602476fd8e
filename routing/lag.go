package routing

import "time"

const (
	lagSteps  = 16                     // number of assumed ages
	lagStep   = 250 * time.Millisecond // difference between two assumed ages
	lagWindow = 400                    // averaging window, in reports
	// lagSamples is the minimum number of reports for an estimate.
	lagSamples = 100
)

// lagMeter estimates the age of load reports on arrival. Reports carry no
// timestamp.
//
// Between two reports the number of running generations changes by this host's
// own change plus the change of all other hosts. The own change is known for
// each time step of the last seconds. For each assumed age, the meter subtracts
// the own change from the reported change. The age with the smallest variance of
// the remainder is the estimate. Without this estimate, all hosts would place
// work at once on engines that had free memory seconds ago, which may have been
// used since.
type lagMeter struct {
	variance [lagSteps]float64 // residual variance, by assumed age in units of lagStep
	samples  int
}

// lagSample is the state kept from a server's last report.
type lagSample struct {
	known    bool              // there was a report
	reported float64           // generations in the report
	own      [lagSteps]float64 // this host's generations, by assumed age in units of lagStep
}

// add updates the estimate with a report of a server. reported is the number of
// generations in it, history the number of this host's own ones over time.
func (m *lagMeter) add(last *lagSample, reported float64, history *history, now time.Time) {
	next := lagSample{known: true, reported: reported}
	for i := range next.own {
		next.own[i] = float64(history.at(now.Add(-time.Duration(i) * lagStep)).running)
	}
	if last.known {
		m.samples++
		for i := range m.variance {
			residual := (next.reported - last.reported) - (next.own[i] - last.own[i])
			m.variance[i] += (residual*residual - m.variance[i]) / float64(min(m.samples, lagWindow))
		}
	}
	*last = next
}

// lag returns the estimated age of reports on arrival, or lagStep while there
// are fewer than lagSamples reports.
func (m *lagMeter) lag() time.Duration {
	if m.samples < lagSamples {
		return lagStep
	}
	best := 0
	for i := range m.variance {
		if m.variance[i] < m.variance[best] {
			best = i
		}
	}
	return time.Duration(best) * lagStep
}
