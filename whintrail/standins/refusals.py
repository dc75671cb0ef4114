"""Starts a command under a filter of the system calls that a deployment refuses: fork, io_uring, splice etc.

    python -m whintrail.standins.refusals COMMAND ARG ...

Installs a system-call filter in classic BPF (seccomp(2) of the Linux manual), which needs no privileges and
stays in force across exec. x86-64 only; on other machines it prints an error and exits with status 2.
"""

import ctypes
import errno
import os
import platform
import socket
import struct
import sys

# prctl(2)
PR_SET_NO_NEW_PRIVS = 38
PR_SET_SECCOMP = 22
SECCOMP_MODE_FILTER = 2

# Operation codes of classic BPF
BPF_LOAD_WORD = 0x20
BPF_JUMP_IF_EQUAL = 0x15
BPF_JUMP_IF_BITS_SET = 0x45
BPF_RETURN = 0x06

SECCOMP_RET_ALLOW = 0x7FFF0000
SECCOMP_RET_ERRNO = 0x00050000  # with the error in the low bits

# Offsets in struct seccomp_data
SYSCALL_NUMBER_OFFSET = 0
FIRST_ARGUMENT_OFFSET = 16  # the low half

CLONE_THREAD = 0x10000
SYS_SOCKET = 41
SYS_CLONE = 56
REFUSED_SYSCALLS = {
    57: errno.ENOSYS,  # fork
    58: errno.ENOSYS,  # vfork
    435: errno.ENOSYS,  # clone3
    425: errno.ENOSYS,  # io_uring_setup
    40: errno.ENOSYS,  # sendfile
    275: errno.EINVAL,  # splice
}


def build_filter() -> bytes:
    """Return a BPF program that refuses `REFUSED_SYSCALLS`, clone except for threads, and IPv6 sockets."""

    def instruction(code: int, value: int, jump_true: int = 0, jump_false: int = 0) -> bytes:
        return struct.pack("HBBI", code, jump_true, jump_false, value)

    program = [instruction(BPF_LOAD_WORD, SYSCALL_NUMBER_OFFSET)]
    for number, error in REFUSED_SYSCALLS.items():
        program += [
            instruction(BPF_JUMP_IF_EQUAL, number, 0, 1),
            instruction(BPF_RETURN, SECCOMP_RET_ERRNO | error),
        ]
    program += [
        instruction(BPF_JUMP_IF_EQUAL, SYS_CLONE, 0, 4),
        instruction(BPF_LOAD_WORD, FIRST_ARGUMENT_OFFSET),
        instruction(BPF_JUMP_IF_BITS_SET, CLONE_THREAD, 1, 0),
    ]
    program += [
        instruction(BPF_RETURN, SECCOMP_RET_ERRNO | errno.ENOSYS),
        instruction(BPF_RETURN, SECCOMP_RET_ALLOW),
    ]
    program += [
        instruction(BPF_JUMP_IF_EQUAL, SYS_SOCKET, 0, 3),
        instruction(BPF_LOAD_WORD, FIRST_ARGUMENT_OFFSET),
        instruction(BPF_JUMP_IF_EQUAL, int(socket.AF_INET6), 0, 1),
    ]
    program += [
        instruction(BPF_RETURN, SECCOMP_RET_ERRNO | errno.EAFNOSUPPORT),
        instruction(BPF_RETURN, SECCOMP_RET_ALLOW),
    ]
    return b"".join(program)


def install_filter() -> None:
    """Install the filter for this process and what it executes; OSError if the kernel refuses."""
    libc = ctypes.CDLL(None, use_errno=True)
    program = build_filter()
    buffer = ctypes.create_string_buffer(program, len(program))
    filter_program = struct.pack("HxxxxxxP", len(program) // 8, ctypes.addressof(buffer))
    if libc.prctl(PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0) or libc.prctl(
        PR_SET_SECCOMP, SECCOMP_MODE_FILTER, filter_program
    ):
        raise OSError(ctypes.get_errno(), os.strerror(ctypes.get_errno()))


def main() -> int:
    """Install the filter and execute the command; return 2 on other machines than x86-64."""
    if platform.machine() != "x86_64":
        print("refusals: only for x86-64", file=sys.stderr)
        return 2
    install_filter()
    os.execvp(sys.argv[1], sys.argv[1:])


if __name__ == "__main__":
    sys.exit(main())
