package cccell

// OrderHeader is what every order to a worker carries.
type OrderHeader struct {
	WorkerID, Address string
	// IncarnationMs is the start of the life of the worker that the order is for.
	IncarnationMs int64
	// Token is that of the leader.
	Token int64
}

// call returns what every order to a worker carries.
func (c *Cell) header(w *worker) OrderHeader {
	return OrderHeader{WorkerID: w.info.ID, Address: w.info.Address, IncarnationMs: w.newestIncarnation(), Token: c.cfg.Token}
}

// StartOrder asks for the start of one attempt at a task.
type StartOrder struct {
	OrderHeader
	Task       TaskID
	Attempt    int64
	Spec       string
	Checkpoint string
	Ticket     string
	// LeaseUntilMs ends the lease of everything on the worker, on the worker's clock.
	LeaseUntilMs int64

	attempt *attempt
}

// StopOrder asks for the end of one attempt. An attempt that is not there will be refused from then on.
type StopOrder struct {
	OrderHeader
	Task    TaskID
	Attempt int64

	attempt *attempt
}

// PollOrder renews a worker's lease, lets it forget the ends up to AckedEnd, and asks for its lists.
type PollOrder struct {
	OrderHeader
	// LeaseUntilMs is 0 when the lease shall not be renewed.
	LeaseUntilMs int64
	// AckedEnd is the number of an end of the life that the call names, 0 when nothing is forgotten.
	AckedEnd int64
	// WaitMs lets the answer wait for an end.
	WaitMs int64

	worker *worker
	urgent bool
}

// AdviceRequest asks the policy service which workers may run a stage.
type AdviceRequest struct {
	Stage   StageID
	Workers []string
	// CallMs is the time that the call is expected to take.
	CallMs int64
	// Priority is that of the queue.
	Priority int
}

// StateChange tells the state of a job to whoever answers callers.
type StateChange struct {
	Job   string `cbor:"1,keyasint"`
	State State  `cbor:"2,keyasint"`
}

// Orders is what a cell wants sent.
type Orders struct {
	Starts         []StartOrder
	Stops          []StopOrder
	Polls          []PollOrder
	AdviceRequests []AdviceRequest
	Changes        []StateChange
}

// Outcome says what became of a call to a worker.
type Outcome int

const (
	// Executed means that the worker has carried the call out.
	Executed Outcome = iota
	// Refused means that the worker has done nothing, for the reason given.
	Refused
	// Unsent means that the call did not reach the worker.
	Unsent
	// ReplyLost means that the answer was lost: the call may be carried out, now or seconds later.
	ReplyLost
)

// Reason says why a worker refused a call.
type Reason string

// Reasons.
const (
	// Fenced: the worker has seen a higher token; this process leads no more.
	Fenced Reason = "Fenced"
	// OldAttempt: the worker has ended or stopped an attempt that is not lower.
	OldAttempt Reason = "OldAttempt"
	// LateLease: the lease ends in the past of the worker's clock.
	LateLease Reason = "LateLease"
	// NoRoom: the worker guards its room and has none.
	NoRoom Reason = "NoRoom"
	// NoTicket: the ticket is missing or has expired.
	NoTicket Reason = "NoTicket"
	// Busy: the worker can't take work now.
	Busy Reason = "Busy"
	// OtherIncarnation: the worker has started again.
	OtherIncarnation Reason = "OtherLife"
	// Malformed: the worker does not accept the order.
	Malformed Reason = "Malformed"
)

// Reply is the answer to a call.
type Reply struct {
	Outcome Outcome
	Reason  Reason
	// ClockMs is the worker's clock, 0 when the answer has none.
	ClockMs int64
	// IncarnationMs is the start of the worker's present life, 0 when the answer has none.
	IncarnationMs int64
	// Sent and Received frame the call.
	Sent, Received ms
}

// End says how an attempt ended.
type End string

// Ends.
const (
	EndDone End = "Done"
	// EndFailed: by its own fault or the worker's.
	EndFailed End = "Failed"
	// EndStopped: by a stop.
	EndStopped End = "Stopped"
	// EndLapsed: the lease ended.
	EndLapsed End = "Lapsed"
	// EndBroken: another member of the gang ended.
	EndBroken End = "Broken"
	// EndAlone: the other members of the gang did not come in time.
	EndAlone End = "Alone"
	// EndVanished: the worker does not have the attempt, or has left or crashed; decided here, never sent by a worker.
	EndVanished End = "Vanished"
)

// RunningTask is a row of a worker's list of what runs.
type RunningTask struct {
	Task       TaskID
	Attempt    int64
	Checkpoint string
	Percent    int
	// Load is the tail in ms of a serving task, the cores in use of any other.
	Load float64
}

// EndedTask is a row of a worker's list of ends.
type EndedTask struct {
	Number     int64
	Task       TaskID
	Attempt    int64
	End        End
	Checkpoint string
}

// TaskLists is what a worker tells on a look.
type TaskLists struct {
	Running []RunningTask
	Ended   []EndedTask
}
