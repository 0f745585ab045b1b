// Package credit grants the time that an engine has for prompts to the entries that hold requests
// for it.
//
// The load that it answers: many entries hold requests for one engine that is busy. All learn by
// the same report that it has room, all start what they hold, and the engine has ten prompts to
// read where there was room for one. Its streams pause, and the requests are late, though each
// entry for itself kept to the limit.
//
// The agent beside the engine keeps one Account. An entry asks it for a credit before it starts a
// request that it holds, and the account grants credits in the order of urgency, then fairly by
// customer over all entries, as the engine reads. A credit is good for a short time. It binds
// nobody: an agent that is silent, frozen or cut off grants none, and entries then start requests
// by what they know themselves, as they do with requests that need not wait. An entry that dies
// leaves a credit unused, which is forgotten when the engine could have read the prompt.
package credit
