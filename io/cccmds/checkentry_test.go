package cccmds

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"coriandercross/core/cclint"
	"coriandercross/io/cccontrol"
	"coriandercross/io/ccstandin"
	"coriandercross/platform/ccemulator"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// entryFile returns the path of a file for check-entry.
func entryFile(name string) string {
	return "testdata/entry/" + name
}

// TestCheckEntry compares the output and the exit code with those wanted. No output contains an API key.
func TestCheckEntry(t *testing.T) {
	inForce := []string{"--in-force", entryFile("in-force.json")}
	all := append([]string{"--workers", entryFile("workers.json"), "--dump", entryFile("dump.json")}, inForce...)
	tests := map[string]struct {
		file, golden string
		args         []string
		code         int
	}{
		"Alone":       {"in-force.json", "alone.golden", nil, ExitOK},
		"Good":        {"good.json", "good.golden", inForce, ExitOK},
		"Doubtful":    {"doubtful.json", "doubtful.golden", all, ExitOK},
		"Refused":     {"refused.json", "refused.golden", inForce, ExitInvalid},
		"RefusedJSON": {"refused.json", "refused-json.golden", append([]string{"--json"}, inForce...), ExitInvalid},
		"Undecodable": {"undecodable.json", "undecodable.golden", inForce, ExitInvalid},
		"AloneJSON":   {"in-force.json", "alone-json.golden", []string{"--json"}, ExitOK},
		"GoodJSON":    {"good.json", "good-json.golden", append([]string{"--json"}, inForce...), ExitOK},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			code, out, errs := run(append([]string{"check-entry", entryFile(test.file)}, test.args...)...)
			assert.Equal(t, code, test.code, errs)
			assert.Assert(t, !strings.Contains(out+errs, "secret"))
			golden.Assert(t, out+errs, "entry/"+test.golden)
		})
	}
}

// TestCheckEntryUnreadable checks that a file that can't be used is a failure and not a finding.
func TestCheckEntryUnreadable(t *testing.T) {
	tests := map[string]struct {
		args []string
		code int
	}{
		"NoArgument":      {nil, ExitUsage},
		"MissingFile":     {[]string{"no-such-file.json"}, ExitFailed},
		"MissingInForce":  {[]string{entryFile("good.json"), "--in-force", "no-such-file.json"}, ExitFailed},
		"InForceRefused":  {[]string{entryFile("good.json"), "--in-force", entryFile("refused.json")}, ExitFailed},
		"MissingWorkers":  {[]string{entryFile("good.json"), "--workers", "no-such-file.json"}, ExitFailed},
		"NotWorkers":      {[]string{entryFile("good.json"), "--workers", entryFile("good.json")}, ExitFailed},
		"MissingDump":     {[]string{entryFile("good.json"), "--dump", "no-such-file.json"}, ExitFailed},
		"DumpOfFollower":  {[]string{entryFile("good.json"), "--dump", entryFile("follower-dump.json")}, ExitFailed},
		"StoreNotReached": {[]string{entryFile("good.json"), "--store", "127.0.0.1:1"}, ExitFailed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			code, out, errs := run(append([]string{"check-entry"}, test.args...)...)
			assert.Equal(t, code, test.code, errs)
			assert.Equal(t, out, "")
		})
	}
}

// TestReadStore checks that the version in force and the workers are read from the store, unless files give them.
func TestReadStore(t *testing.T) {
	raw, err := os.ReadFile(entryFile("in-force.json"))
	assert.NilError(t, err)
	store := ccstandin.NewCellStore()
	var errs strings.Builder
	in := &cclint.Input{}
	assert.NilError(t, readStore(context.Background(), store, in, &output{err: &errs}))
	assert.Assert(t, in.InForce == nil)
	assert.Equal(t, errs.String(), "coriandercross: the store has no configuration yet\n")

	for key, value := range map[string]string{
		"op/config":  string(raw),
		"servers/w1": `{"service":"render","address":"10.0.0.1:80","state":"ready","capacity":{"cpu":64000}}`,
		"servers/w2": `{"service":"render"}`,
	} {
		_, err := store.Commit(&cccontrol.Txn{Puts: []cccontrol.Put{{Key: key, Value: []byte(value)}}})
		assert.NilError(t, err)
	}
	errs.Reset()
	assert.NilError(t, readStore(context.Background(), store, in, &output{err: &errs}))
	assert.Equal(t, in.InForce.Version, int64(7))
	assert.Equal(t, len(in.Workers), 1)
	assert.Equal(t, in.Workers[0].ID, "w1")
	assert.Assert(t, strings.HasPrefix(errs.String(), "coriandercross: worker w2 left out: "), errs.String())

	store.SetFault(func(string) ccstandin.Fault { return ccstandin.Refuse })
	given := &cclint.Input{InForce: in.InForce, Workers: in.Workers}
	assert.NilError(t, readStore(context.Background(), store, given, &output{err: &errs}), "nothing is read where files are given")
	assert.ErrorContains(t, readStore(context.Background(), store, &cclint.Input{}, &output{err: &errs}), "reading the version in force")
	assert.ErrorContains(t, readStore(context.Background(), store, &cclint.Input{InForce: in.InForce}, &output{err: &errs}), "reading the workers")
}

// One odd registration in a file of workers made the check fail, without naming the worker if it was deeply nested.
func TestCheckEntryLeavesOddWorkersOut(t *testing.T) {
	const good = `{"service":"render","address":"10.0.0.1:80","zone":"a","state":"ready","capacity":{"cpu":64000,"mem_mb":128000}}`
	tests := map[string]struct {
		odd  string
		code int
	}{
		"PortOutOfRange": {strings.Replace(good, ":80", ":99999", 1), ExitOK},
		"NumberTooLarge": {strings.Replace(good, "64000", "9223372036854775808", 1), ExitOK},
		"LargestNumber":  {strings.Replace(good, "64000", "9223372036854775807", 1), ExitOK},
		"WrongType":      {`[[[]]]`, ExitOK},
		"Null":           {`null`, ExitOK},
		// What follows can't be read.
		"DeeplyNested": {strings.Repeat("[", 1<<16) + strings.Repeat("]", 1<<16), ExitFailed},
		"NotJSON":      {`nonsense`, ExitFailed},
	}
	dir := t.TempDir()
	plain := filepath.Join(dir, "plain.json")
	assert.NilError(t, os.WriteFile(plain, []byte(`{"w1":`+good+`,"w3":`+good+`}`), 0o644))
	code, want, errs := run("check-entry", entryFile("good.json"), "--workers", plain)
	assert.Equal(t, code, ExitOK, errs)
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join(dir, name+".json")
			assert.NilError(t, os.WriteFile(file, []byte(`{"w1":`+good+`,"odd-2":`+test.odd+`,"w3":`+good+`}`), 0o644))
			code, out, errs := run("check-entry", entryFile("good.json"), "--workers", file)
			assert.Equal(t, code, test.code, errs)
			assert.Assert(t, strings.Contains(errs, "odd-2"), "the worker is not named: %.300s", errs)
			if test.code == ExitOK {
				assert.Equal(t, out, want)
				assert.Assert(t, strings.HasPrefix(errs, "coriandercross: worker odd-2 left out: "), errs)
			}
		})
	}
}

// TestCheckEntryAgainstStore runs the command against a store on the loopback interface.
func TestCheckEntryAgainstStore(t *testing.T) {
	e, err := ccemulator.New(ccemulator.Config{})
	assert.NilError(t, err)
	defer e.Close()
	assert.NilError(t, e.Configure(9, "/q0/", "/q1/"))
	const worker = `{"service":"svc","address":"10.0.0.1:80","state":"ready","capacity":{"cpu":64000}}`
	_, err = e.Store.Commit(&cccontrol.Txn{Puts: []cccontrol.Put{{Key: "servers/w1", Value: []byte(worker)}}})
	assert.NilError(t, err)
	code, out, errs := run("check-entry", "--store", e.StoreAddress, entryFile("good.json"))
	assert.Equal(t, code, ExitInvalid)
	assert.Equal(t, strings.Count(out, `: service "render" has no worker`), 3, out)
	assert.Equal(t, strings.Count(out, ": removed: host"), 2, out)
	assert.Assert(t, strings.Contains(errs, "version 9 is not above version 9, which is in force"), errs)
}
