// Package cckey holds the API keys of teams, as digests only: a key itself is never stored, logged or compared.
package cckey

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"

	"github.com/cockroachdb/errors"
)

// Digest is the SHA-256 digest of an API key.
type Digest [sha256.Size]byte

// Of returns the digest of an API key.
func Of(key string) Digest {
	return sha256.Sum256([]byte(key))
}

// ID identifies an API key in records: the first 8 bytes of its digest. 0 stands for no key.
type ID uint64

// ID returns the ID of the key.
func (d *Digest) ID() ID {
	return ID(binary.BigEndian.Uint64(d[:]))
}

// String returns the first 4 bytes of the digest in hexadecimal, for logs: enough to find a key among those of a cell,
// and too little to recognise one elsewhere.
func (d Digest) String() string {
	return fmt.Sprintf("%x", d[:4])
}

// ErrBadKeys reports keys of which it is not clear whose they are.
var ErrBadKeys = errors.New("API keys of the teams are ambiguous")

// Table says whose a key is. It is built once for each configuration and never changes.
type Table struct {
	teams map[string]bool
	// owners holds the team of each key. It is looked up by digest, so that the time of a look-up says nothing about the
	// keys that exist.
	owners map[Digest]string
	ids    map[ID]string
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{teams: map[string]bool{}, owners: map[Digest]string{}, ids: map[ID]string{}}
}

// Add adds a team with its keys. It fails with ErrBadKeys if the name is empty or taken, or if another team has one of
// the keys. The error names teams and no key.
func (t *Table) Add(team string, keys []Digest) error {
	if team == "" || t.teams[team] {
		return errors.Wrapf(ErrBadKeys, "name %q of a team is empty or used twice", team)
	}
	t.teams[team] = true
	for i := range keys {
		if owner, taken := t.owners[keys[i]]; taken && owner != team {
			return errors.Wrapf(ErrBadKeys, "teams %q and %q share a key", owner, team)
		}
		t.owners[keys[i]] = team
		t.ids[keys[i].ID()] = team
	}
	return nil
}

// Team returns the team of a key, or "" if no team has it.
func (t *Table) Team(key *Digest) string {
	return t.owners[*key]
}

// TeamByID returns the team of the key with an ID, or "" if no team has it.
func (t *Table) TeamByID(id ID) string {
	return t.ids[id]
}

// Has reports whether there is a team of that name.
func (t *Table) Has(team string) bool {
	return t.teams[team]
}
