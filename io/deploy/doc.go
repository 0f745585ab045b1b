// Package deploy runs the processes of a managed platform. It assembles the parts of an
// entry or an agent, supplies them with state from the platform's store and from other
// processes, and starts and stops them.
//
// An entry forwards callers' requests to upstreams. An agent runs on the host of an
// upstream with models, here also called an engine, and orders it to load and unload
// models. In a small fleet each entry polls all agents for reports on their engines. In a
// large fleet an entry of each data centre, the relay, polls the agents of that data centre,
// and the other entries poll the relay.
//
// One entry at a time is the planner, which decides on the hosts that load each model and
// sends goals to their agents. An agent follows an entry if it accepts that entry's goals.
// An entry follows the agents that it polls itself, which package follow chooses. Engines
// without an agent receive their orders from an entry that holds a lease.
package deploy
