package cccell

// OrderHeader is the part common to all orders to a worker.
type OrderHeader struct {
	WorkerID, Address string
	// IncarnationMs identifies the incarnation of the worker that the order is for, by its start time in Unix
	// milliseconds. The platform's worker protocol does not carry it, so a later incarnation may execute the order.
	IncarnationMs int64
	// Token is the leader's fencing token for that incarnation.
	Token int64
}

// header returns the header of an order to a worker.
func (c *Cell) header(w *worker) OrderHeader {
	return OrderHeader{WorkerID: w.info.ID, Address: w.info.Address, IncarnationMs: w.newestIncarnation(), Token: c.tokenFor(w)}
}

// StartOrder requests the start of one attempt at a task.
type StartOrder struct {
	OrderHeader
	Task       TaskID
	Attempt    int64
	Spec       string
	Checkpoint string
	Ticket     string
	// LeaseUntilMs is the new end of the leases of all tasks on the worker, on the worker's clock.
	LeaseUntilMs int64

	attempt *attempt
}

// StopOrder requests the end of one attempt. A worker that does not have the attempt refuses its start from then on.
type StopOrder struct {
	OrderHeader
	Task    TaskID
	Attempt int64

	attempt *attempt
}

// PollOrder renews the leases of all tasks at a worker, lets the worker forget ends up to AckedEnd, and requests its
// lists of running and ended tasks.
type PollOrder struct {
	OrderHeader
	// LeaseUntilMs is the new end of the leases on the worker's clock, 0 to leave them unchanged.
	LeaseUntilMs int64
	// AckedEnd is the highest end number that the worker may forget, counted in the incarnation that the header names;
	// 0 for none.
	AckedEnd int64
	// WaitMs is how long the worker may hold the reply until an attempt ends.
	WaitMs int64
	// Quick marks a poll that is repeated at once if it is not answered soon.
	Quick bool
	// ExtraMs is added to the timeout of the poll, since the worker's replies were late.
	ExtraMs int64

	worker *worker
	// urgent marks a second poll beside the one in flight; see worker.urgentPollInFlight.
	urgent bool
}

// AdviceRequest asks the policy service which workers may run a stage.
type AdviceRequest struct {
	// ID distinguishes the requests of one term.
	ID      int64
	Stage   StageID
	Workers []string
	// CallMs is the expected duration of the call.
	CallMs int64

	// rank is the position of the stage in the order of placement, and chosenAt when Workers were chosen.
	rank     float64
	chosenAt ms
}

// StateChange is a job state to be published to callers.
type StateChange struct {
	Job   string `cbor:"1,keyasint"`
	State State  `cbor:"2,keyasint"`
	// Team is the name of the team that submitted the job. Between processes, only the first change of a job in a term
	// carries it.
	Team string `cbor:"5,keyasint,omitempty"`
	// Excess tells the processes to remember, for the next leader, that the job is beyond the budget of its team.
	Excess bool `cbor:"6,keyasint,omitempty"`
}

// Orders holds the calls to be made and the states to be published.
type Orders struct {
	Starts         []StartOrder
	Stops          []StopOrder
	Polls          []PollOrder
	AdviceRequests []AdviceRequest
	Changes        []StateChange
}

// Outcome is the outcome of a call to a worker. Logs show its number.
type Outcome int

const (
	// Executed means that the worker executed the call.
	Executed Outcome = iota
	// Refused means that the worker did not execute the call, for the given Reason.
	Refused
	// Unsent means that the call did not reach the worker.
	Unsent
	// ReplyLost means that no readable reply arrived: the worker may have executed the call, may execute it seconds
	// later, or never.
	ReplyLost
)

// Reason is the reason for which a worker refused a call.
type Reason string

const (
	// Fenced: the worker has seen a higher token, so a newer leader exists.
	Fenced Reason = "Fenced"
	// EarlierOrder: the order was meant for an earlier incarnation of the worker, which this leader has fenced.
	EarlierOrder Reason = "EarlierOrder"
	// OldAttempt: the worker has ended or stopped an attempt at the task with the same or a higher number.
	OldAttempt Reason = "OldAttempt"
	// LateLease: the lease would end before the current time of the worker's clock.
	LateLease Reason = "LateLease"
	// NoRoom: the worker checks its capacity and has none left.
	NoRoom Reason = "NoRoom"
	// NoTicket: the ticket is missing or has expired.
	NoTicket Reason = "NoTicket"
	// Busy: the worker can't accept tasks now.
	Busy Reason = "Busy"
	// OtherIncarnation: the call was for another worker, or another incarnation, than the one that now has the address.
	OtherIncarnation Reason = "OtherLife"
	// Malformed: the worker rejects the contents of the order.
	Malformed Reason = "Malformed"
)

// Reply is the outcome of a call, with the common fields of the worker's reply.
type Reply struct {
	Outcome Outcome
	Reason  Reason
	// ClockMs is the time of the worker's clock, 0 when the reply has none.
	ClockMs int64
	// IncarnationMs identifies the worker's current incarnation, 0 when the reply has none.
	IncarnationMs int64
	// Sent is when the call was sent, Received when its reply arrived or the call was given up.
	Sent, Received ms
}

// End says how an attempt ended.
type End string

const (
	// EndDone: the task is done.
	EndDone End = "Done"
	// EndFailed: the task failed, through its own fault or the worker's.
	EndFailed End = "Failed"
	// EndStopped: stopped by an order.
	EndStopped End = "Stopped"
	// EndLapsed: the lease ended.
	EndLapsed End = "Lapsed"
	// EndBroken: another member of the gang ended.
	EndBroken End = "Broken"
	// EndAlone: the other members of the gang did not start in time.
	EndAlone End = "Alone"
	// EndVanished: the worker does not have the attempt, has crashed, or has left. Set by the leader, never reported by
	// a worker.
	EndVanished End = "Vanished"
)

// RunningTask is a row of a worker's list of running tasks.
type RunningTask struct {
	Task       TaskID
	Attempt    int64
	Checkpoint string
	Percent    int
	// Load is the tail latency in ms of a task that serves requests, and the number of cores in use of any other task.
	Load float64
}

// EndedTask is a row of a worker's list of ends.
type EndedTask struct {
	// Number counts the ends of one incarnation of the worker, from 1.
	Number     int64
	Task       TaskID
	Attempt    int64
	End        End
	Checkpoint string
}

// TaskLists holds the lists that a worker returns to a poll.
type TaskLists struct {
	Running []RunningTask
	Ended   []EndedTask
	// EndsCutOff is true if the worker may list further ends once it has forgotten those in Ended.
	EndsCutOff bool
}
