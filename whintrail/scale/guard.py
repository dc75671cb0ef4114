"""Runs a program that is killed when its parent ends: python -m whintrail.scale.guard PARENT COMMAND...

It covers a run that is killed and cannot end its children itself. PR_SET_PDEATHSIG (prctl(2)) is kept across
`exec`, and the signal is sent when the thread that started the process ends: start it from the main thread.
"""

import ctypes
import os
import signal
import sys

PR_SET_PDEATHSIG = 1  # from linux/prctl.h


def main() -> None:
    """Have the kernel kill this process when its parent ends, then execute the command."""
    parent, command = int(sys.argv[1]), sys.argv[2:]
    if ctypes.CDLL(None, use_errno=True).prctl(PR_SET_PDEATHSIG, int(signal.SIGKILL), 0, 0, 0):
        sys.exit(f"prctl: {os.strerror(ctypes.get_errno())}")
    if os.getppid() != parent:  # the parent ended before the signal was set
        sys.exit("the parent process has ended")
    os.execvp(command[0], command)


if __name__ == "__main__":
    main()
