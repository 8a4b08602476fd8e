package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// attributedCrash is a crash that is attributed to a part.
type attributedCrash struct {
	crash int         // index in the evidence
	run   *crashedRun // with the part
	depth int         // position of the part in the prompt
}

// review is the evidence as it stands up to a point in time.
type review struct {
	evidence *partEvidence
	// attributed are the crashes since the last pass, by part, in ascending order;
	// one for each crash.
	attributed  map[uint64][]attributedCrash
	suspicions  map[uint64]suspicion  // of parts with attributed crashes, once they were needed
	quarantined func(id uint64) bool  // of a part or a request
	coRunning   map[uint64]time.Time  // see beginningsOfCoRunning
	latest      *review               // see newest; nil: not needed yet
	explained   map[int][]*crashedRun // by crash: runs that are quarantined, or have a part that is
}

// reviewUntil returns the evidence on the crashes up to the given time.
func (e *partEvidence) reviewUntil(until time.Time, quarantined func(id uint64) bool) *review {
	r := &review{
		evidence: e, attributed: map[uint64][]attributedCrash{}, suspicions: map[uint64]suspicion{},
		quarantined: quarantined, explained: map[int][]*crashedRun{}, coRunning: e.beginningsOfCoRunning(),
	}
	for crash, c := range e.crashes {
		if c.at.After(until) {
			continue
		}
		answering := slices.ContainsFunc(c.runs, func(run *crashedRun) bool { return run.Answering })
		for _, run := range c.runs {
			if answering && !run.Answering {
				continue
			}
			if quarantined(run.Request) || slices.ContainsFunc(run.Parts, quarantined) {
				r.explained[crash] = append(r.explained[crash], run)
			}
			for depth, part := range run.Parts {
				known := r.attributed[part]
				counted := len(known) > 0 && known[len(known)-1].crash == crash
				if run.at.After(r.passed(part)) && !counted {
					r.attributed[part] = append(known, attributedCrash{crash, run, depth})
				}
			}
		}
	}
	return r
}

// passed returns when a run with a part last began to write and went on; zero: never.
func (r *review) passed(part uint64) time.Time {
	passed, _ := r.evidence.passes.Peek(part)
	if began := r.coRunning[part]; began.After(passed) {
		return began
	}
	return passed
}

// beginningsOfCoRunning returns, by part, when the last co-running run with the part began
// to write at the earliest: one that had written an event on a server which crashed under
// another run.
func (e *partEvidence) beginningsOfCoRunning() map[uint64]time.Time {
	beginnings := map[uint64]time.Time{}
	for _, c := range e.crashes {
		attributed := func(part uint64) bool {
			return slices.ContainsFunc(c.runs, func(run *crashedRun) bool { return run.Answering && slices.Contains(run.Parts, part) })
		}
		if !slices.ContainsFunc(c.runs, func(run *crashedRun) bool { return run.Answering }) {
			continue
		}
		for _, run := range c.runs {
			if !run.Begun {
				continue
			}
			for _, part := range run.Parts {
				if began := run.at.Add(-beginWindow); began.After(beginnings[part]) && !attributed(part) {
					beginnings[part] = began
				}
			}
		}
	}
	return beginnings
}

// blamed returns the parts that are to be blamed for crashes and are not quarantined yet:
// those that explain best enough crashes which no likelier part explains.
func (r *review) blamed() []uint64 {
	return slices.DeleteFunc(r.worst(partCrashThreshold, partCrashThreshold), func(part uint64) bool {
		return len(r.unexplained(part)) < partCrashThreshold
	})
}

// suspected returns the parts with which requests may be about to crash all servers.
func (r *review) suspected() []uint64 {
	return r.worst(suspectThreshold, suspectSeparate)
}

// worst returns the parts that are not quarantined and explain best at least the given
// numbers of crashes, and of separate ones, that nothing quarantined explains.
func (r *review) worst(crashes, separate int) []uint64 {
	var worst []uint64
	for part, all := range r.attributed {
		if len(all) < crashes || r.quarantined(part) {
			continue
		}
		open := r.open(part)
		if len(open) >= crashes && countSeparate(open) >= separate && r.explainsBest(part, open) {
			worst = append(worst, part)
		}
	}
	return worst
}

// open returns the crashes attributed to a part that nothing quarantined explains.
func (r *review) open(part uint64) []attributedCrash {
	return slices.DeleteFunc(slices.Clone(r.attributed[part]), func(a attributedCrash) bool { return r.explains(part, a.crash) })
}

// unexplained returns the open crashes attributed to a part that no likelier part
// explains: one that was at another crash without it, and has passed longer ago or never.
// Where neither has passed, the one at more crashes of servers that had just begun to
// answer is likelier.
//
// While two parts crash servers at once, the crashes of both are attributed to the sound
// parts that their requests share, which have more of them than either.
func (r *review) unexplained(part uint64) []attributedCrash {
	newest, known := r.newest(), map[uint64]bool{}
	likelier := func(other uint64) bool {
		likely, ok := known[other]
		if !ok {
			order := cmp.Or(r.passed(part).Compare(r.passed(other)), cmp.Compare(newest.answering(other), newest.answering(part)))
			if order > 0 && !r.quarantined(other) {
				open := newest.open(other)
				likely = len(open) >= suspectSeparate && !covers(newest.attributed[part], open)
			}
			known[other] = likely
		}
		return likely
	}
	return slices.DeleteFunc(r.open(part), func(a attributedCrash) bool {
		return slices.ContainsFunc(r.evidence.crashes[a.crash].runs, func(run *crashedRun) bool {
			return slices.ContainsFunc(run.Parts, func(other uint64) bool {
				return other != part && likelier(other) && includesCrash(r.attributed[other], a.crash)
			})
		})
	})
}

// includesCrash reports whether attributed crashes include a crash.
func includesCrash(attributed []attributedCrash, crash int) bool {
	return slices.ContainsFunc(attributed, func(a attributedCrash) bool { return a.crash == crash })
}

// explains reports whether another part, or a request without the part, is quarantined
// and explains a crash that is attributed to the part.
func (r *review) explains(part uint64, crash int) bool {
	return slices.ContainsFunc(r.explained[crash], func(run *crashedRun) bool {
		other := slices.ContainsFunc(run.Parts, func(id uint64) bool { return id != part && r.quarantined(id) })
		return other || r.quarantined(run.Request) && !slices.Contains(run.Parts, part)
	})
}

// explainsBest reports whether no other part that explains the given crashes of a part is
// more likely to be at fault.
func (r *review) explainsBest(part uint64, open []attributedCrash) bool {
	own := r.suspicionOf(part)
	for _, run := range r.evidence.crashes[open[len(open)-1].crash].runs {
		for _, other := range run.Parts {
			if other == part || len(r.attributed[other]) < len(open) {
				continue
			}
			if r.suspicionOf(other).compare(own) > 0 && covers(r.attributed[other], open) {
				return false
			}
		}
	}
	return true
}

// covers reports whether attributed crashes include all of others. Both are in ascending
// order of the crash.
func covers(attributed, others []attributedCrash) bool {
	i := 0
	for _, o := range others {
		for i < len(attributed) && attributed[i].crash < o.crash {
			i++
		}
		if i == len(attributed) || attributed[i].crash != o.crash {
			return false
		}
	}
	return true
}

// countSeparate counts the crashes at least crashSpacing apart, each under another
// request.
func countSeparate(crashes []attributedCrash) int {
	ordered := slices.SortedFunc(slices.Values(crashes), func(a, b attributedCrash) int {
		return cmp.Or(a.run.at.Compare(b.run.at), cmp.Compare(a.run.Server, b.run.Server))
	})
	var counted []attributedCrash
	for _, c := range ordered {
		if !slices.ContainsFunc(counted, func(o attributedCrash) bool {
			return o.run.Request == c.run.Request || c.run.at.Sub(o.run.at) < crashSpacing
		}) {
			counted = append(counted, c)
		}
	}
	return len(counted)
}

// suspicion orders parts that explain the same crashes.
type suspicion struct {
	answering int // crashes under runs that the server had just begun to answer
	crashes   int
	passed    time.Time // zero: never
	depth     int
}

// newest returns all evidence that is known now.
func (r *review) newest() *review {
	if r.latest == nil {
		r.latest = r.evidence.reviewUntil(time.Now(), r.quarantined)
	}
	return r.latest
}

// answering returns the number of crashes under runs with a part that the servers had just
// begun to answer.
func (r *review) answering(part uint64) (count int) {
	for _, a := range r.attributed[part] {
		if a.run.Answering {
			count++
		}
	}
	return count
}

func (r *review) suspicionOf(part uint64) suspicion {
	if known, ok := r.suspicions[part]; ok {
		return known
	}
	attributed := r.attributed[part]
	passed := r.passed(part)
	s := suspicion{r.answering(part), countSeparate(attributed), passed, attributed[len(attributed)-1].depth}
	r.suspicions[part] = s
	return s
}

// compare ranks the part with more crashes higher, first of runs that the server had just
// begun to answer, then the one whose last pass is older, then the more specific one.
func (s suspicion) compare(other suspicion) int {
	return cmp.Or(cmp.Compare(s.answering, other.answering), cmp.Compare(s.crashes, other.crashes),
		other.passed.Compare(s.passed), cmp.Compare(s.depth, other.depth))
}
