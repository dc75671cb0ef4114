"""Runs a program that ends with whoever started it: python -m whintrail.scale.guard PARENT COMMAND...

PR_SET_PDEATHSIG (prctl(2)) stays over `exec` and is sent when the thread that started the process ends: start
from the main thread. Guards against a run that is killed, and so can end nothing itself.
"""

import ctypes
import os
import signal
import sys

PR_SET_PDEATHSIG = 1


def main() -> None:
    parent, command = int(sys.argv[1]), sys.argv[2:]
    if ctypes.CDLL(None, use_errno=True).prctl(PR_SET_PDEATHSIG, int(signal.SIGKILL), 0, 0, 0):
        sys.exit(f"prctl: {os.strerror(ctypes.get_errno())}")
    if os.getppid() != parent:  # it ended before it could be told
        sys.exit("whoever started this has gone")
    os.execvp(command[0], command)


if __name__ == "__main__":
    main()
