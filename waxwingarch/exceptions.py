"""Exceptions of waxwingarch.

A message says what failed and what the reader can do about it.
"""


class WaxwingError(Exception):
    """Base class of the errors that waxwingarch raises itself."""


class SettingsError(WaxwingError):
    """A settings or contract file is not valid."""


class PlatformUnavailableError(WaxwingError):
    """The platform did not respond in time, or responded with an error."""


class ConflictError(WaxwingError):
    """A compare-and-set failed because there is a newer revision."""


class LinkError(WaxwingError):
    """A connection to a backend server or a peer failed."""
