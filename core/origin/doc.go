// Package origin keeps where streams began, so that they continue only at the software
// version of their first event, also when their callers come back to another entry.
//
// The entry at which a stream begins keeps a record of it and sends copies to a few other
// entries and agents, which Holders chooses from the attempt that brought the first event.
// Callers name that attempt when they resume the stream, so every entry knows whom to ask, and
// the record outlives the entry at which the stream began, and all entries.
package origin
