"""Example of a sheet file, for the tests of several packages."""

from mustardshunt.sheet import Sheet, SheetDraft, parse_sheet

KEY = 'k' * 43
SHEET = f"""# export of 2026-12-04
[organisations]
name,rate,burst
shop,500,100
depot,20.5,5

[keys]
organisation,digest,key
shop,{'ab' * 32},
depot,,{KEY}

[routes]
name,method,path,service,importance,idempotent,access,timeout
order,POST,/orders,order,critical,no,,
stock,GET,/stock/*,stock,normal,yes,open,2.5

[data-centres]
name,state
north,in
south,in
"""


def make_draft(text: str = SHEET) -> SheetDraft:
    draft, issues = parse_sheet(text, 'sheet.csv')
    assert draft is not None, issues
    return draft


def make_sheet(draft: SheetDraft, version: int = 1) -> Sheet:
    return Sheet(
        version,
        draft.organisation_by_name,
        draft.organisation_by_digest,
        draft.route_by_name,
        draft.state_by_data_centre,
        draft.edits,
    )
