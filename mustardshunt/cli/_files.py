"""Files that commands take."""

from pathlib import Path

from mustardshunt.base import ErrorCode, MustardshuntError, ValidationIssue
from mustardshunt.cli._output import write_note
from mustardshunt.sheet import SheetDraft, parse_sheet


class FaultyFileError(MustardshuntError):
    """A file has faults, listed before.

    Parameters
    ----------
    code : ErrorCode
        Which kind of file.
    file : str
        Name of the file.
    count : int
        Number of faults.
    """

    def __init__(self, code: ErrorCode, file: str, count: int) -> None:
        faults = 'fault' if count == 1 else 'faults'
        super().__init__(code, f'{file} has {count} {faults}, nothing changed')


def read_file(file: str) -> str:
    """Return the text of a file.

    Raises
    ------
    MustardshuntError
        The file cannot be read or is not UTF-8.
    """
    try:
        return Path(file).read_text(encoding='utf-8')
    except OSError as error:
        raise MustardshuntError(
            ErrorCode.NOT_FOUND,
            f'{file}: {error.strerror}',
        ) from error
    except UnicodeDecodeError as error:
        raise MustardshuntError(
            ErrorCode.BAD_PARAMETER,
            f'{file}: byte {error.start} is not UTF-8',
        ) from error


def report_faults(
    code: ErrorCode, file: str, faults: list[ValidationIssue]
) -> None:
    """Write faults to the standard error stream.

    Raises
    ------
    FaultyFileError
        There are faults.
    """
    for fault in faults:
        write_note(f'{code}: {fault}')
    if faults:
        raise FaultyFileError(code, file, len(faults))


def read_draft(file: str) -> SheetDraft:
    """Return the draft of an export.

    Raises
    ------
    MustardshuntError
        The file cannot be read or has faults.
    """
    draft, faults = parse_sheet(read_file(file), file)
    report_faults(ErrorCode.BAD_SHEET, file, faults)
    if draft is None:
        raise FaultyFileError(ErrorCode.BAD_SHEET, file, 0)
    return draft
