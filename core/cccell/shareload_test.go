package cccell_test

import (
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"coriandercross/core/cccell"
	"coriandercross/core/ccquota"
	"coriandercross/core/ccwork"
	"coriandercross/core/ccworkersim"
)

const (
	shareTeams   = 20
	shareWorkers = 35
	// shareCallers is the number of processes that call the policy service.
	shareCallers = 32
	// shareLoadMs is the length of the traffic, shareDrainMs the time after it in which all jobs have to complete.
	shareLoadMs, shareDrainMs ms = 34_000, 90_000
	// shareStepMs is the time between two rounds.
	shareStepMs ms = 40
	// Batch work comes at burstFactor times its rate from burstAt to burstEnd; the hot team sends hotFactor times its
	// usual from hotAt to hotEnd.
	shareBurstAt, shareBurstEnd ms = 4000, 10_000
	shareHotAt, shareHotEnd     ms = 7000, 13_500
)

// shareKind is a kind of job: its rate a second, all teams together, and what it is like.
type shareKind struct {
	name     string
	rate     float64
	queue    cccell.Queue
	stages   float64
	width    float64
	maxWidth float64
	runMs    float64
	cores    int64
	memory   int64
	worth    float64
	// estOff is the part by which estimates are wrong at most.
	estOff float64
	// advice is the policy service, if the test has one, and allowed the part of the workers that it allows.
	advice  cccell.AdviceConfig
	allowed float64
}

// shareKinds are urgent and batch work that together use most of the workers at their usual rates.
var shareKinds = []shareKind{
	{"quick", 20.9, cccell.Queue{Name: "quick", Service: "s", MaxAttempts: 3, TargetMs: 500, SlackFactor: 1.5}, 1.6, 1, 6, 1000, 8900, 9200, 0.654, 0.9, cccell.AdviceConfig{DecideMs: 29, PerWorkerMs: 0.41, ValidMs: 2500}, 0.7},
	{"batch", 5.34, cccell.Queue{Name: "batch", Service: "s", MaxAttempts: 4, TargetMs: 1200, SlackFactor: 2.2, Priority: 2}, 2, 1.7, 8, 4800, 18_000, 26_000, 2.52, 0.2, cccell.AdviceConfig{DecideMs: 390, PerWorkerMs: 5.6, ValidMs: 2500}, 0.35},
}

// kindOf returns the kind of a job.
func kindOf(j *cccell.Job) *shareKind {
	return &shareKinds[slices.IndexFunc(shareKinds, func(k shareKind) bool { return k.name == j.Queue.Name })]
}

// sharedJob is a job of the load.
type sharedJob struct {
	*cccell.Job
	at       ms
	targetMs ms
	worth    float64
	// owed is false for a job beyond its team's weight; tasks is the number of its tasks.
	owed  bool
	tasks int
	runMs [][]ms
	done  ms
	// day tells the jobs of several plays apart.
	day uint64
}

// shareLoad is a burst of batch work in which one team sends many times its usual.
type shareLoad struct {
	*crashLoad
	teams   []cccell.Team
	traffic []*sharedJob
	byID    map[string]*sharedJob
	// each is called before each round with the time since the begin of the traffic; it may be nil.
	each  func(at ms)
	calls *policyCalls
}

// shareTraffic returns the jobs of a day. hot is the number of the team that sends hotFactor times its usual.
func shareTraffic(seed uint64, burstFactor, hotFactor float64, hot int) ([]*sharedJob, []cccell.Team) {
	sum := 0.0
	for i := range shareTeams {
		sum += math.Pow(float64(i+1), -1.2)
	}
	var list []*sharedJob
	var teams []cccell.Team
	for i := range shareTeams {
		rng := rand.New(rand.NewPCG(seed, uint64(i))) // The other teams send the same whatever the hot team does.
		part := math.Pow(float64(i+1), -1.2) / sum
		name := fmt.Sprintf("t%02d", i)
		rate := 0.0
		for k := range shareKinds {
			kind := &shareKinds[k]
			rate += part * kind.rate
			for at := ms(0); at < shareLoadMs; at += 20 {
				perStep := part * kind.rate * 0.02
				if kind.name == "batch" && at >= shareBurstAt && at < shareBurstEnd {
					perStep *= burstFactor
				}
				if i == hot && at >= shareHotAt && at < shareHotEnd {
					perStep *= hotFactor
				}
				for ; rng.Float64() < perStep; perStep-- {
					list = append(list, newSharedJob(rng, seed, kind, name, at, len(list)))
				}
			}
		}
		teams = append(teams, cccell.Team{Name: name, Limits: ccquota.Limits{Weight: int64(math.Ceil(max(1, 1.9*rate)))}})
	}
	slices.SortStableFunc(list, func(a, b *sharedJob) int { return int(a.at - b.at) })
	markOwed(list, teams)
	return list, teams
}

// newSharedJob draws a job.
func newSharedJob(rng *rand.Rand, seed uint64, kind *shareKind, team string, at ms, seq int) *sharedJob {
	vary := func(mean, spread float64) float64 { return mean * math.Exp(spread*rng.NormFloat64()-spread*spread/2) }
	j := &sharedJob{Job: &cccell.Job{ID: fmt.Sprintf("%s-%s-%05d", kind.name, team, seq), Queue: kind.queue, Team: team}, at: at, worth: kind.worth, day: seed}
	chain := ms(0)
	for s := range max(1, int(math.Round(vary(kind.stages, 0.4)))) {
		runMs := min(vary(kind.runMs, 0.5), 2.5*kind.runMs)
		spec := cccell.Stage{
			Count: int(max(1, math.Round(min(vary(kind.width, 0.7), kind.maxWidth)))), EstimateMs: int64(runMs * (1 + kind.estOff*(2*rng.Float64()-1))),
			Size: ccwork.Size{MilliCores: int64(min(vary(float64(kind.cores), 0.4), 30_000)), MemoryMB: int64(min(vary(float64(kind.memory), 0.5), 53_000))},
		}
		if s > 0 {
			spec.After = []int{s - 1}
		}
		var runs []ms
		longest := ms(0)
		for range spec.Count {
			run := ms(runMs * (0.85 + 0.3*rng.Float64()))
			runs = append(runs, run)
			longest = max(longest, run)
		}
		chain += longest
		j.tasks += spec.Count
		j.runMs = append(j.runMs, runs)
		j.Stages = append(j.Stages, spec)
	}
	j.targetMs = ms(kind.queue.SlackFactor*float64(chain)) + ms(kind.queue.TargetMs)
	return j
}

// markOwed marks the jobs that are owed: those within their team's weight in the second before.
func markOwed(list []*sharedJob, teams []cccell.Team) {
	recent := map[string][]ms{}
	for _, j := range list {
		weight := int(teams[slices.IndexFunc(teams, func(t cccell.Team) bool { return t.Name == j.Team })].Limits.Weight)
		sent := slices.DeleteFunc(recent[j.Team], func(at ms) bool { return at <= j.at-1000 })
		if j.owed = len(sent) < weight; j.owed {
			sent = append(sent, j.at)
		}
		recent[j.Team] = sent
	}
}

// newShareLoad returns a load with a leader that has polled its workers. Without fair, the cell has no teams: it places
// jobs by the time at which they miss their targets, as they came.
func newShareLoad(t *testing.T, traffic []*sharedJob, teams []cccell.Team, fair bool) *shareLoad {
	l := &shareLoad{
		crashLoad: &crashLoad{
			t: t, now: 10_000, stepMs: shareStepMs, reached: map[string]bool{}, crashAt: map[string]ms{}, backAt: map[string]ms{}, unlistAt: map[string]ms{}, backAfterMs: 1 << 40,
			deadly: func(cccell.TaskID) (ms, bool) { return 0, false },
			jobs:   map[string]*cccell.Job{}, stored: map[string]cccell.StoredJob{}, states: map[string]cccell.State{}, excess: map[string]bool{},
		},
		byID: map[string]*sharedJob{},
	}
	if fair {
		l.teams = teams
	}
	for i := range shareWorkers {
		id := fmt.Sprintf("w%02d", i)
		l.workers = append(l.workers, &ccworkersim.Worker{
			Info: cccell.WorkerInfo{
				ID: id, Address: id + ":1", Service: "s", Labels: []string{"a", fmt.Sprintf("r-%d", i/12)}, IncarnationMs: 1000,
				Capacity: ccwork.Size{MilliCores: 64_000, MemoryMB: 131_072},
			},
			MaxLeaseMs: 6000, Plan: func(id cccell.TaskID, _ int64) (ms, cccell.End, ccwork.Size) {
				j := l.byID[id.Job]
				return j.runMs[id.Stage][id.Index], cccell.EndDone, j.Stages[id.Stage].Size
			},
		})
		l.reached[id] = true
	}
	l.crashLoad.advise = l.advise
	l.replaceLeader()
	l.run(6000, nil)
	for _, j := range traffic {
		copied := *j
		l.byID[j.ID] = &copied
		l.traffic = append(l.traffic, &copied)
	}
	return l
}

// replaceLeader ends the term of the leader. The next one learns from the other processes which jobs are excess.
func (l *shareLoad) replaceLeader() {
	l.crashLoad.replaceLeader()
	l.cell.SetTeams(l.teams)
	l.calls = newPolicyCalls(l.cell)
	l.cell.AdoptExcess(slices.Collect(maps.Keys(l.excess)))
}

// policyCalls are the calls to the policy service, which answers one call at a time from each of the processes.
type policyCalls struct {
	queue   *cccell.AdviceQueue
	vms     []string
	freeAt  map[string]ms
	pending []policyCall
}

// policyCall is a call that is under way.
type policyCall struct {
	cccell.AdviceAssignment
	at ms
}

func newPolicyCalls(c *cccell.Cell) *policyCalls {
	p := &policyCalls{queue: cccell.NewAdviceQueue(c), freeAt: map[string]ms{}}
	for i := range shareCallers {
		p.vms = append(p.vms, fmt.Sprintf("vm%02d", i))
	}
	return p
}

// advise makes the requests of a round, and delivers the replies that are due. Some of the workers may run a stage.
func (l *shareLoad) advise(requests []cccell.AdviceRequest) {
	p := l.calls
	p.queue.Add(requests)
	p.pending = slices.DeleteFunc(p.pending, func(call policyCall) bool {
		if call.at > l.now {
			return false
		}
		r := &call.Request
		reply := cccell.AdviceReply{Stage: r.Stage, Workers: r.Workers, Tickets: map[string]string{}, ValidMs: 2500, ID: r.ID}
		part := kindOf(l.jobs[r.Stage.Job]).allowed
		for _, id := range r.Workers {
			h := fnv.New32a()
			fmt.Fprint(h, id, r.Stage)
			if float64(h.Sum32()%1000) < 1000*part {
				reply.Tickets[id] = "t"
			}
		}
		p.queue.Complete(call.VM, &reply, l.now)
		l.cell.OnAdviceReply(&reply, l.now)
		return true
	})
	for _, a := range p.queue.Assign(p.vms, func(string) bool { return false }, 0, l.now) {
		p.freeAt[a.VM] = max(l.now, p.freeAt[a.VM]) + ms(a.Request.CallMs)
		p.pending = append(p.pending, policyCall{a, p.freeAt[a.VM]})
	}
}

// takeAway ends some workers, which have two seconds' notice.
func (l *shareLoad) takeAway(workers []*ccworkersim.Worker) {
	for _, w := range workers {
		w.Info.Draining, w.Info.DrainLeftMs = true, 2000
		l.cell.SetWorker(w.Info, l.now)
		l.crashAt[w.Info.ID] = l.now + 2000
	}
}

// play plays the traffic, and the time after it until all jobs have completed.
func (l *shareLoad) play() {
	began, next := l.now, 0
	var open []*sharedJob
	for l.now-began < shareLoadMs+shareDrainMs && (next < len(l.traffic) || len(open) > 0) {
		at := l.now - began
		if l.each != nil {
			l.each(at)
		}
		for ; next < len(l.traffic) && l.traffic[next].at <= at; next++ {
			j := l.traffic[next]
			j.AcceptedMs = int64(l.now)
			l.jobs[j.ID], l.stored[j.ID] = j.Job, cccell.StoredJob{Job: j.Job}
			l.cell.AddJob(j.Job, l.now, l.now)
			open = append(open, j)
		}
		l.run(shareStepMs, nil)
		open = slices.DeleteFunc(open, func(j *sharedJob) bool {
			if p := l.stored[j.ID].Progress; p != nil && p.State == cccell.Completed {
				j.done = l.now - began
			}
			return j.done != 0
		})
	}
}

// complete reports whether all jobs have completed.
func (l *shareLoad) complete() bool {
	return !slices.ContainsFunc(l.traffic, func(j *sharedJob) bool { return j.done == 0 })
}

// credit returns what a job earns, as a part of what it is worth: late results are worth a fifth.
func (j *sharedJob) credit() float64 {
	switch took := j.done - j.at; {
	case j.done == 0 || took > 3*j.targetMs:
		return 0
	case took > j.targetMs:
		return 0.2
	}
	return 1
}

// served returns what the chosen jobs have earned, as a part of what is owed. A team is owed what it sends in a second
// up to its weight; what of its jobs of that second has earned this doesn't matter.
func served(list []*sharedJob, chosen func(*sharedJob) bool) float64 {
	type second struct {
		team string
		at   ms
		day  uint64
	}
	earned, owed := map[second]float64{}, map[second]float64{}
	for _, j := range list {
		if !chosen(j) {
			continue
		}
		k := second{j.Team, j.at / 1000, j.day}
		earned[k] += j.worth * j.credit()
		if j.owed {
			owed[k] += j.worth
		}
	}
	totalEarned, totalOwed := 0.0, 0.0
	for k := range owed {
		totalEarned += min(earned[k], owed[k])
		totalOwed += owed[k]
	}
	return totalEarned / totalOwed
}

// byTeam returns the part of what they are owed that the teams have got.
func byTeam(list []*sharedJob) []float64 {
	var out []float64
	for i := range shareTeams {
		name := fmt.Sprintf("t%02d", i)
		out = append(out, served(list, func(j *sharedJob) bool { return j.Team == name }))
	}
	return out
}

// worstToMedian returns the worst team's part of what it is owed, against that of the median team.
func worstToMedian(jobs []*sharedJob) float64 {
	list := byTeam(jobs)
	slices.Sort(list)
	return list[0] / ((list[shareTeams/2-1] + list[shareTeams/2]) / 2)
}
