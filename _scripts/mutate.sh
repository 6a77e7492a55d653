#!/usr/bin/env bash
# Mutation test: disables one mechanism at a time in a scratch copy of the repository, and reports whether the tests fail.
# Usage: _scripts/mutate.sh [NAME]   (all mutants, or only NAME)
set -u
top=$(git rev-parse --show-toplevel)
only=${1:-}
survived=0

# mutant NAME FILE OLD NEW PACKAGE TESTFLAGS replaces the text OLD, which must occur in FILE, by NEW, and runs the tests of
# PACKAGE. The mutant is caught if they fail.
mutant() {
  [ -z "$only" ] || [ "$only" = "$1" ] || return 0
  copy=$(mktemp -d)
  git -C "$top" ls-files -z --cached --others --exclude-standard | (cd "$top" && xargs -0 cp --parents -t "$copy")
  if ! FILE="$copy/$2" OLD="$3" NEW="$4" perl -0pi -e 'BEGIN{$o=$ENV{OLD};$n=$ENV{NEW}} s/\Q$o\E/$n/ or $bad=1; END{exit 1 if $bad}' "$copy/$2"; then
    echo "MUTANT $1: pattern not found"
    survived=1
  elif (cd "$copy" && go test -count=1 "$5" $6 >"$copy/out" 2>&1); then
    echo "MUTANT $1: SURVIVED"
    survived=1
  else
    echo "MUTANT $1: caught: $(grep -m1 -E 'failed after|FAIL:|panic|build failed' "$copy/out")"
  fi
  rm -rf "$copy"
}

shard="-run=TestOneOwner -rapid.checks=8000 -rapid.shrinktime=1s -rapid.nofailfile"
manager=core/ccshard/manager.go
plan=core/ccshard/plan.go
mutant taker-does-not-wait $manager 's.safeAt = now + k.cfg.ReadWindow + k.cfg.Drift' 's.safeAt = now' ./core/ccshard "$shard"
mutant promise-counts-while-writing $manager 'if !k.writing(name) {' 'if true {' ./core/ccshard "$shard"
mutant heir-grants-while-writing $manager 'if k.writing(ask.Shard) {' 'if false {' ./core/ccshard "$shard"
mutant heir-ignores-own-promise $plan 'if p.now < s.grantedUntil {' 'if false {' ./core/ccshard "$shard"
mutant rescue-without-evidence $plan '|| !p.v.Dead(s.rec.Owner)' '' ./core/ccshard "$shard"
mutant reopened-in-doubt $plan 's.releasing = s.releasing && p.k.writing(name)' 's.releasing = false' ./core/ccshard "$shard"
mutant early-release $plan '|| p.now < s.safeAt' '' ./core/ccshard "$shard"
mutant doubtful-write-forgotten $plan 'k.pending != nil && !k.pending.doubtful' 'k.pending != nil' ./core/ccshard "$shard"
mutant promise-outlives-its-end $manager 'askedAt+k.cfg.GrantPeriod-k.cfg.Drift' 'askedAt+20*k.cfg.GrantPeriod' ./core/ccshard "$shard"
mutant read-counts-from-arrival $manager 's.readAt = max(s.readAt, sentAt)' 's.readAt = max(s.readAt, now)' ./core/ccshard "${shard/8000/60000}"

jobs="-run=TestNoTaskTwice -rapid.checks=20000 -rapid.shrinktime=1s -rapid.nofailfile"
driver=core/ccjob/driver.go
report=core/ccjob/report.go
mutant old-drivers-are-heard core/ccledger/gate.go 'return s.Epoch > f.Epoch' 'return true' ./core/ccjob "$jobs"
mutant late-orders-are-taken core/ccledger/gate.go 'return s.Seq >= f.Seq' 'return true' ./core/ccjob "$jobs"
mutant new-driver-knows-no-doubt $driver 'case inherited:' 'case false:' ./core/ccjob "$jobs"
mutant doubt-ends-without-reports $report 'case t.phase == doubtful && oldest > t.since && t.seenAt < oldest:' 'case t.phase == doubtful:' ./core/ccjob "$jobs"
mutant doubt-ends-by-an-old-failure $report 'if t.phase == doubtful && c.State.Ended() && d.endsInDoubt(r, t, c) {' 'if false {' ./core/ccjob "$jobs"
mutant starts-before-the-table-is-read core/ccledger/pool.go 'claims: map[string]*Claim{}, heardAt: now}' 'claims: map[string]*Claim{}, heardAt: now, ready: true}' ./core/ccjob "$jobs"
mutant doubtful-starts-hold-nothing core/ccledger/reconcile.go 'return c.Until < askedAt' 'return true' ./core/ccjob "$jobs"
mutant old-tables-end-new-claims core/ccledger/reconcile.go 'return c.Since < askedAt' 'return true' ./core/ccjob "$jobs"
mutant unreachable-means-ended core/ccledger/reconcile.go 'if now < e.heardAt+p.cfg.TaskLease {
			return false' 'if false {
			return false' ./core/ccjob "$jobs"
mutant capacity-is-not-held core/ccledger/pool.go 'e.free = e.free.Minus(c.Size)' '' ./core/ccjob "$jobs"
cell="-run=TestCellModel|TestWorkersAre|TestTickets|TestRoster|TestAdopted|TestLostAnswer|TestFailures|TestNothingIsOrdered|TestReadsBefore|TestListsOut|TestFailureIs -rapid.checks=4000 -rapid.shrinktime=1s -rapid.nofailfile"
cells=core/cccell
mutant leader-needs-no-authority $cells/place.go 'if now < c.authority {' 'if true {' ./$cells "$cell"
mutant handover-is-not-awaited $cells/cell.go 'handover: now + cfg.PriorAuthorityMs,' 'handover: now,' ./$cells "$cell"
mutant reads-before-the-handover-count $cells/registry.go 'c.unread(w) && now < w.freeAt' '!w.looked && now < w.freeAt' ./$cells "$cell"
mutant lease-of-a-renewal-is-forgotten $cells/polls.go 'w.until = max(w.until, o.LeaseUntilMs)' '' ./$cells "$cell"
mutant lease-of-a-start-is-forgotten $cells/place.go 'w.until = max(w.until, until)' '' ./$cells "$cell"
mutant old-lists-end-new-attempts $cells/replies.go '|| r.Sent <= a.surelySince' '' ./$cells "$cell"
mutant older-list-is-believed $cells/replies.go 'if r.ClockMs < w.listedAt {' 'if false {' ./$cells "$cell"
mutant failure-counts-twice $cells/ends.go 'if slices.Contains(s.failures[i], a.number) {' 'if slices.Contains(s.failures[i], a.number) && false {' ./$cells "$cell"
mutant adopted-jobs-do-not-wait $cells/place.go 'if s.job.adopted && !settled {' 'if false {' ./$cells "$cell"
mutant emptied-though-not-read $cells/registry.go '&& !c.unread(w) && len(w.attempts) == 0' '&& len(w.attempts) == 0' ./$cells "$cell"
exit $survived
