package ccwork

import "hash/fnv"

// Bucket returns the bucket of a key, from 0 to n-1. All processes must use the same n.
func Bucket(key string, n int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(key))
	return int(h.Sum32() % uint32(n))
}
