// Package strict decodes YAML and JSON documents into structs and ignores nothing:
// it reports unknown and repeated keys, wrong types, amounts without a unit, numbers
// out of range and missing values, each with file, line, column, key and reason, and
// all of them in one run.
//
// A struct describes the document. The decoder and the reference pages both use its
// tags:
//
//	yaml:"stop-grace"  the key
//	default:"30s"      the value if the key is absent
//	min:"1s" max:"1h"  the range, both ends included
//	required:"true"    the key must be present
//	name:"true"        the value is a name: text, also where YAML reads a number,
//	                   a boolean or null
//	doc:"..."          a sentence for the reference page
//
// Anchors, aliases, merge keys and tags are refused: with them a small document can
// expand to a huge one, and the text that operators read would differ from the
// decoded values.
package strict
