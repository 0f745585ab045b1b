// Package follow decides from whom an entry hears of the upstream hosts.
//
// In a small fleet each entry follows each agent itself. In a large one that would
// take a connection for each pair and a report of each host to each entry several
// times a second. There one entry of each data centre, the relay, follows the agents
// of that data centre; relays exchange what they hear, and the other entries ask
// the relay of their own data centre. The relay is the first by rank that answers:
// nothing is elected or written down, each entry chooses for itself, and an entry
// becomes a relay by being asked. Entries that disagree for a moment cost a second
// relay and nothing else.
package follow
