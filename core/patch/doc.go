// Package patch encodes a byte string as its difference from another one that the receiver holds,
// so that a small change of a large document costs by its own size.
//
// A patch is a series of instructions that copy from the base or insert new bytes, after the
// length and the hash of the target. It is not compressed.
package patch
