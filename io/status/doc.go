// Package status exchanges messages between VMs over UDP: periodic status reports, and requests for tokens of the limits of
// teams. A lost report is replaced by the next one. Unlike a TCP connection, UDP has no connection state that could
// stall unnoticed.
package status
