// Package copies decides which upstream hosts hold which models on a platform whose hosts
// run all the time.
//
// It is designed for many models that are requested rarely, a few that are requested often
// and change during the day, and memory for about as many copies as there are models. With
// loading on demand alone, the first callers of each model would wait for the weight store,
// which takes seconds for a load and serves only a few at once. So models that no host
// holds are loaded ahead of need, those with waiting requests first, where memory is free
// or held by copies that are worth less. Once a host has loaded a model, it keeps the
// weights on its disk, and a later swap takes less than a second.
package copies
