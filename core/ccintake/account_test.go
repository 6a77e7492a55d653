package ccintake

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestOpenAtTheLimit checks which connection makes room for a new one.
func TestOpenAtTheLimit(t *testing.T) {
	tests := map[string]struct {
		// events are called after three connections were opened at 1, 2 and 3, of a listener with three.
		events func(a *Account, conns []*Conn)
		// victim is the index of the connection that is closed, -1 if the new one is refused.
		victim int
	}{
		"Silent":           {func(*Account, []*Conn) {}, 0},
		"Served":           {func(a *Account, c []*Conn) { a.Serve(c[0]) }, 1},
		"AnsweredSince":    {func(a *Account, c []*Conn) { a.Serve(c[0]); c[0].Await(4) }, 1},
		"BodyBegunSince":   {func(a *Account, c []*Conn) { a.Read(c[0], 4) }, 1},
		"OnlyBodyNotWhole": {func(a *Account, c []*Conn) { a.Serve(c[0]); a.Serve(c[1]); a.Read(c[2], 4) }, 2},
		"AllServed":        {func(a *Account, c []*Conn) { a.Serve(c[0]); a.Serve(c[1]); a.Serve(c[2]) }, -1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			a, l := NewAccount(1000), NewListener(3)
			var conns []*Conn
			for at := range 3 {
				c, victim, _ := l.Open(ms(at + 1))
				assert.Assert(t, c != nil && victim == nil)
				conns = append(conns, c)
			}
			test.events(a, conns)
			c, victim, wait := l.Open(GraceMs)
			assert.Assert(t, c == nil && victim == nil, "the clients have had no time for their requests")
			assert.Assert(t, wait > 0)
			c, victim, wait = l.Open(2*GraceMs + 5)
			assert.Equal(t, wait, ms(0))
			if test.victim < 0 {
				assert.Assert(t, c == nil && victim == nil)
				conns[1].Await(2*GraceMs + 5)
				_, _, wait = l.Open(2*GraceMs + 6)
				assert.Assert(t, wait > 0, "the next connection is refused although one has been answered")
				return
			}
			assert.Assert(t, c != nil && victim == conns[test.victim])
			assert.Equal(t, l.Len(), 3)
		})
	}
}

// TestReserve checks who gets room, who waits and who is refused when three bodies want 400, 300 and 100 bytes of 1000.
func TestReserve(t *testing.T) {
	type want struct {
		verdict Verdict
		victim  int // 1 is the first body, 0 is none.
	}
	tests := map[string]struct {
		whole  int // The number of bodies that are whole, from the first on.
		self   int
		bytes  int64
		expect want
	}{
		"Small":                       {0, 3, 25, want{Granted, 0}},
		"LargerThanWhatIsFree":        {0, 3, 100, want{Waiting, 1}},
		"OldestIsGivenUpItself":       {0, 1, 100, want{Refused, 0}},
		"OldestIsServed":              {1, 3, 100, want{Waiting, 2}},
		"AllOthersAreServed":          {2, 3, 100, want{Refused, 0}},
		"AllOthersAreServedAndItFits": {2, 3, 25, want{Granted, 0}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			a, l := NewAccount(1000), NewListener(10)
			conns := []*Conn{nil}
			for i, n := range []int64{400, 300, 100} {
				c, _, _ := l.Open(0)
				a.Read(c, ms(i))
				a.held, c.held = a.held+n, n
				conns = append(conns, c)
			}
			for _, c := range conns[1 : test.whole+1] {
				a.Serve(c)
			}
			v, victim := a.Reserve(conns[test.self], test.bytes)
			assert.Equal(t, v, test.expect.verdict)
			assert.Equal(t, victim, conns[test.expect.victim])
			if v != Waiting {
				return
			}
			v, victim = a.Reserve(conns[test.self], test.bytes)
			assert.Assert(t, v == Waiting && victim == nil, "a second connection is closed for the same room")
			a.Release(conns[test.expect.victim])
			v, _ = a.Reserve(conns[test.self], test.bytes)
			assert.Equal(t, v, Granted)
		})
	}
}

// TestLoneBodyIsNeverRefused checks that a body that is alone gets what it asks for, however small the limit.
func TestLoneBodyIsNeverRefused(t *testing.T) {
	a, l := NewAccount(10), NewListener(1)
	c, _, _ := l.Open(1)
	a.Read(c, 1)
	for range 5 {
		v, _ := a.Reserve(c, 100)
		assert.Equal(t, v, Granted)
	}
	a.Release(c)
	assert.Equal(t, a.Held(), int64(0))
}

// TestAccountModel plays random clients. It checks that bodies never hold more than the limit, unless one is alone, that
// whoever waits is served once those who were closed have let go, and that the account is empty in the end.
func TestAccountModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit, maxConns = 1000, 8
		a, l := NewAccount(limit), NewListener(maxConns)
		open := map[*Conn]bool{}
		closed := map[*Conn]bool{} // Closed, and what their bodies hold is not released.
		end := func(c *Conn) {
			l.Close(c)
			delete(open, c)
			closed[c] = true
		}
		pick := func() *Conn {
			n := rapid.IntRange(0, max(l.Len()-1, 0)).Draw(t, "conn")
			var found *Conn
			for c := range open {
				older := 0
				for other := range open {
					if other.since < c.since {
						older++
					}
				}
				if older == n {
					found = c
				}
			}
			return found
		}
		for now := ms(1); now < 200*GraceMs/maxConns; now += GraceMs / maxConns {
			c := pick()
			switch op := rapid.IntRange(0, 6).Draw(t, "op"); {
			case op == 0:
				fresh, victim, wait := l.Open(now)
				assert.Assert(t, wait <= GraceMs && (fresh == nil || wait == 0))
				if victim != nil {
					assert.Assert(t, !victim.serving)
					end(victim)
				}
				if fresh != nil {
					open[fresh] = true
				}
			case op == 1 && len(closed) > 0:
				for c := range closed {
					a.Release(c)
				}
				clear(closed)
			case c == nil:
			case op == 2 && !c.serving && c.held == 0:
				a.Read(c, now)
			case op == 3 || op == 4:
				if _, reading := a.reading[c]; !reading {
					break
				}
				n := int64(rapid.IntRange(1, 300).Draw(t, "bytes"))
				v, victim := a.Reserve(c, n)
				if victim != nil {
					assert.Assert(t, !victim.serving && victim != c)
					end(victim)
				}
				if v == Granted {
					assert.Assert(t, a.held <= limit || a.held == c.held)
				}
			case op == 5 && c.held > 0:
				a.Serve(c)
			case op == 6:
				a.Release(c)
				c.Await(now)
			}
			assert.Assert(t, l.Len() <= maxConns)
			assert.Assert(t, a.leaving >= 0 && a.leaving <= a.held)
		}
		for c := range open {
			a.Release(c)
		}
		for c := range closed {
			a.Release(c)
		}
		assert.Equal(t, a.held, int64(0))
		assert.Equal(t, a.leaving, int64(0))
		assert.Equal(t, len(a.reading), 0)
	})
}

// TestLimitsOfTheUsersSites checks that the limits leave room for the largest legal body, and that connections and bodies
// together keep within the memory for requests.
func TestLimitsOfTheUsersSites(t *testing.T) {
	const mb = 1 << 20
	tests := map[string]struct {
		memoryMB, callers int
	}{
		"Smallest":         {160, CallerConns(3900)},
		"Usual":            {284, CallerConns(3900)},
		"Largest":          {536, CallerConns(7992)},
		"FewDescriptors":   {284, CallerConns(20)},
		"CallersAreChosen": {284, 50},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			memory := int64(float64(test.memoryMB*mb) * RequestMemoryShare)
			l := NewLimits(memory, test.callers)
			assert.Assert(t, l.BodyBytes+int64(l.CallerConns+l.OperatorConns+l.ReadinessConns)*ConnBytes <= memory)
			assert.Assert(t, l.CallerConns <= max(test.callers, minConns))
			assert.Assert(t, l.BodyBytes >= 8*mb)
			assert.Assert(t, l.CallerConns >= minConns && l.PeerConns >= minConns)
		})
	}
}
