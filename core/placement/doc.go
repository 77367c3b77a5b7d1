// Package placement chooses a target for each request among targets that register themselves.
//
// The choice has two steps:
//
//  1. Choose a region. Each VM has a plan with a weight for each region. The plan keeps work in the VM's own region up to a
//     utilization limit and moves the rest to regions with spare capacity, after room for the work that may run only in a
//     region. It is computed from the demand that all VMs report and changes gradually. Its weights are of all requests of the
//     region, those included that may run only in some regions: the others make up for them. VMs report to each other how many
//     requests they got and where they sent them. If requests that may run only in another region suddenly become so many that
//     the part of the region's requests which run there would change too fast, some of them are refused.
//  2. Choose a target in the region: the one with the lowest cost. The cost is the estimated time until the target finishes
//     the request, plus a penalty for recent failures. The estimate depends on the queue of the target and on whether the
//     target knows the object of the request.
//
// A target knows an object if it has worked on it recently, for example because its caches still hold the object's data. Work
// on a known object takes much less time. Rendezvous hashing therefore sends the requests for an object from all VMs to the
// same few targets.
//
// Targets where the request would wait too long are chosen last. If there is no other, the second target of the object may take the
// request, or any target with a free slot that would still respond in time, as long as the region is not too busy. Otherwise the request
// is refused, and the refusal says when the caller should retry. While a pool refuses requests, those of teams that have got more than
// their share of it wait less long.
//
// Requests whose responses are usually large go to targets of the VM's own failure domain first.
//
// No function reads the clock; callers pass the current time.
package placement
