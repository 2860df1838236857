"""Guards against documentation that names tests which do not exist."""

import re
from pathlib import Path

PACKAGE = Path(__file__).parents[2]
DOCS = PACKAGE.parent / 'docs'


def test_proofs_name_existing_tests():
    # Guards against a proof whose test has been renamed or removed.
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
