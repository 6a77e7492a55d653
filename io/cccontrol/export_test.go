package cccontrol

// MaintainMembership keeps the membership record of the process in the store until ctx ends.
var MaintainMembership = (*Process).maintainMembership

// Activate puts a configuration in force, as if it had been read from the store.
func Activate(p *Process, raw []byte) {
	p.activate(raw, 1, "test")
}

// Encode encodes a record.
var Encode = encode
