#!/usr/bin/env bash
# Ablation: plays days of a deployment with one mechanism switched off at a time, each in a scratch copy of the repository,
# and prints the worth of each play.
# Usage: _scripts/ablate.sh BENCH SITE "DAY..." "SEED..." [NAME]   (all mechanisms, or only NAME; "none" is the code as it is)
# The journal entries of the plays are copied into journal/.
set -eu
top=$(git rev-parse --show-toplevel)
. "$top/_scripts/replace.sh"
bench=$(realpath "$1") site=$(realpath "$2") days=$3 seeds=$4 only=${5:-}

# off NAME FILE OLD NEW replaces the text OLD, which must occur in FILE, by NEW, and plays the days.
off() {
  [ -z "$only" ] || [ "$only" = "$1" ] || return 0
  copy=$(mktemp -d)
  git clone -q "$top" "$copy"
  replace "$copy/$2" "$3" "$4"
  for day in $days; do
    for seed in $seeds; do
      out=$(cd "$copy" && "$bench" run "$site" "$day" --seed "$seed" --why "ablation: $1")
      echo "$out" | awk -v name="$1" -v day="$day" -v seed="$seed" '$1 == day { print name, day, seed, $4, /BROKEN/ ? "broken" : "" ; exit }'
    done
  done
  cp -n "$copy"/journal/*.json "$top/journal/"
  rm -rf "$copy"
}

cell=core/cccell
off none README.md '#' '#'
off unstored-starts deploy/system.toml 'coriandercross entry' 'coriandercross entry --store-before-start'
off drained-roster $cell/registry.go 'w.priorLeasesEndAt = now' '_ = now'
off await-configuration io/cccontrol/configuration.go 'p.config.Load() == nil && p.now' 'false && p.now'
off holds $cell/place.go 'c.holdWorkers(s, now)' ''
off straggler-moves $cell/place.go 'c.moveStragglers(now)' ''
off early-advice-of-adopted $cell/place.go 'c.requestAdviceEarly(s, now)' ''
off worker-types $cell/stragglers.go 'f := c.workerTypes.slowness(w.workerType)' 'f := 1.0'
off quarantine $cell/health.go '|| !mayBegin' '|| true'
off advice-pauses $cell/advicequeue.go 'callerPauseMs ms = 1500' 'callerPauseMs ms = 0'
off order-by-due-time $cell/place.go 'return float64(s.job.arrivedAt) + q.SlackFactor*float64(c.chainMs(s.job)) + float64(q.TargetMs) + later' 'return float64(s.job.arrivedAt)'
