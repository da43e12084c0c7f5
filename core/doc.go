// Package core groups the packages that hold the decision logic. They use no
// sockets, no wall clock, no global random source and no message encoding;
// linter rules enforce this.
package core
