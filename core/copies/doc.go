// Package copies decides which upstream hosts hold which models on a platform
// whose hosts run all the time.
//
// The load it answers: many models that are asked for seldom, a few that are
// asked for often and change during the day, and memory for about as many copies
// as there are models. Loading only on demand makes the first callers of each
// model wait for the weight store, which loads a model in seconds and few at
// once; so models that no host holds are loaded ahead of need, those waited for
// first, where memory is free or held by copies that serve less. Once a host has
// loaded a model, it keeps the weights on its disk, and a later swap takes less
// than a second.
package copies
