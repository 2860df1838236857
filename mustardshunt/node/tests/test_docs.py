"""Tests that are named in the documentation must exist."""

import re
from pathlib import Path

PACKAGE = Path(__file__).parents[2]
DOCS = PACKAGE.parent / 'docs'


def test_proofs_name_existing_tests():
    # Each test that the page of proofs names must exist. If a test is renamed
    # or removed and the page is not changed, a proof names a missing test.
    named = re.findall(
        r'`([\w/]+\.py)::(\w+)`', (DOCS / 'PROOFS.md').read_text()
    )
    assert named
    missing = [
        f'{file}::{test}'
        for file, test in named
        if f'def {test}(' not in (PACKAGE / file).read_text()
    ]
    assert not missing
