package thhealth

import "math"

// Report is one VM's tally of a target, faded to the present.
type Report struct {
	// Origin names the VM.
	Origin uint32
	Tally  Tally
}

// Sample is all that this VM knows of a target at the present moment.
type Sample struct {
	Own   Tally
	Peers []Report
}

// Verdict is what the evidence says of a target.
type Verdict struct {
	Sick bool
	// Local verdicts rest on this VM's requests alone: its path may be bad.
	Local bool
	// Severity is the strength of the evidence, as a log likelihood ratio.
	Severity float64
	// Seen is the evidence itself.
	Seen Counts
}

const (
	// sureRatio is the log likelihood ratio that a verdict needs: chance alone
	// reaches it about once in exp(sureRatio) independent looks.
	sureRatio = 10.0
	// othersShare is the part of sureRatio that must be left when the VM whose
	// reports weigh most is left out.
	othersShare = 0.5
	// slowExcess is by how much more of its answers a sick target's are slow.
	slowExcess = 0.25
	// The prior stands in for the other targets while they have few requests.
	priorRequests = 20.0
	priorFailed   = 0.1
	priorSlow     = 1.0
)

// Judge compares each target of a service with the others. A service that
// fails or slows as a whole has no sick targets.
func Judge(p Policy, targets []Sample) []Verdict {
	vs := make([]Verdict, len(targets))
	for _, view := range []func(Tally) Counts{short, long} {
		j := newJudgement(p, targets, view)
		j.run(vs)
	}
	return vs
}

func short(t Tally) Counts { return t.Short }
func long(t Tally) Counts  { return t.Long }

// judgement is one pass over the targets with one length of memory.
type judgement struct {
	policy  Policy
	targets []Sample
	view    func(Tally) Counts
	fleet   []Counts
	own     []Counts
	// ownSum and sum leave out the targets found sick so far.
	ownSum, sum Counts
}

func newJudgement(p Policy, targets []Sample, view func(Tally) Counts) *judgement {
	j := &judgement{
		policy: p, targets: targets, view: view,
		fleet: make([]Counts, len(targets)), own: make([]Counts, len(targets)),
	}
	for i, s := range targets {
		j.own[i] = view(s.Own)
		j.fleet[i] = j.own[i]
		for _, r := range s.Peers {
			j.fleet[i] = j.fleet[i].Plus(view(r.Tally))
		}
		j.ownSum = j.ownSum.Plus(j.own[i])
		j.sum = j.sum.Plus(j.fleet[i])
	}
	return j
}

// run finds the worst target, leaves it out of what the others are compared
// with, and goes on until none is sick.
func (j *judgement) run(vs []Verdict) {
	done := make([]bool, len(vs))
	for range vs {
		worst := -1
		var found Verdict
		for i := range vs {
			if done[i] {
				continue
			}
			if v := j.verdict(i); v.Sick && (worst < 0 || v.Severity > found.Severity) {
				worst, found = i, v
			}
		}
		if worst < 0 {
			return
		}
		done[worst] = true
		j.sum = j.sum.Minus(j.fleet[worst])
		j.ownSum = j.ownSum.Minus(j.own[worst])
		vs[worst] = stronger(vs[worst], found)
	}
}

func stronger(a, b Verdict) Verdict {
	if a.Sick && (!b.Sick || a.Severity >= b.Severity && (!a.Local || b.Local)) {
		return a
	}
	return b
}

func (j *judgement) verdict(i int) Verdict {
	all := j.fleet[i]
	rest := j.sum.Minus(all)
	if r := ratio(j.policy, all, rest); r >= sureRatio && j.confirmed(i, rest) {
		return Verdict{Sick: true, Severity: r, Seen: all}
	}
	mine := j.own[i]
	if r := ratio(j.policy, mine, j.ownSum.Minus(mine)); r >= sureRatio {
		return Verdict{Sick: true, Local: true, Severity: r, Seen: mine}
	}
	return Verdict{Seen: all}
}

// confirmed reports whether the evidence holds without the VM that
// contributes most to it, so that one VM's bad path convinces nobody else.
func (j *judgement) confirmed(i int, rest Counts) bool {
	most := j.own[i]
	for _, r := range j.targets[i].Peers {
		if c := j.view(r.Tally); c.Bad() > most.Bad() {
			most = c
		}
	}
	p := j.policy
	p.Evidence *= othersShare
	return ratio(p, j.fleet[i].Minus(most), rest) >= sureRatio*othersShare
}

// ratio returns the larger log likelihood ratio, by failures or by slowness,
// for the target being worse than the rest, or zero if the difference is not
// one that the policy minds.
func ratio(p Policy, target, rest Counts) float64 {
	if target.Requests < p.Evidence*evidenceSlack {
		return 0
	}
	return max(
		excess(target.Requests, target.Failed, rest.Requests+priorRequests, rest.Failed+priorFailed, p.FailureShare),
		excess(target.Requests, target.Slow, rest.Requests+priorRequests, rest.Slow+priorSlow, slowExcess),
	)
}

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
