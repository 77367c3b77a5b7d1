// Package quota tracks how many requests of each team one VM may admit under the rate and burst limits of the fleet.
//
// Each failure domain owns a fixed, equal share of every limit. During a network partition both sides together
// therefore stay within the limit without exchanging messages. In each failure domain one VM, the coordinator of the
// team, counts the team's requests, and the other VMs ask it for tokens. When the share of a failure domain is used
// up, its VMs borrow tokens from the coordinators in other failure domains. The lender removes the tokens from its
// bucket before it sends them, so a lost message only loses tokens. Borrowed tokens expire soon, so no VM can
// accumulate them.
//
// The design targets this load: hundreds of VMs share limits of a few requests per second each, one team sends
// several times its rate, and the demand of a team moves between failure domains.
package quota
