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


def test_records_are_read_with_defaults() -> None:
    # Guards against a column that is lost or read into the wrong field.
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
        ('shop,500', 'shop,0', "line 4, rate: '0': a number from 0.001"),
        ('shop,500', 'shop,nan', "line 4, rate: 'nan'"),
        ('500,100', '500,0.5', "line 4, burst: '0.5'"),
        ('depot,20', 'shop,20', 'each name once; it stands already in line 4'),
        ('depot,20', 'open,20', 'callers of open routes'),
        ('depot,,', 'depto,,', "did you mean 'depot'?"),
        (f'{"ab" * 32},', f'{"ab" * 32},{KEY}', 'exactly one of the two'),
        (f'{"ab" * 32},', f'{"ab" * 31},', '64 hexadecimal digits'),
        (f'{"ab" * 32},', f',{KEY}', 'each key once'),
        ('organisation,digest,key', 'organisation,key', "'(hidden)': 2 cells"),
        ('POST,/orders', 'post,/orders', "did you mean 'POST'?"),
        ('/orders', '/orders?x=1', 'never matches'),
        ('/orders', '/a/../orders', 'never matches'),
        ('/stock/*', '/st*ck', 'never matches'),
        ('stock,GET,/stock/*', 'stock,POST,/orders', 'each method and path'),
        ('critical', 'crtical', "did you mean 'critical'?"),
        ('2.5', '26', 'from 0.001 to 25'),
        ('north,in', 'north,off', "'off': in, out"),
        ('rate,burst', 'rat,burst', "line 3: 'rat': one of name, rate, burst"),
        ('[keys]', '[key]', "did you mean 'keys'?"),
        ('[routes]', '[keys]', 'each section once; it stands in line 7'),
        ('[data-centres]\nname,state', '[data-centres]', 'the column'),
        ('shop,500,100\ndepot,20.5,5', '', "[organisations]: '': at least"),
        ('shop,500', '"shop,500', 'closed quotes'),
    ],
)
def test_fault_names_line_value_and_allowed(
    old: str, new: str, expected: str
) -> None:
    # Guards against a fault that is missed or that shows a key.
    draft, faults = parse_sheet(SHEET.replace(old, new, 1), 'sheet.csv')
    shown = '\n'.join(map(str, faults))
    assert draft is None
    assert expected in shown
    assert KEY not in shown


def test_all_faults_are_reported_without_echoes() -> None:
    # Guards against a check that stops at the first fault, and against one
    # fault for each record below a misspelt column.
    text = SHEET.replace('rate', 'rat', 1).replace('critical', 'x')
    faults = parse_sheet(text, 'sheet.csv')[1]
    assert [fault.location for fault in faults] == [
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
def test_key_in_a_wrong_place_is_not_shown(old: str, new: str) -> None:
    # Guards against a key in a terminal or a log after a slip.
    text = SHEET.replace(f'shop,{"ab" * 32},\n', '').replace(old, new, 1)
    draft, faults = parse_sheet(text, 'sheet.csv')
    assert draft is None
    assert KEY not in '\n'.join(map(str, faults))


def test_compare_names_each_change() -> None:
    # Guards against a change that an operator does not get to see.
    old = make_draft()
    text = SHEET.replace('500', '700').replace('south,in', 'south,out')
    new = make_draft(text.replace(f'depot,,{KEY}\n', ''))
    assert [str(change) for change in compare_sheets(old, new)] == [
        'organisation shop changed: rate 500.0 -> 700.0',
        f'key {digest_key(KEY)} removed: state listed, organisation depot',
        'data-centre south changed: state in -> out',
    ]
    assert not compare_sheets(new, new)


def test_formatted_sheet_declares_the_same() -> None:
    # Guards against "sheet show" that leaves out or alters a declaration.
    sheet = make_sheet(revoke_key(make_sheet(make_draft()), digest_key(KEY)))
    text = format_sheet(sheet)
    parsed = merge_export(make_draft(text), sheet)
    assert not compare_sheets(sheet, parsed)
    assert f'# revoked {digest_key(KEY)}' in text


def test_export_keeps_the_edits_of_its_day() -> None:
    # Guards against the next morning's export, written before the edits, which
    # would make a revoked key work again.
    old = digest_key(KEY)
    sheet = make_sheet(issue_key(make_sheet(make_draft()), 'shop', '0' * 64))
    sheet = make_sheet(revoke_key(sheet, old))
    sheet = make_sheet(set_data_centre(sheet, 'south', DataCentreState.OUT))
    merged = merge_export(make_draft(), sheet)
    assert not compare_sheets(sheet, merged)
    assert old not in merged.organisation_by_digest
    back = set_data_centre(make_sheet(merged), 'south', DataCentreState.IN)
    assert merge_export(make_draft(), make_sheet(back)) == back
