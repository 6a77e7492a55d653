package cccontrol

// MaintainMembership keeps the process's own entry in the store until ctx ends.
var MaintainMembership = (*Process).maintainMembership
