// Package crowd tests that clients that do not behave cannot exhaust a process. Each test starts
// the programs on the loopback with small limits, opens a crowd of connections that hold what a
// server keeps for a client, and checks what must hold on a machine of any speed: the process
// lives, its memory and its open descriptors stay within the limits of its settings, and an
// ordinary request is answered while the crowd is still there.
//
// The tests need the machine for themselves, as the crowds are large: ./check runs them one at a
// time and apart from the other packages.
package crowd
