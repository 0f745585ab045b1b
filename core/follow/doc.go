// Package follow decides from which agents and relays an entry receives the state of the
// upstream hosts. An entry follows an agent if it polls the agent itself.
//
// In a small fleet each entry follows every agent. In a large one that would take a
// connection for each pair, and a report of each host to each entry several times a second.
// There one entry of each data centre, the relay, follows the agents of that data centre.
// Relays exchange these reports, and the other entries poll the relay of their own data
// centre. The relay is the first entry by rank that responds. There is no election and no
// stored state: each entry chooses for itself, and an entry becomes a relay by being
// polled. If entries disagree for a moment, the only cost is a second relay.
//
// The planner, the entry that decides which models the hosts hold, is the first by rank of
// the relays that respond.
package follow
