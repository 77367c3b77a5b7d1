// Package scenario runs test scripts against a whole deployment of real processes: the platform stand-in, target
// stand-ins, entry VMs and callers. All processes listen on loopback addresses.
//
// A scenario is a testscript file. Besides the standard commands of testscript it can use:
//
//	deploy DEPLOYMENT [N]     starts the deployment of examples/DEPLOYMENT with at most N entry VMs in each failure
//	                          domain (default all), accepts its configuration and issues a key to every team
//	vm ACTION NAME            controls the process of an entry VM; ACTION is kill, freeze, thaw, stop or start
//	fault JSON                sets the faults that the platform store injects
//	unlist NAME               removes the VM from the platform's VM list
//	target DOMAIN JSON        sets the behavior of a target of the failure domain
//	request VM TEAM METHOD PATH [HEADER...]
//	                          sends one request with the team's key ("-" for none) and prints status, outcome and reason
//	lookup VM ROUTE CLIENT    prints the VMs that a look-up returns, in order
//	accept                    accepts the configuration in directory config and waits until it is in force on every VM
//	withdraw TEAM             withdraws the key of the team
//	callers FILE              starts the callers of a caller scenario file in the background
//	wait_for PROCESS          waits until a process has exited, for example callers
//	report                    prints the report of the run and stores its last line for check; fails if the log of an
//	                          entry VM contains a key
//	check FIELD OP VALUE      compares a number of the report with VALUE; OP is ==, !=, <= or >=
//	eventually SECONDS REGEXP COMMAND...
//	                          repeats a request, lookup or operator command until its output matches
//	sleep SECONDS             waits, for example while callers run
//	operator ARG...           runs the operator command damasklatch for the deployment
package scenario
