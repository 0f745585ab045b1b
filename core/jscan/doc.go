// Package jscan splits JSON text into the texts of its parts, without looking into values. It takes values
// of any depth, where encoding/json gives up the whole text, so that one odd value among others does not
// keep them from being read. It does not check that a text is valid: that is left to those who decode the
// parts.
package jscan
