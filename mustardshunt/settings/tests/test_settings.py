import dataclasses

import pytest

from mustardshunt.settings import (
    NodeSettings,
    SettingsError,
    check_settings,
    parse_settings,
)

GOOD = """
[node]
host = 10.2.0.7
data_centre = north
secret_file = /etc/mustardshunt/secret
[platform]
table_url = http://10.9.0.1:9000/
object_url = https://10.9.0.2
[data_centre]
network = 10.2.0.0/20
"""


def test_defaults_are_filled_in() -> None:
    # Guards against a default that the checks themselves refuse.
    settings = parse_settings(GOOD, 'node.ini')
    assert isinstance(settings, NodeSettings)
    assert settings.platform.table_url == 'http://10.9.0.1:9000'
    lines = [
        f'[{section.name}]\n'
        + '\n'.join(
            f'{option.name} = {getattr(values, option.name)}'
            for option in dataclasses.fields(values)
        )
        for section in dataclasses.fields(settings)
        if (values := getattr(settings, section.name))
    ]
    assert parse_settings('\n'.join(lines), 'all.ini') == settings


@pytest.mark.parametrize(
    ('old', 'new', 'expected'),
    [
        ('host =', 'hots =', "[node] hots: 'hots': an option of [node]; did"),
        ('[platform]', '[plaform]', "did you mean 'platform'?"),
        ('10.2.0.7', '10.3.0.7', 'network 10.2.0.0/20'),
        ('10.2.0.0/20', '10.0.0.0/8', '65536 addresses at most'),
        ('http://', 'ftp://', 'an http or https URL'),
        ('http://', 'http://me:word@', "'http://(hidden)@10.9"),
        ('[node]', '[node]\npeer_port = 0', 'from 1 to 65535'),
        ('[node]', '[node]\npeer_port=8080', 'another port than caller_port'),
        ('[node]', '[node]\nlog_level=info', "did you mean 'INFO'?"),
        ('[node]', '[node]\nhost=10.2.0.8', 'stands already in line 3'),
        ('[node]', '[DEFAULT]\nx=1\n[node]', "'DEFAULT': a section"),
        ('[node]', 'host\n[node]', 'line 2'),
        ('secret_file = /etc', 'x', 'line 5'),
        ('secret_file = /etc/mustardshunt/secret', '', 'it has no default'),
        ('[node]', '[limits]\ndrain_seconds=25\n[node]', 'longest timeout'),
        ('[node]', '[limits]\ndrain_seconds=nan\n[node]', 'from 26 to 600'),
    ],
)
def test_fault_names_value_and_allowed(
    old: str, new: str, expected: str
) -> None:
    # Guards against a fault that is missed or says nothing of its cause.
    faults = check_settings(GOOD.replace(old, new, 1), 'node.ini')
    assert any(expected in str(fault) for fault in faults), faults


def test_all_faults_are_reported_at_once() -> None:
    # Guards against a check that stops at the first fault.
    text = GOOD.replace('10.2.0.7', 'x').replace('http://', '')
    with pytest.raises(SettingsError) as raised:
        parse_settings(text, 'node.ini')
    assert [fault.location for fault in raised.value.faults] == [
        '[node] host',
        '[platform] table_url',
    ]
