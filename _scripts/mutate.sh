#!/usr/bin/env bash
# Mutation test: disables one mechanism at a time in a scratch copy of the repository, and reports whether the tests fail.
# Usage: _scripts/mutate.sh [NAME]   (all mutants, or only NAME)
set -u
top=$(git rev-parse --show-toplevel)
. "$top/_scripts/replace.sh"
only=${1:-}
survived=0

# mutant NAME FILE OLD NEW PACKAGE TESTFLAGS replaces the text OLD, which must occur in FILE, by NEW, and runs the tests of
# PACKAGE. The mutant is caught if they fail.
mutant() {
  [ -z "$only" ] || [ "$only" = "$1" ] || return 0
  copy=$(mktemp -d)
  git -C "$top" ls-files -z --cached --others --exclude-standard | (cd "$top" && xargs -0 cp --parents -t "$copy")
  if ! replace "$copy/$2" "$3" "$4"; then
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
mutant taker-does-not-wait $manager 's.priorAuthorityEnd = now + m.cfg.ReadWindow + m.cfg.Drift' 's.priorAuthorityEnd = now' ./core/ccshard "$shard"
mutant promise-counts-while-writing $manager 'if !m.writePending(name) {' 'if true {' ./core/ccshard "$shard"
mutant heir-grants-while-writing $manager 'if m.writePending(e.Shard) {' 'if false {' ./core/ccshard "$shard"
mutant heir-ignores-own-promise $plan 'if p.now < s.grantGivenUntil {' 'if false {' ./core/ccshard "$shard"
mutant rescue-without-evidence $plan '|| !p.input.Dead(s.rec.Owner)' '' ./core/ccshard "$shard"
mutant reopened-in-doubt $plan 's.releasing = s.releasing && p.m.writePending(name)' 's.releasing = false' ./core/ccshard "$shard"
mutant early-release $plan '|| p.now < s.priorAuthorityEnd' '' ./core/ccshard "$shard"
mutant doubtful-write-forgotten $plan 'm.pending != nil && !m.pending.inDoubt' 'm.pending != nil' ./core/ccshard "$shard"
mutant promise-outlives-its-end $manager 'requestedAt+m.cfg.GrantPeriod-m.cfg.Drift' 'requestedAt+20*m.cfg.GrantPeriod' ./core/ccshard "$shard"
mutant read-counts-from-arrival $manager 's.readAt = max(s.readAt, sentAt)' 's.readAt = max(s.readAt, now)' ./core/ccshard "${shard/8000/60000}"

jobs="-run=TestNoTaskTwice -rapid.checks=20000 -rapid.shrinktime=1s -rapid.nofailfile"
driver=core/ccjob/driver.go
report=core/ccjob/report.go
mutant old-drivers-are-heard core/ccledger/gate.go 'return s.Epoch > f.Epoch' 'return true' ./core/ccjob "$jobs"
mutant late-orders-are-taken core/ccledger/gate.go 'return s.Seq >= f.Seq' 'return true' ./core/ccjob "$jobs"
mutant new-driver-knows-no-doubt $driver 'case inherited:' 'case false:' ./core/ccjob "$jobs"
mutant doubt-ends-without-reports $report 'case t.phase == inDoubt && oldest > t.phaseSince && t.reportedAt < oldest:' 'case t.phase == inDoubt:' ./core/ccjob "$jobs"
mutant doubt-ends-by-an-old-failure $report 'if t.phase == inDoubt && c.State.Ended() && d.endedInDoubt(r, t, c) {' 'if false {' ./core/ccjob "$jobs"
mutant starts-before-the-table-is-read core/ccledger/pool.go 'claims: map[string]*Claim{}, lastReplyAt: now}' 'claims: map[string]*Claim{}, lastReplyAt: now, reconciled: true}' ./core/ccjob "$jobs"
mutant doubtful-starts-hold-nothing core/ccledger/reconcile.go 'return c.Until < readAt' 'return true' ./core/ccjob "$jobs"
mutant old-tables-end-new-claims core/ccledger/reconcile.go 'return c.Since < readAt' 'return true' ./core/ccjob "$jobs"
mutant unreachable-means-ended core/ccledger/reconcile.go 'if now < e.lastReplyAt+p.cfg.TaskLease {
			return false' 'if false {
			return false' ./core/ccjob "$jobs"
mutant capacity-is-not-held core/ccledger/pool.go 'e.free = e.free.Minus(c.Size)' '' ./core/ccjob "$jobs"
cell="-run=TestCellModel|TestFirstPolls|TestWorkersAre|TestTickets|TestRoster|TestAdopted|TestLostAdvice|TestFailures|TestNoOrders|TestPollsBefore|TestPollReplies|TestFailureCounts -rapid.checks=4000 -rapid.shrinktime=1s -rapid.nofailfile"
cells=core/cccell
mutant leader-needs-no-authority $cells/place.go 'if now < c.authorityUntil &&' 'if' ./$cells "$cell"
mutant handover-is-not-awaited $cells/cell.go 'handoverAt: now + cfg.PriorAuthorityMs,' 'handoverAt: now,' ./$cells "$cell"
mutant reads-before-the-handover-count $cells/registry.go 'c.needsFreshPoll(w) && now < w.priorLeasesEndAt' '!w.admitted && now < w.priorLeasesEndAt' ./$cells "$cell"
mutant lease-of-a-renewal-is-forgotten $cells/polls.go 'o.LeaseUntilMs = w.giveLease(now, c.cfg.LeaseMs)' 'sent := w.leases.sent; o.LeaseUntilMs = w.giveLease(now, c.cfg.LeaseMs); w.leases.sent = sent' ./$cells "$cell"
mutant lease-of-a-start-is-forgotten $cells/place.go 'ticket, _ := s.tickets.valid(w, now)' 'ticket, _ := s.tickets.valid(w, now); sent := w.leases.sent; defer func() { w.leases.sent = sent }()' ./$cells "$cell"
mutant old-lists-end-new-attempts $cells/replies.go '|| r.Sent <= a.confirmedAt' '' ./$cells "$cell"
mutant older-list-is-believed $cells/replies.go 'if r.ClockMs < w.listsClock {' 'if false {' ./$cells "$cell"
mutant failure-counts-twice $cells/ends.go 'if slices.Contains(s.failures[i], a.number) {' 'if slices.Contains(s.failures[i], a.number) && false {' ./$cells "$cell"
mutant adopted-jobs-do-not-wait $cells/place.go 'if s.job.adopted && !handedOver {' 'if false {' ./$cells "$cell"
mutant registrations-after-an-outage-are-not-awaited io/cccontrol/watches.go 'now-back >= directoryWaitMs {' 'true {' ./io/cccontrol "-run=TestStartsAfterAnOutage"
same="-run=TestCellModelSameID -rapid.checks=8000 -rapid.shrinktime=1s -rapid.nofailfile"
mutant ends-named-while-in-doubt $cells/polls.go '|| w.startInDoubt()' '' ./$cells "$same"
mutant start-of-the-next-process-is-lost $cells/replies.go 'case a.incarnation == r.IncarnationMs:' 'case false:' ./$cells "$same"
lease="-run=Lease|Incarnation|Restart"
mutant lease-of-the-next-process-is-forgotten $cells/replies.go 'possible = r.ClockMs + int64(c.longestLease())' 'possible = 0' ./$cells "$lease"
mutant lease-that-may-be-held-is-sent $cells/lease.go 'return max(l.sent, clock+int64(length))' 'return max(l.sent, l.possible, clock+int64(length))' ./$cells "$lease"
mutant lease-mark-is-not-in-the-roster $cells/registry.go 'info.LongLease = c.longLease(w, c.roundAt)' 'info.LongLease = false' ./$cells "$lease"
mutant lease-mark-is-not-awaited $cells/lease.go 'return c.cfg.AwaitRoster && w.leases.unrecorded' 'return false && w.leases.unrecorded' ./$cells "$lease"
mutant lease-of-another-incarnation-is-not-awaited $cells/lease.go '(p.ID != "" && p.IncarnationMs != incarnation)' 'false' ./$cells "$lease"
mutant lease-mark-ends-with-a-leader $cells/lease.go 'return w.priorLeasesEndAt > now+maxLeaseDuration(c.cfg.LeaseMs)' 'return false' ./$cells "$lease"
mutant clock-goes-back $cells/replies.go 'case w.clockAt == 0 || r.ClockMs >= w.clock:' 'case true:' ./$cells "$lease"
mutant confirmation-overtakes-a-restart $cells/replies.go '&& ahead <= int64(a.confirmedAt-r.Sent)' '&& false' ./$cells "$lease"
mutant incarnations-share-a-token $cells/fence.go 'min(c.restarts[w.info.ID], c.cfg.RestartTokens)' '0*c.restarts[w.info.ID]' ./$cells "$lease"
mutant own-fence-deposes $cells/fence.go 'r.Reason = EarlierOrder' '' ./$cells "$lease"
mutant advice-of-no-policy-service $cells/advice.go '|| s.unplaced == 0 || c.queue(s.job).Advice == nil {' '|| s.unplaced == 0 {' ./$cells "-run=TestPolicyServiceIsRemoved"
mutant stages-before-are-not-finished $cells/adopt.go 'before.restoreDone()' '' ./$cells "-run=TestStagesBefore"
mutant unreadable-job-is-run $cells/adopt.go 'j.withheld = s.Unreadable' '' ./$cells "-run=TestJobWithUnreadable"
mutant paths-are-job-ids platform/ccplatform/ingress.go 'if err = checkJobID(r.Method, id); err == nil {' 'if true {' ./platform/ccplatform "-run=TestIngressStatuses"
mutant emptied-though-not-read $cells/registry.go '&& !c.needsFreshPoll(w) && len(w.attempts) == 0' '&& len(w.attempts) == 0' ./$cells "$cell"
mutant completions-shown-before-they-are-stored $cells/cell.go 'j.final = state' 'j.final, j.published = state, state; c.publishState(j)' ./$cells "$cell"
crash="-run=TestTaskThatCrashes|TestTrials|TestCrashAfterStartReply|TestJobsSurvive|TestTaskIsNotBlamed"
mutant crashes-are-not-confirmed $cells/crash.go 'if k := &crashes[i]; k.Confirmed {' 'if k := &crashes[i]; true {' ./$cells "$crash"
mutant crashes-together-blame-a-task $cells/crash.go 'return n >= lostTogetherWorkers' 'return false' ./$cells "$crash"
mutant crashes-are-not-stored $cells/progress.go 'sp.Crashes = append(sp.Crashes, TaskCrashes{Index: i, Crashes: slices.Clone(k)})' '_, _ = i, slices.Clone(k)' ./$cells "$crash"
mutant suspects-are-not-stored-at-once $cells/replies.go 'c.suspectRecent(w, now)' '_ = now' ./$cells "$crash"
mutant cut-off-workers-have-crashed $cells/replies.go 'c.withdrawCrashes(w)' '_ = w' ./$cells "$crash"
mutant long-running-tasks-at-work-are-suspects $cells/crash.go 'case s.spec.LongRunning && a.percent >= 100 && ran >= recentStartMs:' 'case false:' ./$cells "$crash"
mutant trials-share-a-worker $cells/crash.go '(empty && n > 0) || cand.w.trialJob() != ""' 'false' ./$cells "$crash"
caps="-run=TestCellModelCaps -rapid.checks=4000 -rapid.shrinktime=1s -rapid.nofailfile"
book=core/ccquota/book.go
mutant cap-order-in-doubt-not-counted $cells/replies.go 'a.state, a.inDoubtSince = inDoubt, now' 'a.state, a.inDoubtSince = inDoubt, now; a.stage.job.account.Release(a.stage.spec.Size)' ./$cells "$caps"
mutant cap-silent-worker-not-counted $cells/caps.go '(!lapsed && c.needsFreshPoll(w) && now < w.priorLeasesEndAt)' '(lapsed && false)' ./$cells "${caps/4000/20000}"
mutant cap-silent-worker-not-known-in-full $cells/caps.go 'out := w.largest.Minus(w.used).Max(ccwork.Size{})' 'var out ccwork.Size' ./$cells "-run=TestBoundOfUnknown"
mutant cap-idle-cores-of-silent-worker-not-counted $cells/caps.go 'out.MilliCores += max(w.largest.MilliCores-w.bestEffort, 0)' '' ./$cells "-run=TestBoundOfUnknown"
mutant cap-orphan-not-counted $cells/caps.go 'w.orphans > 0 ||' 'false ||' ./$cells "-run=TestNewLeaderCounts"
mutant cap-stop-counted-too-early $cells/replies.go 'a.stopConfirmed = true' 'a.stopConfirmed = true; if a.stage != nil { a.stage.job.account.Release(a.stage.spec.Size) }' ./$cells "$caps"
mutant cap-older-limits-used $book 'b.Account(team).limits = l' 'if a := b.Account(team); a.limits == (Limits{}) { a.limits = l }' ./$cells "$caps"
mutant cap-unknown-means-none $book 'case !a.book.known:
		return 0' 'case !a.book.known:
		return n' ./$cells "$caps"
mutant cap-count-lost-at-takeover $cells/worker.go 's.job.account.Charge(s.spec.Size)' 'if !a.adopted { s.job.account.Charge(s.spec.Size) }' ./$cells "$caps"
mutant cap-best-effort-not-counted $cells/worker.go 's.job.account.Charge(s.spec.Size)' 's.job.account.Charge(s.need)' ./$cells "$caps"
mutant cap-copy-not-counted $cells/worker.go 's.job.account.Charge(s.spec.Size)' 'if len(s.tasks[a.task.Index]) == 1 { s.job.account.Charge(s.spec.Size) }' ./$cells "-run=TestCapCountsCopies"
control=io/cccontrol
keys="-run=TestTeamsAreSeparate|TestAdmit|TestKeys|TestRefusedConfiguration|TestSameID|TestIDTaken|TestTeamIsReplicated|TestOnePeerKnows|TestLeaderHears"
mutant keys-team-not-checked $control/keys.go 'return c.keys == nil || team == "" || team == c.Team' 'return true' ./$control "$keys"
mutant keys-every-route-is-public $control/keys.go 'if r.Public {' 'if true {' ./$control "$keys"
mutant keys-public-route-shows-all $control/keys.go 'return o.Queue == c.Queue //' 'return true //' ./$control "$keys"
mutant keys-renamed-team-is-another $control/keys.go '!c.keys.Has(o.Team) && o.Key != 0 && c.keys.TeamByID(o.Key) == c.Team' 'false' ./$control "$keys"
mutant keys-owner-is-guessed $control/keys.go 'if errors.Is(err, ErrNoJob) {' 'if err != nil {' ./$control "-run=TestOwnerIsNotGuessed"
mutant keys-same-id-in-one-transaction $control/submission.go 'i == limit || seen[sub.job.ID]' 'i == limit' ./$control "$keys"
mutant keys-in-doubt-means-own $control/submission.go 'if sub.inDoubt && owner.Team == sub.job.Team' 'if sub.inDoubt' ./$control "$keys"
mutant keys-team-is-not-replicated $control/statecache.go 't.sentIn == sc.token' 'true' ./$control "$keys"
mutant versions-one-peer-is-asked $control/spread.go 'configAskPeersFirst = 8' 'configAskPeersFirst = 1' ./$control "$keys"
mutant versions-all-peers-send-the-document $control/spread.go '!p.fetchingConfig.CompareAndSwap(false, true)' 'false' ./$control "-run=TestDocumentIsFetchedOnce|TestLeaderHears"
mutant versions-peers-are-not-heard $control/sync.go 'p.hearVersion(in.VM, in.Version)' '' ./$control "$keys"
quorum="-run=TestOneLeaderActs -rapid.checks=20000 -rapid.shrinktime=1s -rapid.nofailfile"
quorums=core/ccquorum
mutant handover-awaits-no-voters $quorums/quorum.go 'endsAt: wonAt + MaxWithoutStoreAllMs + priorAuthorityMs}' 'endsAt: wonAt + priorAuthorityMs}' ./$quorums "$quorum"
mutant half-is-a-majority $quorums/quorum.go 'return len(voters)/2 + 1' 'return len(voters) / 2' ./$quorums "$quorum"
mutant suspension-is-not-counted $quorums/quorum.go 't.validFrom, t.storeAt, t.workersAt = now, 0, 0' 't.validFrom = 0' ./$quorums "$quorum"
mutant prior-of-an-unsettled-leader $quorums/quorum.go 'if h.settled {' 'if true {' ./$quorums "$quorum"
mutant released-voters-end-at-once $quorums/quorum.go 'min(h.endsAt, now+h.authorityMs)' 'min(h.endsAt, now)' ./$quorums "$quorum"
mutant voters-of-an-older-write-forgotten $quorums/quorum.go 't.voterSets = append(t.voterSets, voters)' 't.voterSets = [][]Voter{voters}' ./$quorums "$quorum"
mutant voters-in-doubt-ignored $quorums/quorum.go 't.voterSets = append(t.voterSets, voters)' '_ = voters' ./$quorums "$quorum"
mutant restarted-process-is-the-voter $quorums/quorum.go 'times = append(times, t.confirmedAt[v])' 'best := ms(0); for o, at := range t.confirmedAt { if o.VM == v.VM { best = max(best, at) } }; times = append(times, best)' ./$quorums "$quorum"
mutant workers-are-not-needed $quorums/quorum.go 'if byWorkers, needed := t.authorityByWorkers(); needed {' 'if byWorkers, needed := t.authorityByWorkers(); needed && false {' ./$quorums "$quorum"
mutant half-of-the-workers-release $quorums/workers.go 'len(h.roster)-len(h.reached) < h.roster.needed()' 'len(h.roster)-len(h.reached) <= h.roster.needed()' ./$quorums "$quorum"
mutant majority-counts-for-ever $quorums/quorum.go 'min(majorityAt+t.authorityMs, t.storeAt+MaxWithoutStoreMs)' 'majorityAt+t.authorityMs' ./$quorums "$quorum"
lead="-run=TestSlow|TestDead|TestTerms|TestEvidence|TestOffer|TestOrder|TestPace"
leads=core/ccsuccession
mutant slow-leader-stays $leads/resignation.go 'slowFor >= max(minSlowMs' 'slowFor >= 100*max(minSlowMs' ./$leads "$lead"
mutant old-reports-count $leads/resignation.go '&& c.ReportedAt >= o.Since' '' ./$leads "$lead"
mutant dropped-leader-ranks-as-before $leads/terms.go 'return now < t.demoted[vm]' 'return false' ./$leads "${lead/|TestTerms/}"
mutant slow-process-ranks-as-before $leads/rank.go 'return c.Cores / max(c.Slowness, 1)' 'return c.Cores' ./$leads "$lead"
mutant patience-does-not-grow $leads/terms.go 'return min(basePatienceMs<<min(n-1, maxDoublings), maxPatienceMs)' 'return 0' ./$leads "$lead"
mutant slow-observer-campaigns $leads/judge.go 'case e.Failure == Silent && e.OwnSlow &&' 'case false &&' ./$leads "$lead"
mutant term-goes-on-after-handover io/cccontrol/succession.go 'if l.end("slow: handed over to " + vm) {' 'if true {' ./io/cccontrol "-run=TestSlowLeaderEndsItsTerm"
mutant any-handed-over-term-counts io/cccontrol/follow.go 'case out.HandedOver && out.Token == leader.Token:' 'case out.HandedOver:' ./io/cccontrol "-run=TestSuccessor"
mutant contact-from-before-the-failure-counts $leads/judge.go 'return min(usual, max(e.ForMs, heartbeat))' 'return usual' ./$leads "-run=TestContactBefore"
fair=core/ccfair/shares.go
mutant excess-ranks-as-before $fair 'due += float64(ExcessDelayMs)' '' ./core/ccfair "-run=TestOrderOfWork"
mutant share-does-not-count $fair 'if w.Held > 1 {' 'if false {' ./core/ccfair "-run=TestOrderOfWork"
mutant excess-is-charged $fair 't.excess++
		return true' 't.excess++
		t.budget--
		return true' ./core/ccfair "-run=Budget"
mutant excess-is-forgotten-at-a-takeover $cells/share.go 'j.excess = c.knownExcess[j.spec.ID]' 'j.excess = false' ./$cells "-run=TestTakeoverChangesNoBudget"
mutant orphaned-ends-are-forgotten core/cccell/unstored.go 'if !c.cfg.PriorUnstored ||' 'if true ||' ./core/cccell '-run=NextLeaderFindsUnstoredWork|UnknownWorkIsEnded'
mutant refusal-despite-doubt core/ccadmit/admit.go '|| s.Returning' '' ./core/ccadmit ''
mutant progress-before-the-submission core/cccell/persist.go 'if j.unstored {
			kept' 'if false {
			kept' ./core/cccell '-run=UnstoredJobRunsUnseen'
exit $survived
