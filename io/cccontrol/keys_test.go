package cccontrol_test

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"coriandercross/core/cccell"
	"coriandercross/core/ccclock"
	"coriandercross/io/cccontrol"
	"coriandercross/io/ccpeer"
	"coriandercross/io/ccstandin"
	"coriandercross/platform/ccplatform"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
)

// keyed is a process with a configuration, and what it has logged and counted.
type keyed struct {
	*cccontrol.Process
	store *ccstandin.CellStore
	log   *bytes.Buffer
	reg   *prometheus.Registry
}

// newKeyed returns a process whose background loops don't run. Processes with one store share their jobs.
func newKeyed(t testing.TB, store *ccstandin.CellStore) *keyed {
	t.Helper()
	clock := ccclock.NewSystem()
	k := &keyed{store: store, log: &bytes.Buffer{}, reg: prometheus.NewRegistry()}
	monitored := cccontrol.NewMonitoredStore(store, clock, nil)
	k.Process = cccontrol.New(cccontrol.Config{
		VM: "vm", Address: "127.0.0.1:1", Clock: clock, Log: log.NewWithOptions(k.log, log.Options{Level: log.DebugLevel}), Metrics: cccontrol.NewMetrics(k.reg),
		Store: monitored, ConfigSource: ccplatform.NewConfigReader(monitored),
		Peers: ccpeer.NewClient(ccpeer.ClientConfig{DialTimeout: time.Second, ControlTimeout: time.Second}),
	})
	return k
}

// configure puts a configuration in force: a private route for the queue q, and a public one for the queue open. teams
// is the field tenants of the document.
func (k *keyed) configure(version int, teams string) {
	k.configureRoutes(version, teams, false)
}

// configureRoutes does so with a route for the queue q that is public or not.
func (k *keyed) configureRoutes(version int, teams string, public bool) {
	cccontrol.Activate(k.Process, []byte(fmt.Sprintf(`{"version":%d,"routes":[{"name":"q","prefix":"/q/","service":"s","public":%t},
		{"name":"open","prefix":"/open/","service":"s","public":true}],"tenants":%s}`, version, public, teams)))
}

// as returns the caller with a key on the route of a queue. The request must be admitted.
func (k *keyed) as(t *testing.T, queue, key string) cccontrol.Caller {
	t.Helper()
	_, caller, err := k.Admit("", "/"+queue+"/j", authorization(key))
	assert.NilError(t, err)
	return caller
}

// authorization returns the header of that name, empty without a key.
func authorization(key string) string {
	if key == "" {
		return ""
	}
	return "Token " + key
}

// submit submits a job with a key on the route of a queue.
func (k *keyed) submit(t *testing.T, queue, key, id string) error {
	t.Helper()
	j := testJob(id)
	j.Queue.Name = queue
	return k.Submit(context.Background(), k.as(t, queue, key), j, 3000)
}

const twoTeams = `[{"name":"a","api_keys":["ka1","ka2"]},{"name":"b","api_keys":["kb"]}]`

// TestAdmit checks the order of the checks, and that the configuration in force decides.
func TestAdmit(t *testing.T) {
	tests := map[string]struct {
		// teams is empty for a process without a configuration.
		teams, path, authorization string
		team                       string
		want                       error
	}{
		"NoConfig":           {"", "/q/j", "Token ka1", "", cccontrol.ErrNoConfig},
		"NoRoute":            {twoTeams, "/none/j", "Token ka1", "", cccontrol.ErrNoRoute},
		"NoRouteNoKey":       {twoTeams, "/none/j", "", "", cccontrol.ErrNoRoute},
		"FirstKey":           {twoTeams, "/q/j", "Token ka1", "a", nil},
		"SecondKey":          {twoTeams, "/q/j", "Token ka2", "a", nil},
		"OtherTeam":          {twoTeams, "/q/j", "Token kb", "b", nil},
		"CaseOfScheme":       {twoTeams, "/q/j", "token  kb ", "b", nil},
		"OtherScheme":        {twoTeams, "/q/j", "Basic kb", "", cccontrol.ErrUnknownKey},
		"NoScheme":           {twoTeams, "/q/j", "kb", "", cccontrol.ErrUnknownKey},
		"NoKey":              {twoTeams, "/q/j", "", "", cccontrol.ErrUnknownKey},
		"EmptyKey":           {twoTeams, "/q/j", "Token ", "", cccontrol.ErrUnknownKey},
		"UnknownKey":         {twoTeams, "/q/j", "Token ka", "", cccontrol.ErrUnknownKey},
		"CaseOfKey":          {twoTeams, "/q/j", "Token KA1", "", cccontrol.ErrUnknownKey},
		"PublicNoKey":        {twoTeams, "/open/j", "", "", nil},
		"PublicKnownKey":     {twoTeams, "/open/j", "Token kb", "b", nil},
		"PublicUnknownKey":   {twoTeams, "/open/j", "Token k", "", nil},
		"NoTeams":            {`[]`, "/q/j", "", "", nil},
		"NoTeamsAndKey":      {`null`, "/q/j", "Token ka1", "", nil},
		"TeamsWithoutKeys":   {`[{"name":"a"}]`, "/q/j", "Token ka1", "", cccontrol.ErrUnknownKey},
		"NameIsNotItsKey":    {`[{"name":"a"}]`, "/q/j", "Token a", "", cccontrol.ErrUnknownKey},
		"CountNeedsAKey":     {twoTeams, "/q/", "", "", cccontrol.ErrUnknownKey},
		"CountWithKey":       {twoTeams, "/q/", "Token ka1", "a", nil},
		"CountOfPublicQueue": {twoTeams, "/open/", "", "", nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			k := newKeyed(t, ccstandin.NewCellStore())
			if test.teams != "" {
				k.configure(1, test.teams)
			}
			_, caller, err := k.Admit("", test.path, test.authorization)
			assert.Assert(t, errors.Is(err, test.want) && (err != nil) == (test.want != nil), "%v", err)
			assert.Equal(t, caller.Team, test.team)
			assert.Equal(t, caller.Key != 0, test.team != "")
		})
	}
}

// TestKeysFollowConfiguration checks that added and revoked keys are in force with the version that has them, and that a
// request which came before is decided by the version of that time.
func TestKeysFollowConfiguration(t *testing.T) {
	k := newKeyed(t, ccstandin.NewCellStore())
	k.configure(1, `[{"name":"a","api_keys":["old"]}]`)
	waiting := k.as(t, "q", "old")
	k.configure(2, `[{"name":"a","api_keys":["new"]}]`)
	_, _, err := k.Admit("", "/q/j", "Token old")
	assert.Assert(t, errors.Is(err, cccontrol.ErrUnknownKey))
	assert.NilError(t, k.Submit(context.Background(), waiting, testJob("j"), 3000))
	state, err := k.Status(context.Background(), k.as(t, "q", "new"), "j")
	assert.NilError(t, err, "the new key of the team must see its jobs")
	assert.Equal(t, state, cccell.Queued)
	k.configure(1, `[{"name":"a","api_keys":["old"]}]`)
	_, _, err = k.Admit("", "/q/j", "Token old")
	assert.Assert(t, errors.Is(err, cccontrol.ErrUnknownKey), "an older version was put in force")
}

// TestRefusedConfiguration checks that a malformed document leaves the version before in force, and that it is recorded
// once however often it is read, without any key.
func TestRefusedConfiguration(t *testing.T) {
	tests := map[string]string{
		"SharedKey":      `[{"name":"a","api_keys":["secret1"]},{"name":"b","api_keys":["secret1"]}]`,
		"SharedName":     `[{"name":"a","api_keys":["secret1"]},{"name":"a","api_keys":["secret2"]}]`,
		"EmptyName":      `[{"api_keys":["secret1"]}]`,
		"EmptyKey":       `[{"name":"a","api_keys":["secret1",""]}]`,
		"NegativeCap":    `[{"name":"a","api_keys":["secret1"],"cap":{"cpu":-1}}]`,
		"NegativeMemory": `[{"name":"a","api_keys":["secret1"],"cap":{"mem_mb":-1}}]`,
		"NegativeWeight": `[{"name":"a","api_keys":["secret1"],"weight":-0.5}]`,
		"KeyIsNumber":    `[{"name":"a","api_keys":["secret1",7]}]`,
		"KeysAreText":    `[{"name":"a","api_keys":"secret1"}]`,
		"CapIsText":      `[{"name":"a","api_keys":["secret1"],"cap":"secret1"}]`,
		"TeamsAreMap":    `{"a":{"api_keys":["secret1"]}}`,
	}
	for name, teams := range tests {
		t.Run(name, func(t *testing.T) {
			k := newKeyed(t, ccstandin.NewCellStore())
			k.configure(1, twoTeams)
			for range 3 {
				k.configure(2, teams)
			}
			assert.Equal(t, k.Configuration().Version, int64(1))
			assert.Equal(t, k.as(t, "q", "kb").Team, "b")
			_, _, err := k.Admit("", "/q/j", "Token secret1")
			assert.Assert(t, errors.Is(err, cccontrol.ErrUnknownKey))
			assert.Equal(t, strings.Count(k.log.String(), "configuration refused"), 1, k.log.String())
			assert.Assert(t, !strings.Contains(k.log.String(), "secret"), k.log.String())
			assert.Equal(t, k.counter(t, "coriandercross_configs_refused_total"), 1.0)
			k.configure(3, twoTeams)
			assert.Equal(t, k.Configuration().Version, int64(3))
		})
	}
}

// counter returns the sum of a metric over its labels.
func (k *keyed) counter(t *testing.T, name string) float64 {
	t.Helper()
	families, err := k.reg.Gather()
	assert.NilError(t, err)
	var sum float64
	for _, f := range families {
		for _, m := range f.GetMetric() {
			if f.GetName() == name {
				sum += m.GetCounter().GetValue()
			}
		}
	}
	return sum
}

// TestKeysAreNotShown checks that a key stands in no log line, metric, error or dump, whatever is done with it.
func TestKeysAreNotShown(t *testing.T) {
	k := newKeyed(t, ccstandin.NewCellStore())
	k.configure(1, `[{"name":"a","api_keys":["secretgood"]},{"name":"b","api_keys":["kb"]}]`)
	_, _, err := k.Admit("", "/q/j", "Token secretbad")
	shown := err.Error()
	assert.NilError(t, k.submit(t, "q", "secretgood", "j"))
	err = k.submit(t, "q", "kb", "j")
	shown += fmt.Sprintf("%+v %+v", err, k.Dump())
	k.store.SetFault(func(string) ccstandin.Fault { return ccstandin.Refuse })
	err = k.submit(t, "q", "secretgood", "other")
	shown += fmt.Sprintf("%+v", err)
	families, err := k.reg.Gather()
	assert.NilError(t, err)
	for _, f := range families {
		shown += f.String()
	}
	shown += k.log.String()
	assert.Assert(t, strings.Contains(shown, "key unknown") && strings.Contains(shown, "hand-in refused"), shown)
	assert.Assert(t, !strings.Contains(shown, "secret"), shown)
	assert.Equal(t, k.counter(t, "coriandercross_unknown_keys_total"), 1.0)
}

// TestTeamsAreSeparate checks for jobs in every state, at the process that accepted them and at one that learns of them
// from the store, that a team can read, cancel and repeat its jobs, and that other teams can do none of it: to them, the
// job is as unknown as one that does not exist.
func TestTeamsAreSeparate(t *testing.T) {
	end := func(t *testing.T, store *ccstandin.CellStore, owner *cccell.Owner) {
		put := cccontrol.Put{Key: "cc/p/j", Value: cccontrol.Encode(cccell.Progress{State: cccell.Completed, Owner: owner})}
		_, err := store.Commit(&cccontrol.Txn{Puts: []cccontrol.Put{put}, Remove: []string{"cc/in/j/j"}})
		assert.NilError(t, err)
	}
	run := func(t *testing.T, store *ccstandin.CellStore, _ *cccell.Owner) {
		put := cccontrol.Put{Key: "cc/p/j", Value: cccontrol.Encode(cccell.Progress{})}
		_, err := store.Commit(&cccontrol.Txn{Puts: []cccontrol.Put{put}})
		assert.NilError(t, err)
	}
	states := map[string]func(t *testing.T, store *ccstandin.CellStore, owner *cccell.Owner){"Queued": nil, "Running": run, "Ended": end}
	tests := map[string]struct {
		// queue and key are those of the submission. before and now are the teams then and at the request, which has queue2
		// and key2.
		queue, key, before string
		queue2, key2, now  string
		public             bool
		allowed            bool
	}{
		"SameKey":             {"q", "ka1", twoTeams, "q", "ka1", twoTeams, false, true},
		"OtherKeyOfTeam":      {"q", "ka1", twoTeams, "q", "ka2", twoTeams, false, true},
		"OtherTeam":           {"q", "ka1", twoTeams, "q", "kb", twoTeams, false, false},
		"KeyRotated":          {"q", "ka1", twoTeams, "q", "ka3", `[{"name":"a","api_keys":["ka3"]},{"name":"b","api_keys":["kb"]}]`, false, true},
		"TeamRenamed":         {"q", "ka1", twoTeams, "q", "ka1", `[{"name":"c","api_keys":["ka1"]},{"name":"b","api_keys":["kb"]}]`, false, true},
		"RenamedOtherKey":     {"q", "ka1", twoTeams, "q", "ka9", `[{"name":"c","api_keys":["ka9","ka1"]},{"name":"b","api_keys":["kb"]}]`, false, true},
		"RenamedOtherTeam":    {"q", "ka1", twoTeams, "q", "kb", `[{"name":"c","api_keys":["ka1"]},{"name":"b","api_keys":["kb"]}]`, false, false},
		"TeamRemoved":         {"q", "ka1", twoTeams, "q", "kb", `[{"name":"b","api_keys":["kb"]}]`, false, false},
		"KeyGivenAway":        {"q", "ka1", twoTeams, "q", "ka1", `[{"name":"a","api_keys":["ka2"]},{"name":"b","api_keys":["kb","ka1"]}]`, false, false},
		"NameReused":          {"q", "ka1", twoTeams, "q", "x", `[{"name":"a","api_keys":["x"]}]`, false, true},
		"TeamsRemoved":        {"q", "ka1", twoTeams, "q", "", `[]`, false, true},
		"SubmittedNoTeams":    {"q", "", `[]`, "q", "ka1", twoTeams, false, true},
		"PublicNoKeys":        {"open", "", twoTeams, "open", "", twoTeams, false, true},
		"PublicNoKeyThenKey":  {"open", "", twoTeams, "open", "kb", twoTeams, false, true},
		"PublicKeyThenNone":   {"open", "ka1", twoTeams, "open", "", twoTeams, false, true},
		"PublicOtherTeam":     {"open", "ka1", twoTeams, "open", "kb", twoTeams, false, false},
		"KeyLeftOutElsewhere": {"q", "ka1", twoTeams, "open", "", twoTeams, false, false},
		"RouteMadePublic":     {"q", "ka1", twoTeams, "q", "", twoTeams, true, true},
	}
	for name, test := range tests {
		for state, advance := range states {
			for _, learned := range []string{"Accepted", "FromStore"} {
				t.Run(name+"/"+state+"/"+learned, func(t *testing.T) {
					store := ccstandin.NewCellStore()
					first := newKeyed(t, store)
					first.configure(1, test.before)
					assert.NilError(t, first.submit(t, test.queue, test.key, "j"))
					if advance != nil {
						caller := first.as(t, test.queue, test.key)
						job := cccell.Job{Queue: cccell.Queue{Name: test.queue}, Team: caller.Team, Key: caller.Key}
						owner := job.Owner()
						advance(t, store, &owner)
					}
					k := first
					if learned == "FromStore" {
						k = newKeyed(t, store)
					}
					k.configureRoutes(2, test.now, test.public)
					caller := k.as(t, test.queue2, test.key2)
					_, err := k.Status(context.Background(), caller, "j")
					repeat := testJob("j")
					repeat.Queue.Name = test.queue2
					if !test.allowed {
						assert.Assert(t, errors.Is(err, cccontrol.ErrNoJob), "%v", err)
						err = k.Cancel(context.Background(), caller, "j")
						assert.Assert(t, errors.Is(err, cccontrol.ErrNoJob), "%v", err)
						err = k.Submit(context.Background(), caller, repeat, 3000)
						assert.Assert(t, errors.Is(err, cccontrol.ErrOtherTeam), "%v", err)
						_, err = store.Get(context.Background(), "cc/in/x/j")
						assert.Assert(t, errors.Is(err, cccontrol.ErrNoKey), "the cancellation of another team was written")
						return
					}
					assert.NilError(t, err)
					assert.NilError(t, k.Submit(context.Background(), caller, repeat, 3000))
					assert.NilError(t, k.Cancel(context.Background(), caller, "j"))
				})
			}
		}
	}
}

// TestOwnerIsNotGuessed checks that a process which can't read the owner of a job answers that the state is not known,
// and not that there is no such job.
func TestOwnerIsNotGuessed(t *testing.T) {
	store := ccstandin.NewCellStore()
	k := newKeyed(t, store)
	k.configure(1, twoTeams)
	assert.NilError(t, k.submit(t, "q", "ka1", "j"))
	k.configure(2, `[{"name":"c","api_keys":["ka1"]}]`)
	caller := k.as(t, "q", "ka1")
	store.SetFault(func(string) ccstandin.Fault { return ccstandin.Refuse })
	_, err := k.Status(context.Background(), caller, "j")
	assert.Assert(t, errors.Is(err, cccontrol.ErrStateUnknown), "%v", err)
	assert.Assert(t, errors.Is(k.Cancel(context.Background(), caller, "j"), cccontrol.ErrStateUnknown))
}

// TestSameIDAtOnce checks that of two teams that submit a job with the same ID at the same time, at one process, one is
// accepted and the other is told that the ID is taken. Load: the store is slow, so that both wait for one transaction.
func TestSameIDAtOnce(t *testing.T) {
	k := newKeyed(t, ccstandin.NewCellStore())
	k.configure(1, twoTeams)
	release := make(chan struct{})
	k.store.SetFault(func(kind string) ccstandin.Fault {
		if kind == "write" {
			<-release
		}
		return ccstandin.Pass
	})
	results := map[string]chan error{"other": make(chan error, 1), "ka1": make(chan error, 1), "kb": make(chan error, 1)}
	go func() { results["other"] <- k.Submit(context.Background(), cccontrol.Caller{}, testJob("other"), 3000) }()
	time.Sleep(20 * time.Millisecond)
	for _, key := range []string{"ka1", "kb"} {
		caller := k.as(t, "q", key)
		go func() { results[key] <- k.Submit(context.Background(), caller, testJob("j"), 3000) }()
	}
	time.Sleep(20 * time.Millisecond)
	close(release)
	assert.NilError(t, <-results["other"])
	first, second := <-results["ka1"], <-results["kb"]
	if first != nil {
		first, second = second, first
	}
	assert.NilError(t, first)
	assert.Assert(t, errors.Is(second, cccontrol.ErrOtherTeam), "%v", second)
}

// TestIDTakenWhileInDoubt checks that a submission whose first write was lost is not taken for the job of another team
// that was stored meanwhile, and that it is accepted if its own first write was carried out.
func TestIDTakenWhileInDoubt(t *testing.T) {
	tests := map[string]struct {
		team string
		want error
	}{
		"Own": {"a", nil}, "OtherTeam": {"b", cccontrol.ErrOtherTeam},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			k := newKeyed(t, ccstandin.NewCellStore())
			k.configure(1, twoTeams)
			writes := 0
			k.store.SetFault(func(kind string) ccstandin.Fault {
				if kind != "write" {
					return ccstandin.Pass
				}
				if writes++; writes > 1 {
					return ccstandin.Pass
				}
				stored := testJob("j")
				stored.Team = test.team
				_, err := k.store.Commit(&cccontrol.Txn{Puts: []cccontrol.Put{{Key: "cc/in/j/j", Value: cccontrol.Encode(stored)}}})
				assert.NilError(t, err)
				return ccstandin.LoseCall
			})
			err := k.submit(t, "q", "ka1", "j")
			assert.Assert(t, errors.Is(err, test.want) && (err != nil) == (test.want != nil), "%v", err)
			assert.Equal(t, writes, 2)
		})
	}
}

// TestRelayedSubmissionOfOtherTeam checks that a process which can't reach the store learns from the leader that the ID
// is that of another team.
func TestRelayedSubmissionOfOtherTeam(t *testing.T) {
	tests := map[string]struct {
		team string
		want string
	}{
		"SameTeam": {"a", ""}, "OtherTeam": {"b", "a"}, "NoTeam": {"", "a"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			k := newKeyed(t, ccstandin.NewCellStore())
			k.configure(1, twoTeams)
			assert.NilError(t, k.submit(t, "q", "ka1", "j"))
			j := testJob("j")
			j.Team = test.team
			out, err := k.RelayWrite(context.Background(), &ccpeer.RelayWriteRequest{Job: j, BudgetMs: 300})
			assert.NilError(t, err)
			var owner string
			if out.Owner != nil {
				owner = out.Owner.Team
			}
			assert.Equal(t, owner, test.want)
		})
	}
}
