package cccontrol

// KeepMember keeps the process's own entry in the store until ctx ends.
var KeepMember = (*Process).keepMember
