"""`python -m whintrail` serves from RELAY_CONFIG; with a sub-command it is the command line."""

import sys

if len(sys.argv) > 1:
    from whintrail import cli

    sys.exit(cli.main())
else:  # serving imports nothing that it doesn't need
    from whintrail.gateway import service

    sys.exit(service.main())
