// Package quota holds what a VM may use of the rate and burst of each team.
//
// Each failure domain has a fixed, equal part of every limit, so two sides of a partition together stay within it without
// messages. One VM of the failure domain counts the requests of a team there, and the others ask it. A part that is short
// borrows tokens from those of other failure domains: the lender gives them up before it sends them, and they expire soon, so
// a lost message only loses tokens and nobody hoards them.
//
// The load that this answers: hundreds of VMs share limits of a few requests a second each, one team sends several times its
// rate, and the demand of a team moves between failure domains.
package quota
