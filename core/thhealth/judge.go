package thhealth

import (
	"cmp"
	"math"
	"slices"
)

// Report is one VM's tally of a target, faded to the present.
type Report struct {
	// Origin names the VM.
	Origin uint32
	Tally  Tally
	// Rest is what the VM saw of the other targets in the same time.
	Rest Rest
}

// Sample is all that this VM knows of a target at the present moment.
type Sample struct {
	Own   Tally
	Rest  Rest
	Peers []Report
	// Voters counts the VMs heard from lately, and Votes those of them that
	// have ejected the target. A VM that ejects a target forgets why, so the
	// others' evidence would fade.
	Votes, Voters int
}

// outvoted reports whether most other VMs have ejected the target.
func (s Sample) outvoted() bool { return s.Votes >= enoughVotes && 2*s.Votes > s.Voters }

// Verdict is what the evidence says of a target.
type Verdict struct {
	Sick bool
	// Local verdicts rest on this VM's requests alone: its path may be bad.
	Local bool
	// Severity is the strength of the evidence, as a log likelihood ratio.
	Severity float64
	// Suspect verdicts need more evidence.
	Suspect bool
	// Seen is the evidence itself.
	Seen Counts
}

const (
	// sureRatio is the log likelihood ratio that a verdict needs: chance alone
	// reaches it about once in exp(sureRatio) independent looks.
	sureRatio = 8.0
	// latestRatio is like sureRatio for the last few attempts.
	latestRatio = 10.0
	// suspectRatio is the ratio from which more evidence is asked for.
	suspectRatio = 3.0
	// suspectFailing is the same for failures, which are rarer than slow answers.
	suspectFailing = 1.5
	// farWorse is by how much more a target fails than the best part of them.
	farWorse = 0.25
	bestPart = 3
	// enoughVotes is how many VMs convince another at the least.
	enoughVotes = 3
	// othersShare is the part of sureRatio that must be left when the VM whose
	// reports weigh most is left out.
	othersShare = 0.5
	// slowExcess is by how much more of its answers a sick target's are slow.
	slowExcess = 0.25
	// The prior adds requests of a usual service to those of the other targets:
	// at most so many, and at most so large a part of them.
	priorRequests = 2.0
	priorPart     = 0.1
	// The shares of the prior's requests that failed or were slow.
	priorFailed  = 0.005
	priorSlow    = 0.05
	priorStalled = 0.005
	// stalledExcess is like slowExcess for answers that are extremely slow.
	stalledExcess = 0.1
)

// Judge compares each target of a service with the others, VM by VM, so that
// neither a VM's own trouble nor one VM's older news is held against a target.
// A service that fails or slows as a whole has no sick targets.
func Judge(p Policy, targets []Sample) []Verdict {
	vs := make([]Verdict, len(targets))
	for i, s := range targets {
		vs[i] = judgeTarget(p, s)
	}
	judgeLatest(p, targets, vs)
	judgeByBest(p, targets, vs)
	return vs
}

func judgeTarget(p Policy, s Sample) Verdict {
	a, b := shortView(s).verdict(p), longView(s).verdict(p)
	a.Suspect = a.Suspect || b.Suspect
	if s.outvoted() && !a.Sick {
		a.Sick, a.Severity = true, sureRatio
	}
	if b.Sick && (!a.Sick || a.Local && !b.Local || b.Severity > a.Severity && a.Local == b.Local) {
		return b
	}
	return a
}

// judgeLatest finds targets that this VM alone has seen too little of for its
// memories by time.
func judgeLatest(p Policy, targets []Sample, vs []Verdict) {
	var sum Counts
	for _, s := range targets {
		sum = sum.Plus(s.Own.Latest)
	}
	for i, s := range targets {
		mine := s.Own.Latest
		if r := ratio(p, mine, sum.Minus(mine)); r >= latestRatio && !vs[i].Sick {
			vs[i] = Verdict{Sick: true, Local: true, Severity: r, Suspect: true, Seen: mine}
		}
	}
}

// judgeByBest finds targets that fail far more than the best ones do, where so
// many fail that they hide behind each other. It looks at this VM's requests
// only, which were all made in the same time.
func judgeByBest(p Policy, targets []Sample, vs []Verdict) {
	p.FailureShare = max(p.FailureShare, farWorse)
	shares := make([]Counts, len(targets))
	for i, s := range targets {
		shares[i] = s.Own.Long
	}
	slices.SortFunc(shares, func(a, b Counts) int { return cmp.Compare(a.failing(), b.failing()) })
	var best Counts
	for _, c := range shares[:len(shares)/bestPart] {
		best = best.Plus(c)
	}
	for i, s := range targets {
		mine := s.Own.Long
		r := compare(p, mine, best).failed
		if r >= latestRatio && best.Requests >= p.Evidence && !vs[i].Sick {
			vs[i] = Verdict{Sick: true, Local: true, Severity: r, Suspect: true, Seen: mine}
		}
	}
}

// failing is the share of failures, taking little evidence for half a failure.
func (c Counts) failing() float64 { return (c.Failed + 0.5) / (c.Requests + 1) }

// pair is what one VM saw of a target and of the others.
type pair struct {
	target, rest Counts
}

func (p pair) plus(o pair) pair {
	return pair{target: p.target.Plus(o.target), rest: p.rest.Plus(o.rest)}
}

func (p pair) minus(o pair) pair {
	return pair{target: p.target.Minus(o.target), rest: p.rest.Minus(o.rest)}
}

// view is the evidence on one target with one length of memory.
type view struct {
	own, all, most pair
}

func shortView(s Sample) view {
	v := newView(pair{s.Own.Short, s.Rest.Short})
	for _, r := range s.Peers {
		v.add(pair{r.Tally.Short, r.Rest.Short})
	}
	return v
}

func longView(s Sample) view {
	v := newView(pair{s.Own.Long, s.Rest.Long})
	for _, r := range s.Peers {
		v.add(pair{r.Tally.Long, r.Rest.Long})
	}
	return v
}

func newView(own pair) view { return view{own: own, all: own, most: own} }

func (v *view) add(p pair) {
	v.all = v.all.plus(p)
	if p.target.Bad() > v.most.target.Bad() {
		v.most = p
	}
}

func (v view) verdict(p Policy) Verdict {
	all := ratio(p, v.all.target, v.all.rest)
	if all >= sureRatio && v.confirmed(p) {
		return Verdict{Sick: true, Suspect: true, Severity: all, Seen: v.all.target}
	}
	if r := ratio(p, v.own.target, v.own.rest); r >= sureRatio {
		return Verdict{Sick: true, Local: true, Suspect: true, Severity: r, Seen: v.own.target}
	}
	return Verdict{Seen: v.all.target, Suspect: compare(p.suspecting(), v.all.target, v.all.rest).suspect()}
}

// confirmed reports whether the evidence holds without the VM that
// contributes most to it, so that one VM's bad path convinces nobody else.
func (v view) confirmed(p Policy) bool {
	p.Evidence *= othersShare
	others := v.all.minus(v.most)
	return ratio(p, others.target, others.rest) >= sureRatio*othersShare
}

// ratios are log likelihood ratios for a target being worse than the others,
// each zero if the difference is not one that the policy minds.
type ratios struct {
	failed, slow, stalled float64
}

func (r ratios) most() float64 { return max(r.failed, r.slow, r.stalled) }

func (r ratios) suspect() bool {
	return r.failed >= suspectFailing || max(r.slow, r.stalled) >= suspectRatio
}

func compare(p Policy, target, rest Counts) ratios {
	if target.Requests < p.Evidence*evidenceSlack {
		return ratios{}
	}
	// Where the others have few requests too, the prior must not outweigh them.
	prior := min(priorRequests, priorPart*rest.Requests)
	n1, n2 := target.Requests, rest.Requests+prior
	if n2 <= 0 {
		return ratios{}
	}
	return ratios{
		failed:  excess(n1, target.Failed, n2, rest.Failed+priorFailed*prior, p.FailureShare),
		slow:    excess(n1, target.Slow, n2, rest.Slow+priorSlow*prior, slowExcess),
		stalled: excess(n1, target.Stalled, n2, rest.Stalled+priorStalled*prior, stalledExcess),
	}
}

func ratio(p Policy, target, rest Counts) float64 { return compare(p, target, rest).most() }

// evidenceSlack lets counts that have faded a little since they came whole.
const evidenceSlack = 0.75

// excess is the log likelihood ratio of two samples having two shares rather
// than one, if the first share is larger by at least the given difference.
func excess(n1, k1, n2, k2, difference float64) float64 {
	p1, p2 := k1/n1, k2/n2
	if p1-p2 < difference {
		return 0
	}
	p := (k1 + k2) / (n1 + n2)
	return n1*divergence(p1, p) + n2*divergence(p2, p)
}

// divergence is the Kullback-Leibler divergence between two coins.
func divergence(a, b float64) float64 {
	return term(a, b) + term(1-a, 1-b)
}

func term(a, b float64) float64 {
	if a <= 0 {
		return 0
	}
	return a * math.Log(a/b)
}
