package soak

import (
	"encoding/binary"
	"net"
	"net/netip"
	"syscall"
	"unsafe"

	"github.com/juju/errors"
	"golang.org/x/net/bpf"
	"golang.org/x/sys/unix"
)

// ipv4Source is where a socket filter finds the source address: 12 bytes after the network header.
const ipv4Source = 0xfff00000 + 12

// dropPacketsFrom makes the system drop what arrives at a socket from the given IPv4 addresses. On a
// listener that includes attempts to connect, which then get no answer at all.
func dropPacketsFrom(c syscall.Conn, sources []netip.Addr) error {
	program := []bpf.Instruction{bpf.LoadAbsolute{Off: ipv4Source, Size: net.IPv4len}}
	for _, source := range sources {
		program = append(program, bpf.JumpIf{Cond: bpf.JumpNotEqual, Val: binary.BigEndian.Uint32(source.AsSlice()), SkipTrue: 1}, bpf.RetConstant{Val: 0})
	}
	program = append(program, bpf.RetConstant{Val: ^uint32(0)})
	raw, err := bpf.Assemble(program)
	if err != nil {
		return errors.Trace(err)
	}
	filter := make([]unix.SockFilter, len(raw))
	for i, x := range raw {
		filter[i] = unix.SockFilter{Code: x.Op, Jt: x.Jt, Jf: x.Jf, K: x.K}
	}
	socket, err := c.SyscallConn()
	if err != nil {
		return errors.Trace(err)
	}
	controlErr := socket.Control(func(fd uintptr) {
		err = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(filter)), Filter: unsafe.SliceData(filter)})
	})
	if controlErr != nil {
		return errors.Trace(controlErr)
	}
	return errors.Trace(err)
}
