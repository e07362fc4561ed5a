"""The exit codes of the command line."""

from enum import IntEnum
from typing import Final

from primroseledge.errors import DocumentError
from primroseledge.errors import PrimroseledgeError
from primroseledge.errors import SettingsError
from primroseledge.errors import UnreachableError
from primroseledge.operators.applying import Result


class ExitCode(IntEnum):
    """How a command ended; docs/OPERATORS.md explains each."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    UNKNOWN = 3
    UNREACHABLE = 4
    NOT_IN_FORCE = 5


RESULT_CODES: Final = {
    Result.ACCEPTED: ExitCode.OK,
    Result.UNCHANGED: ExitCode.OK,
    Result.REFUSED: ExitCode.UNREACHABLE,
    Result.CONFLICT: ExitCode.REFUSED,
    Result.UNKNOWN: ExitCode.UNKNOWN,
}

ERROR_CODES: Final[dict[type[PrimroseledgeError], ExitCode]] = {
    SettingsError: ExitCode.USAGE,
    DocumentError: ExitCode.USAGE,
    UnreachableError: ExitCode.UNREACHABLE,
}


def code_of(error: PrimroseledgeError) -> ExitCode:
    """Return the exit code that belongs to an error."""
    for error_type, code in ERROR_CODES.items():
        if isinstance(error, error_type):
            return code
    return ExitCode.REFUSED
