"""Starts the gateway: python -m whintrail."""

import sys

from whintrail.gateway.service import main

sys.exit(main())
