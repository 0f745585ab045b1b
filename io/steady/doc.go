// Package steady bounds calls by silence: an answer may take as long as it arrives all the
// time. A fixed time for the whole would end each try of a long answer over a slow link at
// the same place.
package steady
