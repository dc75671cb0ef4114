"""`python -m whintrail` serves from RELAY_CONFIG; with a sub-command it is the command line."""

import signal
import sys

if len(sys.argv) > 1:
    from whintrail import cli

    sys.exit(cli.main())
else:  # serving imports nothing that it doesn't need
    # The first thing of all: a SIGHUP during the imports, most of a start, would end the program.
    early: list[int] = []
    signal.signal(signal.SIGHUP, lambda number, _: early.append(number))
    from whintrail.gateway import service

    sys.exit(service.main(early))
