"""The exceptions that primroseledge raises."""


class PrimroseledgeError(Exception):
    """Base of every error that this package raises on purpose."""


class SettingsError(PrimroseledgeError):
    """A settings file cannot be used; the text names field and value."""


class DocumentError(PrimroseledgeError):
    """A configuration document is invalid; the text says where."""


class UnreachableError(PrimroseledgeError):
    """Nothing that a command asked gave an answer."""


class StoreError(PrimroseledgeError):
    """The platform's key-value service could not do what was asked."""


class StoreUnavailableError(StoreError):
    """The store refused or could not be reached; nothing was written."""


class StoreOutcomeUnknownError(StoreError):
    """The answer was lost; a write may or may not have taken effect."""


class ConflictError(StoreError):
    """A compare-and-swap found another revision than the expected one."""


class MessageError(PrimroseledgeError):
    """A message of another entry instance cannot be decoded."""


class OperatorError(PrimroseledgeError):
    """An operator's command cannot be carried out as given."""


class ChartError(PrimroseledgeError):
    """A state chart has no such state or transition."""
