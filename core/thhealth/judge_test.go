package thhealth_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/thhealth"
	"tamarackhollow/core/threquest"
)

// TestMain fixes the seed of the property tests, so that the verdict is always
// the same.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		if err := f.Value.Set("20261204"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var noon = thclock.At(12 * time.Hour)

func drawCounts(t *rapid.T, most float64) thhealth.Counts {
	c := thhealth.Counts{Requests: rapid.Float64Range(0, most).Draw(t, "requests")}
	c.Failed = c.Requests * rapid.Float64Range(0, 1).Draw(t, "failed")
	c.Slow = c.Requests * rapid.Float64Range(0, 1).Draw(t, "slow")
	c.Stalled = c.Slow * rapid.Float64Range(0, 1).Draw(t, "stalled")
	return c
}

// TestOneVMConvincesNobody: whatever one other VM reports, a VM that itself
// sees a target serve well does not eject it.
func TestOneVMConvincesNobody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 10).Draw(t, "targets")
		samples := make([]thhealth.Sample, n)
		for i := range samples {
			good := thhealth.Counts{Requests: 20}
			rest := thhealth.Counts{Requests: 20 * float64(n-1)}
			samples[i].Own = thhealth.Tally{Short: good, Long: good, Latest: good}
			samples[i].Rest = thhealth.Rest{Short: rest, Long: rest}
			samples[i].Peers = []thhealth.Report{{
				Origin: 1,
				Tally:  thhealth.Tally{Short: drawCounts(t, 1000), Long: drawCounts(t, 1000)},
				Rest:   thhealth.Rest{Short: drawCounts(t, 1000), Long: drawCounts(t, 1000)},
			}}
			samples[i].Votes, samples[i].Voters = 1, 1
		}
		for _, v := range thhealth.Judge(thhealth.NewPolicy(thconfig.HealthPolicy{}), samples) {
			assert.Assert(t, !v.Sick, "%+v", v)
		}
	})
}

// TestEqualTargetsAreNotSick: a service that fails or slows as a whole, on any
// number of VMs, has no sick targets.
func TestEqualTargetsAreNotSick(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 15).Draw(t, "targets")
		each := drawCounts(t, 500)
		var rest thhealth.Counts
		for range n - 1 {
			rest = rest.Plus(each)
		}
		samples := make([]thhealth.Sample, n)
		for i := range samples {
			own := thhealth.Tally{Short: each, Long: each, Latest: each}
			r := thhealth.Rest{Short: rest, Long: rest}
			samples[i] = thhealth.Sample{Own: own, Rest: r}
			for o := range rapid.IntRange(0, 5).Draw(t, "peers") {
				samples[i].Peers = append(samples[i].Peers, thhealth.Report{Origin: uint32(o), Tally: own, Rest: r})
			}
		}
		for _, v := range thhealth.Judge(thhealth.NewPolicy(thconfig.HealthPolicy{}), samples) {
			assert.Assert(t, !v.Sick, "%+v", v)
		}
	})
}

// TestVotesOfMostVMsAreFollowed: a majority of at least three convinces.
func TestVotesOfMostVMsAreFollowed(t *testing.T) {
	for _, c := range []struct {
		votes, voters int
		sick          bool
	}{{2, 2, false}, {3, 3, true}, {3, 6, false}, {4, 6, true}, {20, 40, false}, {21, 40, true}} {
		vs := thhealth.Judge(thhealth.NewPolicy(thconfig.HealthPolicy{}), []thhealth.Sample{{Votes: c.votes, Voters: c.voters}, {}})
		assert.Equal(t, vs[0].Sick, c.sick, "%+v", c)
	}
}

func TestHoldDoublesAndIsForgiven(t *testing.T) {
	p := thhealth.NewPolicy(thconfig.HealthPolicy{HoldMillis: 1000})
	sick, well := thhealth.Verdict{Sick: true}, thhealth.Counts{Requests: 10}
	var s thhealth.State
	now := noon
	for strike := range 4 {
		s = s.Next(now, p, sick, thhealth.Counts{})
		assert.Equal(t, s.Phase, thhealth.Ejected)
		assert.Equal(t, s.Until.Sub(now), time.Second<<strike)
		now = s.Until
		s = s.Next(now, p, thhealth.Verdict{}, thhealth.Counts{})
		assert.Equal(t, s.Phase, thhealth.Trial)
		s = s.Next(now, p, thhealth.Verdict{}, well)
		assert.Equal(t, s.Phase, thhealth.Warming)
		assert.Assert(t, s.ColdShare(now) > 0.8)
	}
	now = s.Forgiven
	s = s.Next(now, p, thhealth.Verdict{}, thhealth.Counts{})
	assert.Equal(t, s.Strikes, 0)
	assert.Equal(t, s.ColdShare(now), 0.0)
}

func TestTrialThatFailsIsHeldLonger(t *testing.T) {
	p := thhealth.NewPolicy(thconfig.HealthPolicy{})
	s := thhealth.State{Phase: thhealth.Trial, Strikes: 1}
	s = s.Next(noon, p, thhealth.Verdict{}, thhealth.Counts{Requests: 2, Failed: 2})
	assert.Equal(t, s.Phase, thhealth.Ejected)
	assert.Equal(t, s.Until.Sub(noon), 2*thhealth.DefaultHold)
}

func TestClassify(t *testing.T) {
	slow := 100 * time.Millisecond
	for _, c := range []struct {
		name   string
		kind   therror.Kind
		status int
		took   time.Duration
		reused bool
		want   thhealth.Outcome
	}{
		{"good", 0, 200, time.Millisecond, true, thhealth.Good},
		{"caller's own fault", 0, 404, time.Millisecond, true, thhealth.Good},
		{"slow", 0, 200, 150 * time.Millisecond, true, thhealth.Slow},
		{"extremely slow", 0, 200, time.Second, true, thhealth.Stalled},
		{"failed", 0, 500, time.Millisecond, true, thhealth.Failed},
		{"refused", therror.ConnectFailed, 0, 0, false, thhealth.Failed},
		{"wrong", therror.AnswerBroken, 0, 0, true, thhealth.Failed},
		{"died", therror.AnswerLost, 0, 0, false, thhealth.Failed},
		{"old connection died", therror.AnswerLost, 0, 0, true, thhealth.Silent},
		{"old connection silent", therror.AnswerLate, 0, time.Second, true, thhealth.Silent},
		{"new connection silent", therror.AnswerLate, 0, time.Second, false, thhealth.Late},
		{"hasty caller", therror.AnswerLate, 0, time.Millisecond, false, thhealth.None},
		{"caller gone", therror.CallerGone, 0, time.Millisecond, false, thhealth.None},
	} {
		a := threquest.Attempt{Sent: true, Reused: c.reused, Began: noon, Ended: noon.Add(c.took)}
		if c.status != 0 {
			a.Answer = &threquest.Answer{Status: c.status}
		} else {
			a.Err = therror.New(c.kind, "")
		}
		assert.Equal(t, thhealth.Classify(a, slow), c.want, c.name)
	}
}

// TestSilentConnectionsAreForgivenOnce: two silent connections are no failure,
// a third in a row is; a good answer between them starts again.
func TestSilentConnectionsAreForgivenOnce(t *testing.T) {
	var a thhealth.Tally
	for _, o := range []thhealth.Outcome{thhealth.Silent, thhealth.Silent, thhealth.Good, thhealth.Silent, thhealth.Silent} {
		a = a.WithOutcome(noon, o)
	}
	assert.Equal(t, a.Short.Failed, 0.0)
	a = a.WithOutcome(noon, thhealth.Silent)
	assert.Equal(t, a.Short.Failed, 1.0)
}

func TestReferenceFollowsTheMedian(t *testing.T) {
	var r thhealth.Reference
	for i := range 2000 {
		r = r.WithLatency(time.Duration(1+i%9) * 10 * time.Millisecond)
	}
	assert.Assert(t, r.Median() > 40*time.Millisecond && r.Median() < 60*time.Millisecond, "%v", r.Median())
}
