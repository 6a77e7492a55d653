// Package cckey holds the API keys of teams, as digests only: a key itself is never stored, logged or compared.
package cckey

import "crypto/sha256"

// Digest is the SHA-256 digest of an API key.
type Digest [sha256.Size]byte

// Of returns the digest of an API key.
func Of(key string) Digest {
	return sha256.Sum256([]byte(key))
}
