"""Exceptions of the package, with error codes that scripts can rely on."""

import enum


class ErrorCode(enum.StrEnum):
    """Code that identifies a kind of error.

    Scripts can rely on the codes: they are the same in all versions.
    """

    BAD_PARAMETER = 'bad-parameter'
    BAD_SETTINGS = 'bad-settings'
    BAD_SHEET = 'bad-sheet'
    VERSION_CONFLICT = 'version-conflict'
    PLATFORM_UNAVAILABLE = 'platform-unavailable'
    PLATFORM_UNKNOWN = 'platform-unknown'
    BAD_FRAME = 'bad-frame'
    BAD_PROOF = 'bad-proof'
    PROTOCOL_VERSION = 'protocol-version'
    LINK_LOST = 'link-lost'
    NOT_FOUND = 'not-found'
    INTERNAL = 'internal'


class MustardshuntError(Exception):
    """Base class of the errors that the package raises.

    Parameters
    ----------
    code : ErrorCode
        Kind of the error.
    message : str
        Description that says what was expected and what was found.

    Examples
    --------
    >>> print(MustardshuntError(ErrorCode.NOT_FOUND, 'no organisation "x"'))
    not-found: no organisation "x"
    """

    def __init__(self, code: ErrorCode, message: str) -> None:
        super().__init__(f'{code}: {message}')
        self.code = code
        self.message = message


class ParameterError(MustardshuntError, ValueError):
    """The value of a parameter is not allowed.

    Parameters
    ----------
    message : str
        Name of the parameter, its value and the values that are allowed.
    """

    def __init__(self, message: str) -> None:
        super().__init__(ErrorCode.BAD_PARAMETER, message)
