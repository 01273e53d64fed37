package thgossip_test

import (
	"fmt"
	"net"
	"testing"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thfleet"
	"tamarackhollow/core/thtable"
	"tamarackhollow/core/thview"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

// peerIndex returns the index of the peer with the key.
func (g *fixture) peerIndex(vm thfleet.VMKey) int {
	for i := range g.peers {
		if thfleet.VMKeyOf(fmt.Sprintf("peer-%d", i)) == vm {
			return i
		}
	}
	g.t.Fatal("no such peer")
	return 0
}

// sendNotice sends a notice of a peer.
func (g *fixture) sendNotice(peer int, n thfleet.Notice) {
	g.t.Helper()
	g.sent++
	n.From, n.StartMillis, n.Sequence = thfleet.VMKeyOf(fmt.Sprintf("peer-%d", peer)), 1, g.sent+100
	g.send(g.peers[peer], n)
}

// readUntil reads the datagrams of a peer until wanted accepts one of them, and returns
// false if none came.
func readUntil(peer *net.UDPConn, wait time.Duration, wanted func(n thfleet.Notice) bool) (thfleet.Notice, bool) {
	buffer := make([]byte, 16<<10)
	_ = peer.SetReadDeadline(time.Now().Add(wait))
	for {
		size, err := peer.Read(buffer)
		if err != nil {
			return thfleet.Notice{}, false
		}
		var n thfleet.Notice
		if cbor.Unmarshal(buffer[:size], &n) == nil && wanted(n) {
			return n, true
		}
	}
}

func isTokenRequest(n thfleet.Notice) bool { return n.TokenRequest != nil }

// A doubled answer must not count for a later question.
func TestDoubledAnswerCountsOnce(t *testing.T) {
	g := newFixture(t, 1)
	g.stopReceiving()
	questions := make(chan thfleet.TokenRequest, 10)
	go func() {
		for {
			n, ok := readUntil(g.peers[0], testTimeout, isTokenRequest)
			if !ok {
				return
			}
			questions <- *n.TokenRequest
		}
	}()
	peer := thfleet.Peer{Identity: thfleet.Identity{Address: g.peers[0].LocalAddr().String()}}
	var lent []uint16
	done := make(chan bool)
	ask := func() {
		tokens, ok := g.exchange.Ask(peer, thfleet.TokenRequest{Kind: thfleet.RetryTokens, Thousandths: 1000})
		lent = append(lent, tokens.Thousandths)
		done <- ok
	}
	go ask()
	first := <-questions
	for range 2 {
		g.sendNotice(0, thfleet.Notice{Tokens: &thfleet.Tokens{Thousandths: 700, Number: first.Number}})
	}
	<-done
	go ask()
	second := <-questions
	assert.Assert(t, second.Number != first.Number)
	g.sendNotice(0, thfleet.Notice{Tokens: &thfleet.Tokens{Thousandths: 700, Number: first.Number}})
	assert.Assert(t, !<-done, "an answer to another question was accepted")
	assert.DeepEqual(t, lent[1:], []uint16{0})
}

// A VM that is next in line for a part of a customer's limit must give out its tokens only
// if the VM before it is silent.
func TestNextInLineGivesTokensOnlyIfOwnerIsSilent(t *testing.T) {
	for _, ownerAnswers := range []bool{true, false} {
		t.Run(fmt.Sprintf("owner answers: %t", ownerAnswers), func(t *testing.T) {
			g := newFixture(t, 6)
			g.stopReceiving()
			customer, part, owner := g.partAfterPeer()
			asker := (owner + 1) % len(g.peers)
			if ownerAnswers {
				go func() {
					for {
						n, ok := readUntil(g.peers[owner], testTimeout, isTokenRequest)
						if !ok {
							return
						}
						g.sendNotice(owner, thfleet.Notice{Tokens: &thfleet.Tokens{NotOwner: true, Number: n.TokenRequest.Number}})
					}
				}()
			}
			var given bool
			for until := time.Now().Add(testTimeout); time.Now().Before(until) && !given; {
				g.sendNotice(asker, thfleet.Notice{TokenRequest: &thfleet.TokenRequest{
					Kind: thfleet.CustomerTokens, Key: customer, Part: part, Thousandths: 1000, Number: g.sent,
				}})
				n, ok := readUntil(g.peers[asker], time.Second, func(n thfleet.Notice) bool { return n.Tokens != nil })
				assert.Assert(t, ok, "no answer")
				given = n.Tokens.Thousandths > 0
				if ownerAnswers {
					assert.Assert(t, n.Tokens.NotOwner, "%+v", n.Tokens)
					return
				}
			}
			assert.Assert(t, given)
		})
	}
}

// partAfterPeer returns a customer and a part of its limit for which this VM is second in
// line, and the peer that owns it.
func (g *fixture) partAfterPeer() (customer thfleet.Key, part uint8, owner int) {
	var d thtable.Document
	for i := range 20 {
		d.Customers = append(d.Customers, thtable.Customer{Name: fmt.Sprint(i), Rate: 1000, Burst: 1000})
	}
	found := false
	g.view.WithView(func(now thclock.Instant, v *thview.View) {
		v.SetTable(thtable.New(d))
		for _, c := range d.Customers {
			for _, p := range v.Fleet.LimitParts(now, thfleet.KeyOf(c.Name)) {
				if p.Line[1].IsSelf && !found {
					customer, part, owner, found = thfleet.KeyOf(c.Name), p.Number, g.peerIndex(p.Line[0].Key), true
				}
			}
		}
	})
	assert.Assert(g.t, found, "this VM is second in line for no part")
	return customer, part, owner
}
