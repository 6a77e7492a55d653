package cccontrol

// MaintainMembership keeps the membership record of the process in the store until ctx ends.
var MaintainMembership = (*Process).maintainMembership
