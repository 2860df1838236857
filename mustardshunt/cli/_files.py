"""Reads and checks the settings and sheet files that commands get."""

from pathlib import Path

from mustardshunt.base import ErrorCode, MustardshuntError, ValidationIssue
from mustardshunt.cli._output import write_note
from mustardshunt.sheet import SheetDraft, parse_sheet


class InvalidFileError(MustardshuntError):
    """Error for an invalid settings file or sheet file.

    Each issue of the file is written to the standard error stream before this
    error is raised. The message of the error states the number of issues.

    Parameters
    ----------
    code : ErrorCode
        ``BAD_SETTINGS`` for a settings file, ``BAD_SHEET`` for a sheet file.
    file : str
        Name of the file.
    count : int
        Number of issues that were found in the file.
    """

    def __init__(self, code: ErrorCode, file: str, count: int) -> None:
        noun = 'issue' if count == 1 else 'issues'
        super().__init__(code, f'{file} has {count} {noun}, nothing changed')


def read_file(file: str) -> str:
    """Return the content of a UTF-8 text file.

    Raises
    ------
    MustardshuntError
        The file cannot be read or is not UTF-8 text.
    """
    try:
        return Path(file).read_text(encoding='utf-8')
    except OSError as error:
        raise MustardshuntError(
            ErrorCode.NOT_FOUND,
            f'{file} cannot be read: {error.strerror}',
        ) from error
    except UnicodeDecodeError as error:
        raise MustardshuntError(
            ErrorCode.BAD_PARAMETER,
            f'{file}: expected UTF-8 text, found an invalid byte at offset '
            f'{error.start}',
        ) from error


def report_issues(
    code: ErrorCode, file: str, issues: list[ValidationIssue]
) -> None:
    """Write the issues of a file to standard error, and fail if there are any.

    Raises
    ------
    InvalidFileError
        The list of issues is not empty.
    """
    for issue in issues:
        write_note(f'{code}: {issue}')
    if issues:
        raise InvalidFileError(code, file, len(issues))


def read_draft(file: str) -> SheetDraft:
    """Parse a sheet file into a draft, a sheet that is not yet accepted.

    Issues of the file are written to the standard error stream.

    Raises
    ------
    MustardshuntError
        The file cannot be read or is invalid.
    """
    draft, issues = parse_sheet(read_file(file), file)
    report_issues(ErrorCode.BAD_SHEET, file, issues)
    if draft is None:
        raise InvalidFileError(ErrorCode.BAD_SHEET, file, 0)
    return draft
