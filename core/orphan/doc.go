// Package orphan decides which upstream hosts an entry orders itself because they have no
// agent.
//
// An engine has one holder, which sends its orders. If the engine has an agent, alive or
// dead, that agent is the holder: an agent records its engine in the platform's store
// before its first order, and no entry orders an engine with such a record, however long
// the agent is silent. An agent that starts later finds that an entry was the holder, and
// waits until that entry has certainly stopped.
package orphan
