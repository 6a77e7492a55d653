package ccquota

import (
	"maps"
	"slices"

	"coriandercross/core/ccwork"
)

// Book holds the accounts of all teams. It is not safe for concurrent use.
type Book struct {
	accounts map[string]*Account
	// known is true once SetLimits was called, hasTeams once there is the account of a team.
	known, hasTeams bool
}

// Account is what one team has running, and its limits. An account is never removed, since jobs refer to it; their
// number is bounded by the teams that configurations had during the term of a leader.
type Account struct {
	book    *Book
	team    string
	limits  Limits
	running ccwork.Size
	tasks   int
}

// NewBook returns a book without limits.
func NewBook() *Book {
	return &Book{accounts: map[string]*Account{}}
}

// Account returns the account of a team. It adds an account without limits if there is none.
func (b *Book) Account(team string) *Account {
	a := b.accounts[team]
	if a == nil {
		a = &Account{book: b, team: team}
		b.accounts[team] = a
		b.hasTeams = b.hasTeams || team != ""
	}
	return a
}

// HasTeams reports whether there is an account but for that of jobs without a team.
func (b *Book) HasTeams() bool {
	return b.hasTeams
}

// Accounts returns all accounts, ordered by the names of the teams.
func (b *Book) Accounts() []*Account {
	out := make([]*Account, 0, len(b.accounts))
	for _, team := range slices.Sorted(maps.Keys(b.accounts)) {
		out = append(out, b.accounts[team])
	}
	return out
}

// SetLimits puts the limits of all teams of a configuration in force. A team that it does not have keeps its last known
// limits, since its tasks may still run.
func (b *Book) SetLimits(limits map[string]Limits) {
	b.known = true
	for team, l := range limits {
		b.Account(team).limits = l
	}
}

// Known reports whether any limits were put in force.
func (b *Book) Known() bool {
	return b.known
}

// Team returns the name of the team, empty for jobs without a team.
func (a *Account) Team() string {
	return a.team
}

// Running returns the total size of the team's charged tasks, and their number.
func (a *Account) Running() (size ccwork.Size, tasks int) {
	return a.running, a.tasks
}

// Limits returns the limits in force.
func (a *Account) Limits() Limits {
	return a.limits
}

// Charge counts one more task.
func (a *Account) Charge(size ccwork.Size) {
	a.running = a.running.Plus(size)
	a.tasks++
}

// Release counts one task less.
func (a *Account) Release(size ccwork.Size) {
	a.running = a.running.Minus(size)
	a.tasks--
}

// Capped reports whether the team has a cap or may have one: before the first limits are known, each team may.
func (a *Account) Capped() bool {
	if a.team == "" {
		return false
	}
	return !a.book.known || a.limits.Cap != ccwork.Size{}
}

// Fitting returns how many of n tasks of a size the cap admits now, beside what is charged and what else may run. A task
// that is larger than the cap itself is admitted while the team has nothing else running. Before the first limits are
// known, no task of a team is admitted.
func (a *Account) Fitting(size ccwork.Size, n int, unknown ccwork.Size) int {
	switch {
	case !a.Capped():
		return n
	case !a.book.known:
		return 0
	case a.tasks == 0 && unknown == ccwork.Size{} && !a.limits.Admits(size, 1):
		return min(n, 1)
	}
	return fitting(a.limits.Cap, a.running.Plus(unknown), size, n)
}

// Admits reports whether the cap admits n tasks of a size at a time while the team has nothing else running.
func (l *Limits) Admits(size ccwork.Size, n int) bool {
	return fitting(l.Cap, ccwork.Size{}, size, n) == n
}

// fitting returns how many of n tasks of a size fit under a cap beside what is running.
func fitting(limit, running, size ccwork.Size, n int) int {
	n = fit(limit.MilliCores, running.MilliCores, size.MilliCores, n)
	n = fit(limit.MemoryMB, running.MemoryMB, size.MemoryMB, n)
	n = fit(limit.Accelerators, running.Accelerators, size.Accelerators, n)
	n = fit(limit.Slots, running.Slots, size.Slots, n)
	return fit(limit.Connections, running.Connections, size.Connections, n)
}

// fit is fitting for one resource, of which a limit of 0 means none. Nothing fits while more is running than the limit,
// also of tasks that don't use the resource: the limit was lowered.
func fit(limit, running, size int64, n int) int {
	switch {
	case limit == 0:
		return n
	case running > limit:
		return 0
	case size == 0:
		return n
	}
	return int(min(int64(n), (limit-running)/size))
}
