"""Exceptions of waxwingarch; every message names the remedy."""


class WaxwingError(Exception):
    """Root of every error that waxwingarch raises on purpose."""


class SettingsError(WaxwingError):
    """A settings or contract file is not valid."""


class PlatformUnavailableError(WaxwingError):
    """The platform did not answer in time or answered with a failure."""


class ConflictError(WaxwingError):
    """A compare-and-set lost against a newer revision."""


class LinkError(WaxwingError):
    """A connection to a backend server or a peer failed."""
