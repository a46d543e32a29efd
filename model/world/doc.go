// Package world runs the decision code of many routers in virtual time, without a
// network, against a model of the servers: batches, prompts that are read in
// chunks, parts that are kept, memory, and loads that are told late.
package world
