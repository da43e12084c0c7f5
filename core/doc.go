// Package core groups the packages that make decisions. They use no sockets,
// no wall clock, no global random source and no message encoding; a linter
// rule enforces it.
package core
