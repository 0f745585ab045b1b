// Package tend decides which upstream hosts an entry orders itself, since no agent
// stands beside them.
//
// An engine has one holder. Where it has an agent, dead or alive, that is the agent: an
// agent records its engine in the platform's store before its first order, and whoever
// finds such a record leaves the engine alone, however long the agent is silent. An
// agent that starts later finds that an entry was the holder and waits until that entry
// has certainly stopped.
package tend
