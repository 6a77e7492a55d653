package ccmember

import (
	"strconv"
	"strings"
)

// NewID returns the ID of one incarnation of the process on a VM.
func NewID(vm string, incarnation int64) string {
	return vm + "/" + strconv.FormatInt(incarnation, 36)
}

// ParseID splits an ID made by NewID. It returns false for any other text.
func ParseID(id string) (vm string, incarnation int64, ok bool) {
	vm, tail, ok := strings.Cut(id, "/")
	if !ok {
		return "", 0, false
	}
	incarnation, err := strconv.ParseInt(tail, 36, 64)
	return vm, incarnation, err == nil
}
