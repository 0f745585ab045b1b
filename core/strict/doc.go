// Package strict decodes YAML and JSON documents into structs without letting
// anything pass unseen: unknown and repeated keys, wrong types, amounts without
// a unit, numbers out of range and missing values are all reported, each with
// file, line, column, key and reason, and all of them in one run.
//
// The shape of a document is a struct. Its tags are the table that both the
// decoder and the reference pages are made from:
//
//	yaml:"stop-grace"  the key
//	default:"30s"      the value where the key is absent
//	min:"1s" max:"1h"  the range, both ends included
//	required:"true"    the key must be there
//	doc:"..."          a sentence for the reference page
//
// Anchors, aliases, merge keys and tags are refused: they let a small document
// stand for a huge one, and what operators read would not be what runs.
package strict
