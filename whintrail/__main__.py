"""`python -m whintrail` runs the gateway from RELAY_CONFIG; with a sub-command it is the command line."""

import signal
import sys

if len(sys.argv) > 1:
    from whintrail import cli

    sys.exit(cli.main())
else:  # the gateway imports only what it needs
    # Must come before the imports, which take most of the start: an unhandled SIGHUP would end the program.
    early_hangups: list[int] = []
    signal.signal(signal.SIGHUP, lambda signal_number, _: early_hangups.append(signal_number))
    from whintrail.gateway import service

    sys.exit(service.main(early_hangups))
