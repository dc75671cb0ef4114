"""What ends a part of the time line; apart, so that to know it costs no import of that part."""


class StoreUnavailable(Exception):
    """The disk can't be used: the reason."""
