package ccmeasure

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"coriandercross/core/ccteam"
	"coriandercross/core/ccwork"
	"coriandercross/io/cccaller"
	"coriandercross/io/ccharness"
	"coriandercross/io/ccworker"

	"github.com/cockroachdb/errors"
)

const (
	readyTimeout = 120 * time.Second
	// idlePeriod is the time that measureIdle waits after the system is ready, and also the time over which it
	// measures.
	idlePeriod = 10 * time.Second
	// clockTicksPerSecond is the number of units in a second of the CPU times in /proc/PID/stat.
	clockTicksPerSecond = 100
	// latencyRequests is the number of requests of one measurement, which latencyCallers callers send.
	latencyRequests = 2_000
	latencyCallers  = 8
)

// measureDocument returns the configuration of the measured systems.
func measureDocument() ccteam.Document {
	return ccteam.Document{
		Templates: map[string]ccteam.Template{"t": {Kinds: map[string]ccteam.Kind{
			"check": {Class: ccwork.Interactive, Size: ccwork.Size{MilliCores: 1_000, MemoryMB: 1_000}},
			"batch": {Class: ccwork.Batch, Size: ccwork.Size{MilliCores: 500, MemoryMB: 500}},
		}, Limits: ccteam.Limits{MaxWaiting: 100_000}}},
		Teams: map[string]ccteam.Team{"team": {Template: "t"}},
	}
}

// withSystem starts a system of real processes, calls f when it is ready, and stops it.
func withSystem(o *options, entries, workers int, f func(c *ccharness.Cluster) error) error {
	dir, err := os.MkdirTemp("", "coriandercross-measure-")
	if err != nil {
		return errors.Wrap(err, "creating a temporary folder")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	c, err := ccharness.Start(ccharness.Config{
		Dir: dir, Program: o.Program, Standin: o.Standin, Entries: entries, Workers: workers, WorkersPerRack: 8, WorkersInOneProcess: true,
		Domains: []ccharness.Domain{{Region: "north", Name: "north-a"}, {Region: "north", Name: "north-b"}, {Region: "north", Name: "north-c"}},
		// The capacity is that of the workers of the example deployments.
		Capacity: ccwork.Size{MilliCores: 16_000, MemoryMB: 64_000, Slots: 8, Connections: 64},
		Document: measureDocument(), VMListLagMs: 1_000,
	})
	defer c.Stop()
	if err != nil {
		return err
	}
	if err := c.Ready(readyTimeout); err != nil {
		return err
	}
	return f(c)
}

// usage is the resource use of a process: the CPU time and control traffic since its start, and its present memory.
type usage struct {
	cpuSeconds   float64
	memoryMB     float64
	controlBytes float64
}

// readUsage reads the resource use of an entry process from /proc and from its metrics.
func readUsage(e *ccharness.Entry) (usage, error) {
	var u usage
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", e.PID()))
	if err != nil {
		return u, errors.Wrap(err, "reading the resource use of a process")
	}
	// The second field is the program name in parentheses, which may contain blanks. The indices count from the field
	// after it.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	const userField, systemField, residentField = 11, 12, 21
	user, _ := strconv.ParseFloat(fields[userField], 64)
	system, _ := strconv.ParseFloat(fields[systemField], 64)
	pages, _ := strconv.ParseFloat(fields[residentField], 64)
	u.cpuSeconds = (user + system) / clockTicksPerSecond
	u.memoryMB = pages * float64(os.Getpagesize()) / 1e6
	u.controlBytes, err = readControlBytes(e)
	return u, err
}

// readControlBytes reads the number of bytes of control traffic from the metrics of an entry process.
func readControlBytes(e *ccharness.Entry) (float64, error) {
	resp, err := http.Get("http://" + e.Settings.Listen.Operators + "/metrics")
	if err != nil {
		return 0, errors.Wrap(err, "reading metrics")
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, errors.Wrap(err, "reading metrics")
	}
	sum := 0.0
	for line := range strings.Lines(string(data)) {
		if strings.HasPrefix(line, "coriandercross_control_bytes_total") {
			v, _ := strconv.ParseFloat(strings.TrimSpace(line[strings.LastIndexByte(line, ' '):]), 64)
			sum += v
		}
	}
	return sum, nil
}

// measureIdle starts seven entry processes that together own the given number of workers and run no tasks. It returns
// the CPU use in percent of a core, the memory in MB and the control traffic per second; each is the highest of the
// seven processes.
func measureIdle(o *options, workers int) (cpu, memory, bytesPerSecond float64, err error) {
	err = withSystem(o, processes, workers, func(c *ccharness.Cluster) error {
		time.Sleep(idlePeriod)
		before := make([]usage, len(c.Entries))
		for i, e := range c.Entries {
			u, err := readUsage(e)
			if err != nil {
				return err
			}
			before[i] = u
		}
		time.Sleep(idlePeriod)
		for i, e := range c.Entries {
			u, err := readUsage(e)
			if err != nil {
				return err
			}
			cpu = max(cpu, (u.cpuSeconds-before[i].cpuSeconds)/idlePeriod.Seconds()*100)
			memory = max(memory, u.memoryMB)
			bytesPerSecond = max(bytesPerSecond, (u.controlBytes-before[i].controlBytes)/idlePeriod.Seconds())
		}
		return nil
	})
	return cpu, memory, bytesPerSecond, err
}

// Idle measures the resource use of entry processes without tasks, for several numbers of workers.
func Idle(o *options) ([]Row, error) {
	var rows []Row
	var base [3]float64
	for i, n := range []int{50, 500, targetWorkers} {
		cpu, memory, bytesPerSecond, err := measureIdle(o, n)
		if err != nil {
			return nil, err
		}
		if i == 0 {
			base = [3]float64{cpu, memory, bytesPerSecond / 1_000}
		}
		rows = append(rows,
			valueRow(fmt.Sprintf("IdleProcessorAt%dWorkers", n), "percent", cpu, base[0], 3.3),
			valueRow(fmt.Sprintf("IdleMemoryAt%dWorkers", n), "MB", memory, base[1], 128),
			valueRow(fmt.Sprintf("IdleControlBytesAt%dWorkers", n), "KB/s", bytesPerSecond/1_000, base[2], 6))
	}
	return rows, nil
}

// latency holds percentiles of the time of requests in milliseconds, and the number of requests per second.
type latency struct {
	p50, p99, perSecond float64
}

// measureLatency sends requests to url from latencyCallers callers and measures their times. The function header sets
// the headers of the request with the given number.
func measureLatency(url string, header func(http.Header, int)) (latency, error) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: latencyCallers}}
	var mu sync.Mutex
	var times []micros
	var failed error
	var wg sync.WaitGroup
	begin := time.Now()
	for caller := range latencyCallers {
		wg.Go(func() {
			for i := range latencyRequests / latencyCallers {
				start := time.Now()
				err := sendRequest(client, url, func(h http.Header) { header(h, caller*latencyRequests+i) })
				mu.Lock()
				times = append(times, micros(time.Since(start).Microseconds()))
				failed = errors.CombineErrors(failed, err)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	rate := float64(len(times)) / time.Since(begin).Seconds()
	return latency{p50: percentile(times, 50), p99: percentile(times, 99), perSecond: rate}, failed
}

// sendRequest sends a request and reads the whole response. It returns an error if the status is not 200.
func sendRequest(client *http.Client, url string, header func(http.Header)) error {
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader("Echo=x"))
	if err != nil {
		return errors.Wrap(err, "building a request")
	}
	header(req.Header)
	resp, err := client.Do(req)
	if err != nil {
		return errors.Wrap(err, "sending a request")
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = errors.Newf("status %d", resp.StatusCode)
	}
	return errors.Wrap(err, "reading a response")
}

// plainProxy returns a minimal reverse proxy made of net/http only, which is the baseline for Proxy.
func plainProxy(target string) http.Handler {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: latencyCallers}}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		req, _ := http.NewRequest(http.MethodPost, target, bytes.NewReader(body))
		req.Header = r.Header
		resp, err := client.Do(req)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer func() { _ = resp.Body.Close() }()
		w.WriteHeader(resp.StatusCode)
		_, _ = io.Copy(w, resp.Body)
	})
}

// workerHeader sets the headers that a worker needs, so that request i can be sent to it without an entry process.
func workerHeader(h http.Header, i int) {
	h.Set(ccworker.TaskHeader, fmt.Sprint("direct-", i, "-", time.Now().UnixNano()))
	h.Set(ccworker.SizeHeader, `{"MilliCores":1}`)
	h.Set(ccworker.LeaseHeader, "10000")
}

// Proxy measures the latency that an entry process adds to a request, and the request rate, and compares both with
// plainProxy.
func Proxy(o *options) ([]Row, error) {
	var rows []Row
	err := withSystem(o, 1, 24, func(c *ccharness.Cluster) error {
		worker := "http://" + c.Workers[0].VM.Address + ccworker.RunPath
		server := httptest.NewServer(plainProxy(worker))
		defer server.Close()
		url := "http://" + c.Entries[0].Settings.Listen.Callers + "/v1/teams/team/kinds/check/requests"
		entryHeader := func(h http.Header, i int) {
			h.Set(cccaller.RequestIDHeader, fmt.Sprint("hop-", i, "-", time.Now().UnixNano()))
		}
		var direct, plain, through []latency
		for range seeds {
			for _, step := range []struct {
				into   *[]latency
				url    string
				header func(http.Header, int)
			}{{&direct, worker, workerHeader}, {&plain, server.URL, workerHeader}, {&through, url, entryHeader}} {
				l, err := measureLatency(step.url, step.header)
				if err != nil {
					return err
				}
				*step.into = append(*step.into, l)
			}
		}
		added := func(runs []latency, of func(latency) float64) float64 {
			return medianOf(runs, of) - medianOf(direct, of)
		}
		p50, p99 := func(l latency) float64 { return l.p50 }, func(l latency) float64 { return l.p99 }
		rate := func(l latency) float64 { return l.perSecond }
		perSecond := ratioRow("ProxyRequestsPerSecond", "1/s", medianOf(through, rate), medianOf(plain, rate), 1/1.5)
		perSecond.AtLeast = true
		rows = append(rows,
			ratioRow("ProxyAddedLatencyP50", "ms", added(through, p50), added(plain, p50), 1.5),
			ratioRow("ProxyAddedLatencyP99", "ms", added(through, p99), added(plain, p99), 1.5),
			perSecond)
		return nil
	})
	return rows, err
}

// medianOf returns the median over several measurements of the figure that the function of selects.
func medianOf(runs []latency, of func(latency) float64) float64 {
	var values []float64
	for _, l := range runs {
		values = append(values, of(l))
	}
	return median(values...)
}

// batchTasks is the number of tasks of each job that Store submits.
const batchTasks = 1_000

// Store measures the number of calls to the store while the tasks of batch jobs run, and the rate at which they start.
func Store(o *options) ([]Row, error) {
	var rows []Row
	err := withSystem(o, processes, 48, func(c *ccharness.Cluster) error {
		before, err := c.StoreCounts()
		if err != nil {
			return err
		}
		begin := time.Now()
		ids := []string{"a", "b", "c", "d"}
		for i, id := range ids {
			if err := submitBatch(c.Entries[i], id); err != nil {
				return err
			}
		}
		for i, id := range ids {
			if err := waitForBatch(c.Entries[i], id); err != nil {
				return err
			}
		}
		took := time.Since(begin).Seconds()
		after, err := c.StoreCounts()
		if err != nil {
			return err
		}
		starts := float64(len(ids) * batchTasks)
		calls := float64(after.Get + after.Put + after.Watch - before.Get - before.Put - before.Watch)
		r := valueRow("StoreCallsPerSecondWhileTasksStart", "1/s", calls/took, starts/took, 100)
		rows = append(rows, r, valueRow("StoreCallsPerStart", "calls", calls/starts, 1, 100.0/2_600))
		started := valueRow("TaskStartsPerSecondOfTheSystem", "1/s", starts/took, 2_600, 0)
		started.AtLeast = true
		rows = append(rows, started)
		return nil
	})
	return rows, err
}

// submitBatch submits a job of batchTasks tasks that run for 10 ms each.
func submitBatch(e *ccharness.Entry, id string) error {
	body := &cccaller.SubmitRequest{ID: id, Kind: "batch"}
	for range batchTasks {
		body.Tasks = append(body.Tasks, cccaller.SubmitTask{Payload: "RunMs=10"})
	}
	_, err := cccaller.NewClient(e.Settings.Listen.Callers).Submit("team", body)
	return err
}

// waitForBatch waits until a job has ended, in at most five calls that wait up to 60 s each.
func waitForBatch(e *ccharness.Entry, id string) error {
	for range 5 {
		j, err := cccaller.NewClient(e.Settings.Listen.Callers).Job("team", id, 60_000)
		if err != nil {
			return err
		}
		if j.State.Ended() {
			return nil
		}
	}
	return errors.Newf("batch %s did not end", id)
}

// Takeover measures the time from the kill of an entry process until other processes may start tasks on all its
// workers.
func Takeover(o *options) ([]Row, error) {
	var durations []float64
	for range seeds {
		err := withSystem(o, 3, 6, func(c *ccharness.Cluster) error {
			victim := c.Entries[0]
			start := time.Now()
			victim.Kill()
			err := ccharness.Eventually(readyTimeout, "not every worker was taken over", func() bool {
				return c.ReadyWorkers() == len(c.Workers)
			})
			durations = append(durations, time.Since(start).Seconds())
			return err
		})
		if err != nil {
			return nil, err
		}
	}
	return []Row{valueRow("TakeoverAfterAKill", "s", median(durations...), 0, 10)}, nil
}
