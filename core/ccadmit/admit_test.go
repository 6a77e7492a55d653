package ccadmit

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestBeginDue checks when a leader is asked to run a job that is not stored yet: as soon as the store is slower than
// usual or lost, once in each term, and again a while after it has not confirmed.
func TestBeginDue(t *testing.T) {
	tests := map[string]struct {
		s     Submission
		token int64
		lost  bool
		now   ms
		want  bool
	}{
		"StoreAsFastAsUsual": {s: Submission{ArrivedAt: 1000, BeginAfterMs: 35}, token: 1, now: 1034, want: false},
		"StoreSlow":          {s: Submission{ArrivedAt: 1000, BeginAfterMs: 35}, token: 1, now: 1035, want: true},
		"StoreLost":          {s: Submission{ArrivedAt: 1000, BeginAfterMs: 35}, token: 1, lost: true, now: 1000, want: true},
		"NoLeader":           {s: Submission{ArrivedAt: 1000}, lost: true, now: 1100, want: false},
		"Runs":               {s: Submission{ArrivedAt: 1000, BegunBy: 1}, token: 1, lost: true, now: 1100, want: false},
		"RanInAnEarlierTerm": {s: Submission{ArrivedAt: 1000, BegunBy: 1}, token: 2, lost: true, now: 1100, want: true},
		"JustAsked":          {s: Submission{ArrivedAt: 1000, askedAt: 1000}, token: 1, lost: true, now: 1199, want: false},
		"AskedInVain":        {s: Submission{ArrivedAt: 1000, askedAt: 1000}, token: 1, lost: true, now: 1200, want: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.s.BeginDue(test.token, test.lost, test.now), test.want)
		})
	}
}

// TestAnswer checks that a caller is refused only when no process may have its job, and waits for longest while a leader
// runs it.
func TestAnswer(t *testing.T) {
	tests := map[string]struct {
		s    Submission
		want Answer
		at   ms
	}{
		"NotWritten":         {Submission{BudgetMs: 3000}, Refused, 900},
		"WriteInDoubt":       {Submission{BudgetMs: 3000, InDoubt: true}, Unknown, 900},
		"LeaderNotHeard":     {Submission{BudgetMs: 3000, AskedInVain: true}, Unknown, 900},
		"LeaderRunsIt":       {Submission{BudgetMs: 3000, BegunBy: 1}, Unknown, 2850},
		"SeenByAnother":      {Submission{BudgetMs: 2000, Returning: true}, Unknown, 600},
		"TimeAlmostOver":     {Submission{BudgetMs: 100, BegunBy: 1}, Unknown, 0},
		"SeenByAnotherAtEnd": {Submission{BudgetMs: 0, Returning: true}, Unknown, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.s.Answer(), test.want)
			assert.Equal(t, test.s.AnswerAt(), test.at)
		})
	}
}

// TestOutage replays callers that arrive during an outage of the store and give up after three seconds. Each whose time
// reaches the end of the outage must still be waiting then, with its work under way since its arrival; of the others,
// none is told that its job does not run.
func TestOutage(t *testing.T) {
	const budgetMs, leader = 3000, 7
	for name, outageMs := range map[string]ms{"Short": 2000, "Medium": 4000, "Long": 10_000} {
		t.Run(name, func(t *testing.T) {
			for arrivedAt := ms(0); arrivedAt < outageMs; arrivedAt += 50 {
				s := Submission{ArrivedAt: arrivedAt, BudgetMs: budgetMs, BeginAfterMs: BeginAfter(5)}
				now := arrivedAt
				for ; now < outageMs && now < s.AnswerAt(); now += RecheckMs {
					if s.BeginDue(leader, now >= 400, now) {
						assert.Assert(t, now-arrivedAt <= s.BeginAfterMs+RecheckMs, "begun after %d ms", now-arrivedAt)
						s.BegunBy = leader
					}
				}
				if reaches := arrivedAt+budgetMs-answerMarginMs > outageMs+RecheckMs; reaches {
					assert.Assert(t, now >= outageMs, "answered at %d ms, arrived at %d", now, arrivedAt)
				}
				if s.BegunBy != 0 {
					assert.Equal(t, s.Answer(), Unknown)
				}
			}
		})
	}
}
