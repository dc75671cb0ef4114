"""Starts a command that the kernel refuses what a deployment does: new processes, io_uring, splice and more.

    python -m whintrail.standins.refusals COMMAND ARG ...

A system-call filter in classic BPF (seccomp(2) of the Linux manual), which needs no special rights and stays
in force across exec. x86-64 only; elsewhere it says so and ends with status 2.
"""

import ctypes
import errno
import os
import platform
import socket
import struct
import sys

PR_SET_NO_NEW_PRIVS, PR_SET_SECCOMP, SECCOMP_MODE_FILTER = 38, 22, 2
BPF_LOAD_WORD, BPF_JUMP_IF_EQUAL, BPF_JUMP_IF_BITS_SET, BPF_RETURN = (
    0x20,
    0x15,
    0x45,
    0x06,
)  # BPF: load a word, jump if equal, jump if bits are set, return
SECCOMP_RET_ALLOW, SECCOMP_RET_ERRNO = (
    0x7FFF0000,
    0x00050000,
)  # SECCOMP_RET_ALLOW; SECCOMP_RET_ERRNO, with the error in the low bits
SYSCALL_NUMBER_OFFSET, FIRST_ARGUMENT_OFFSET = (
    0,
    16,
)  # offsets in seccomp_data: the call, the low half of its first argument
CLONE_THREAD = 0x10000
SYS_SOCKET, SYS_CLONE = 41, 56
REFUSED_SYSCALLS = {
    57: errno.ENOSYS,
    58: errno.ENOSYS,
    435: errno.ENOSYS,
    425: errno.ENOSYS,
    40: errno.ENOSYS,
    275: errno.EINVAL,
}


def build_filter() -> bytes:
    """fork, vfork, clone3, io_uring_setup, sendfile, splice; clone unless of a thread; socket of IPv6."""

    def step(code: int, value: int, then: int = 0, other: int = 0) -> bytes:
        return struct.pack("HBBI", code, then, other, value)

    steps = [step(BPF_LOAD_WORD, SYSCALL_NUMBER_OFFSET)]
    for number, error in REFUSED_SYSCALLS.items():
        steps += [step(BPF_JUMP_IF_EQUAL, number, 0, 1), step(BPF_RETURN, SECCOMP_RET_ERRNO | error)]
    steps += [
        step(BPF_JUMP_IF_EQUAL, SYS_CLONE, 0, 4),
        step(BPF_LOAD_WORD, FIRST_ARGUMENT_OFFSET),
        step(BPF_JUMP_IF_BITS_SET, CLONE_THREAD, 1, 0),
    ]
    steps += [step(BPF_RETURN, SECCOMP_RET_ERRNO | errno.ENOSYS), step(BPF_RETURN, SECCOMP_RET_ALLOW)]
    steps += [
        step(BPF_JUMP_IF_EQUAL, SYS_SOCKET, 0, 3),
        step(BPF_LOAD_WORD, FIRST_ARGUMENT_OFFSET),
        step(BPF_JUMP_IF_EQUAL, int(socket.AF_INET6), 0, 1),
    ]
    steps += [step(BPF_RETURN, SECCOMP_RET_ERRNO | errno.EAFNOSUPPORT), step(BPF_RETURN, SECCOMP_RET_ALLOW)]
    return b"".join(steps)


def install_filter() -> None:
    """From here on, for this process and what it becomes; OSError where the kernel won't."""
    libc = ctypes.CDLL(None, use_errno=True)
    steps = build_filter()
    buffer = ctypes.create_string_buffer(steps, len(steps))
    filter_ = struct.pack("HxxxxxxP", len(steps) // 8, ctypes.addressof(buffer))
    if libc.prctl(PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0) or libc.prctl(
        PR_SET_SECCOMP, SECCOMP_MODE_FILTER, filter_
    ):
        raise OSError(ctypes.get_errno(), os.strerror(ctypes.get_errno()))


def main() -> int:
    if platform.machine() != "x86_64":
        print("refusals: only for x86-64", file=sys.stderr)
        return 2
    install_filter()
    os.execvp(sys.argv[1], sys.argv[1:])


if __name__ == "__main__":
    sys.exit(main())
