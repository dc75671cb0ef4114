"""The error that switches off the store; in its own module so that importing it doesn't import the store."""


class StoreUnavailable(Exception):
    """The store's directory or disk can't be used; the message is the reason."""
