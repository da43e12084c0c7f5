package config

import (
	"fmt"
	"io"
)

// minKeyLength is the least length of a fleet key in bytes; shorter keys can be
// found by brute force.
const minKeyLength = 16

// Key is the secret that all balancers of a fleet share. It never appears in
// output.
type Key struct{ secret string }

// NewKey returns a Key that holds secret.
func NewKey(secret []byte) Key { return Key{secret: string(secret)} }

// Bytes returns a copy of the secret, for message authentication only.
func (k Key) Bytes() []byte { return []byte(k.secret) }

// Format writes a placeholder for every verb.
func (k Key) Format(w fmt.State, _ rune) { _, _ = io.WriteString(w, "[fleet key]") }

// MarshalText writes a placeholder.
func (k Key) MarshalText() ([]byte, error) { return []byte("[fleet key]"), nil }

// UnmarshalText reads the secret.
func (k *Key) UnmarshalText(b []byte) error {
	k.secret = string(b)
	return nil
}

func (Key) typeDescription() string { return "the secret as text" }
