"""Tests parsing, formatting, comparison and operators' edits of sheets.

A sheet is the table of organisations, keys, routes and data centres that the
planner exports and operators accept.
"""

import pytest

from mustardshunt.base import Importance
from mustardshunt.sheet import (
    Access,
    DataCentreState,
    Organisation,
    compare_sheets,
    digest_key,
    format_sheet,
    issue_key,
    merge_export,
    parse_sheet,
    revoke_key,
    set_data_centre,
)
from mustardshunt.sheet.tests.examples import (
    KEY,
    SHEET,
    make_draft,
    make_sheet,
)


def test_records_are_parsed_with_defaults() -> None:
    # Each column must be parsed into its own field. The export was made by a
    # spreadsheet program, with a byte order mark and padded lines.
    draft = make_draft(SHEET.replace('\n', ',,\r\n').replace('#', '\ufeff#', 1))
    assert draft.organisation_by_name['depot'] == Organisation('depot', 20.5, 5)
    assert draft.organisation_by_digest[digest_key(KEY)] == 'depot'
    order = draft.route_by_name['order']
    assert (order.importance, order.access, order.timeout) == (
        Importance.CRITICAL,
        Access.KEYED,
        10,
    )
    assert not order.idempotent
    assert draft.route_by_name['stock'].access is Access.OPEN


@pytest.mark.parametrize(
    ('old', 'new', 'expected'),
    [
        (
            'shop,500',
            'shop,0',
            "line 4, rate: found '0', expected a number from 0.001",
        ),
        ('shop,500', 'shop,nan', "line 4, rate: found 'nan'"),
        ('500,100', '500,0.5', "line 4, burst: found '0.5'"),
        ('depot,20', 'shop,20', 'each name once; first used in line 4'),
        ('depot,20', 'open,20', 'callers of open routes'),
        ('depot,,', 'depto,,', "did you mean 'depot'?"),
        (f'{"ab" * 32},', f'{"ab" * 32},{KEY}', 'exactly one of the two'),
        (f'{"ab" * 32},', f'{"ab" * 31},', '64 hexadecimal digits'),
        (f'{"ab" * 32},', f',{KEY}', 'each key once'),
        (
            'organisation,digest,key',
            'organisation,key',
            "found '(hidden)', expected at most 2 cells",
        ),
        ('POST,/orders', 'post,/orders', "did you mean 'POST'?"),
        ('/orders', '/orders?x=1', 'never matches'),
        ('/orders', '/a/../orders', 'never matches'),
        ('/stock/*', '/st*ck', 'never matches'),
        ('stock,GET,/stock/*', 'stock,POST,/orders', 'each method and path'),
        ('critical', 'crtical', "did you mean 'critical'?"),
        ('2.5', '26', 'from 0.001 to 25'),
        ('north,in', 'north,off', "found 'off', expected in or out"),
        (
            'rate,burst',
            'rat,burst',
            "line 3: found 'rat', expected one of name, rate, burst",
        ),
        ('[keys]', '[key]', "did you mean 'keys'?"),
        ('[routes]', '[keys]', 'each section once; first used in line 7'),
        ('[data-centres]\nname,state', '[data-centres]', 'the column'),
        (
            'shop,500,100\ndepot,20.5,5',
            '',
            "[organisations]: found '', expected at least",
        ),
        ('shop,500', '"shop,500', 'closed quotes'),
    ],
)
def test_issue_has_line_value_and_expected_values(
    old: str, new: str, expected: str
) -> None:
    # Each error in a planner's export must be reported, and no error message
    # may contain a key.
    draft, issues = parse_sheet(SHEET.replace(old, new, 1), 'sheet.csv')
    messages = '\n'.join(map(str, issues))
    assert draft is None
    assert expected in messages
    assert KEY not in messages


def test_all_issues_are_reported_once() -> None:
    # All errors must be reported at once. A misspelt column name must be
    # reported only for the header, not again for each record.
    text = SHEET.replace('rate', 'rat', 1).replace('critical', 'x')
    issues = parse_sheet(text, 'sheet.csv')[1]
    assert [issue.location for issue in issues] == [
        'line 3',
        'line 3',
        'line 14, importance',
    ]


@pytest.mark.parametrize(
    ('old', 'new'),
    [
        (f'depot,,{KEY}', f'{KEY},,depot'),
        ('[keys]\n', ''),
        ('organisation,digest,key\n', ''),
        (f'depot,,{KEY}', f'depot,,{KEY}!'),
        ('/orders', f'/orders?key={KEY}'),
        ('north,in', f'north,in\n{KEY},{KEY}\n{KEY},in\n{KEY},in'),
    ],
)
def test_key_in_a_wrong_place_is_redacted(old: str, new: str) -> None:
    # A key that was entered in a wrong place must not appear in the messages,
    # which are written to terminals and logs.
    text = SHEET.replace(f'shop,{"ab" * 32},\n', '').replace(old, new, 1)
    draft, issues = parse_sheet(text, 'sheet.csv')
    assert draft is None
    assert KEY not in '\n'.join(map(str, issues))


def test_compare_lists_each_change() -> None:
    # The comparison must list every difference between two sheets.
    old = make_draft()
    text = SHEET.replace('500', '700').replace('south,in', 'south,out')
    new = make_draft(text.replace(f'depot,,{KEY}\n', ''))
    assert [str(change) for change in compare_sheets(old, new)] == [
        'organisation shop changed: rate 500.0 -> 700.0',
        f'key {digest_key(KEY)} removed: state listed, organisation depot',
        'data-centre south changed: state in -> out',
    ]
    assert not compare_sheets(new, new)


def test_formatted_sheet_parses_to_the_same_sheet() -> None:
    # The formatted text must contain the whole sheet unchanged, because "sheet
    # show" prints this text.
    sheet = make_sheet(revoke_key(make_sheet(make_draft()), digest_key(KEY)))
    text = format_sheet(sheet)
    parsed = merge_export(make_draft(text), sheet)
    assert not compare_sheets(sheet, parsed)
    assert f'# revoked {digest_key(KEY)}' in text


def test_merged_export_keeps_operators_edits() -> None:
    # A planner's export must not undo later edits by operators. For example, a
    # revoked key must not become valid again.
    old = digest_key(KEY)
    sheet = make_sheet(issue_key(make_sheet(make_draft()), 'shop', '0' * 64))
    sheet = make_sheet(revoke_key(sheet, old))
    sheet = make_sheet(set_data_centre(sheet, 'south', DataCentreState.OUT))
    merged = merge_export(make_draft(), sheet)
    assert not compare_sheets(sheet, merged)
    assert old not in merged.organisation_by_digest
    back_in_service = set_data_centre(
        make_sheet(merged), 'south', DataCentreState.IN
    )
    assert (
        merge_export(make_draft(), make_sheet(back_in_service))
        == back_in_service
    )
