"""Settings file of a sidecar."""

import re
from pathlib import Path

import pytest

from mustardshunt.sidecar import (
    SettingsFile,
    SidecarSettingsError,
    check_sidecar_settings,
    parse_sidecar_settings,
)

TEMPLATE = Path(__file__).parents[3] / 'deploy' / 'sidecar.ini'
VALUES = {
    'node': 'n-1',
    'zone': 'z',
    'service': 's',
    'app': '127.0.0.1:1',
    'first_start': 'true',
    'limits.memory_mb': '300',
    'ip': '127.0.0.1',
    'listen.outbound': '127.0.0.1:2',
    'listen.inbound': '127.0.0.1:3',
    'listen.ready': '127.0.0.1:4',
    'listen.control': '127.0.0.1:5',
    'platform.address': '127.0.0.1:6',
    'heartbeat': '1500ms',
    'bounds.grace': '6s',
}


def fill_in(**changes: str) -> str:
    values = {**VALUES, **changes}
    return re.sub(
        r'\{\{([a-z_.]+)\}\}',
        lambda found: values.get(found[1], ''),
        TEMPLATE.read_text(encoding='utf-8'),
    )


def test_template_gives_settings_and_missing_bounds_their_defaults():
    settings = parse_sidecar_settings(fill_in(), 'a.ini')
    assert settings.node.name == 'n-1'
    assert settings.platform.heartbeat == pytest.approx(1.5)
    assert settings.bounds.grace == pytest.approx(6.0)
    assert settings.bounds.retry_minimum == 48


@pytest.mark.parametrize(
    ('changes', 'said'),
    [
        ({'heartbeat': 'soon'}, 'a time such as 1500ms'),
        ({'app': 'nowhere'}, 'HOST:PORT'),
        ({'first_start': 'yes'}, 'true or false'),
        ({'node': ''}, 'a text'),
    ],
)
def test_fault_names_what_is_allowed(changes: dict[str, str], said: str):
    faults = check_sidecar_settings(fill_in(**changes), 'a.ini')
    assert said in str(faults[0])


def test_unknown_option_is_an_error_with_the_nearest_name():
    text = fill_in().replace('log_level', 'log_levle')
    with pytest.raises(SidecarSettingsError, match="did you mean 'log_level'"):
        parse_sidecar_settings(text, 'a.ini')


def test_file_that_changes_is_noticed_once(tmp_path: Path):
    path = tmp_path / 'a.ini'
    path.write_text(fill_in(), encoding='utf-8')
    file = SettingsFile(path)
    file.read()
    assert not file.has_changed()
    path.write_text(fill_in(service='another'), encoding='utf-8')
    assert file.has_changed()
    assert file.read().node.service == 'another'
    assert not file.has_changed()
    path.unlink()
    assert not file.has_changed()
